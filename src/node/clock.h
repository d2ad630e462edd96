// The router's clock: microseconds that only move forward and start at the system's Unix time, so
// that a server's start time, given as Unix time, can be compared with it.
#pragma once

#include <chrono>

#include "streampick/router.h"

namespace streampick::node {

class Clock {
 public:
  using Steady = std::chrono::steady_clock;

  Clock()
      : steady_start_(Steady::now()),
        start_(std::chrono::duration_cast<std::chrono::microseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()) {}

  // Read once for each batch of events: all of a batch happens at one time.
  Time now() {
    if (stale_) {
      now_ = start_ +
             std::chrono::duration_cast<std::chrono::microseconds>(Steady::now() - steady_start_).count();
      stale_ = false;
    }
    return now_;
  }
  void next_batch() { stale_ = true; }

  Steady::time_point steady(Time at) const { return steady_start_ + std::chrono::microseconds(at - start_); }
  // A time from outside, in Unix milliseconds; 0 stays 0, which means long ago.
  static Time from_unix_ms(std::int64_t ms) { return ms <= 0 ? 0 : ms * 1000; }

 private:
  Steady::time_point steady_start_;
  Time start_, now_ = 0;
  bool stale_ = true;
};

}  // namespace streampick::node
