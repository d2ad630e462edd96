// The system's wall clock, and how far it is from a monotonic one.
#pragma once

#include <chrono>
#include <functional>

#include "streampick/router.h"

namespace streampick::net {

/// Reads Unix time in microseconds. Tests give one that steps.
using WallClock = std::function<Time()>;

inline Time system_wall_time() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// The wall clock's reading less the monotonic clock's at one moment. The thread may be held up between two
/// readings: of a few samples the one that was taken fastest counts.
template <typename MonotonicClock>
Time wall_offset(const WallClock& wall_clock, const MonotonicClock& monotonic_clock) {
  constexpr int kSamples = 5;
  constexpr Time kFastEnough = 100;
  Time offset = 0;
  Time fastest = kNever;
  for (int sample = 0; sample < kSamples && fastest > kFastEnough; ++sample) {
    const Time before = monotonic_clock();
    const Time wall = wall_clock();
    const Time took = monotonic_clock() - before;
    if (took >= fastest) continue;
    fastest = took;
    offset = wall - before - took / 2;
  }
  return offset;
}

}  // namespace streampick::net
