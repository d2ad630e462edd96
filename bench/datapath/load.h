// A load client in a thread of its own: connections to one address, each with one GET out at a time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace streampick::bench {

struct LoadPlan {
  unsigned short port = 0;  // of 127.0.0.1
  int connections = 8;
  int requests = 10'000;  // answered, over all
  int keys = 100;
  int leave_every = 0;  // the client of each n-th request closes `leave_after` after asking; 0: none does
  int leave_after_us = 2'000;
};

struct LoadResult {
  int good = 0, bad = 0, left = 0;  // answers 200, others, clients that left
  double seconds = 0;
};

// Runs to its end, in the calling thread. Throws std::runtime_error when a connection can't be made.
LoadResult run_load(const LoadPlan& plan);

}  // namespace streampick::bench
