/// \file
/// The system's wall clock, and its offset from a monotonic clock.
#pragma once

#include <chrono>
#include <functional>

#include "streampick/router.h"

namespace streampick::net {

/// Reads Unix time in microseconds. Tests provide one that steps.
using WallClock = std::function<Time()>;

inline Time system_wall_time() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
}

/// The wall clock's reading less the monotonic clock's at the same moment, in microseconds. The thread may be
/// suspended between two readings, so of a few samples the one that took the shortest time counts.
template <typename MonotonicClock>
Time wall_offset(const WallClock& wall_clock, const MonotonicClock& monotonic_clock) {
  constexpr int kMaxSamples = 5;
  constexpr Time kShortEnough = 100;
  Time offset = 0;
  Time shortest = kNever;
  for (int sample = 0; sample < kMaxSamples && shortest > kShortEnough; ++sample) {
    const Time start = monotonic_clock();
    const Time wall = wall_clock();
    const Time duration = monotonic_clock() - start;
    if (duration < shortest) {
      shortest = duration;
      offset = wall - start - duration / 2;
    }
  }
  return offset;
}

}  // namespace streampick::net
