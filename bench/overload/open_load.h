// An open-loop load generator: requests arrive at a fixed mean rate, whatever the responses to earlier ones.
// Each client stops waiting after its timeout; some clients retry a rejected request at its Retry-After time.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace streampick::bench {

struct OpenLoad {
  unsigned short port = 0;
  double rate = 100;   // mean arrivals a second, without retries
  double seconds = 5;  // duration of the arrivals
  std::size_t max_connections = 256;
  double client_timeout = 0.8;     // s
  double latency_objective = 0.2;  // s; a response within it counts as good
  double retry_share = 0;  // share of the rejected requests that are retried once, at their Retry-After time
  double saves = 0;        // share of the requests that are saves
  double closing_share = 0;  // share of the responses after which the client closes its connection
  std::uint64_t keys = 1'000;
  std::uint64_t seed = 1;
};

// Counts of requests, unless said otherwise. `good`: served within the latency objective; `unsent`: timed out
// before a connection was available; `opened`: connections.
struct OpenResult {
  std::uint64_t asked = 0, good = 0, late = 0, rejected = 0, failed = 0, timed_out = 0, unsent = 0;
  std::uint64_t saves = 0, saves_good = 0, opened = 0;
  std::vector<double> latencies;            // latency of served requests since their arrival, s
  std::vector<double> connection_waits;     // time that served requests waited for a connection, s
  std::vector<double> rejection_durations;  // time that rejected requests occupied their connection, s
  // Returns the quantile `share`, from 0 to 1; reorders `values`. 0 if there are none.
  static double quantile(std::vector<double>& values, double share);
};

OpenResult run_open_load(const OpenLoad& load);

}  // namespace streampick::bench
