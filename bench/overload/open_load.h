// Clients that do not wait for one another: requests come at a rate, whatever becomes of those before them,
// as a crowd's do. Each is given up after its patience; some refused ones come back when they were told to.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

namespace streampick::bench {

struct OpenLoad {
  unsigned short port = 0;
  double rate = 100;   // first tries a second
  double seconds = 5;  // of arrivals
  std::size_t most_connections = 256;
  double patience = 0.8;  // s
  double aim = 0.2;       // s; an answer within it is a good one
  double returns = 0;     // share of the refused that come back once, when they were told to
  double saves = 0;       // share of the requests that are saves
  double once = 0;        // share of the connections that are given up behind their answer
  std::uint64_t keys = 1'000;
  std::uint64_t seed = 1;
};

struct OpenResult {
  std::uint64_t asked = 0, good = 0, late = 0, refused = 0, failed = 0, given_up = 0, unsent = 0;
  std::uint64_t saves = 0, saves_good = 0, opened = 0;
  std::vector<double> took;    // s, of those served, from when they came
  std::vector<double> waited;  // s, of those served: until a connection was theirs
  std::vector<double> turned;  // s that the refused held their connection
  static double quantile(std::vector<double>& of, double share);
};

OpenResult run_open_load(const OpenLoad& load);

}  // namespace streampick::bench
