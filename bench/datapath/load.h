// A load generator: keeps a number of connections to one address, each with one GET in flight at a time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace streampick::bench {

struct LoadPlan {
  unsigned short port = 0;  // of 127.0.0.1
  int connections = 8;
  int requests = 10'000;  // number of requests to end, over all connections
  int keys = 100;
  int disconnect_every = 0;         // after every n-th request its client disconnects; 0: no client does
  int disconnect_after_us = 2'000;  // from the request to the disconnect
};

struct LoadResult {
  int served = 0, failed = 0,
      disconnected = 0;  // responses 200, other responses and failures, clients that disconnected
  double seconds = 0;
};

// Runs the plan in the calling thread until all requests have ended. Throws std::runtime_error if a
// connection can't be established, a request can't be written, or no response arrives for 5 s.
LoadResult run_load(const LoadPlan& plan);

}  // namespace streampick::bench
