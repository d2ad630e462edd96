/// A scripted clock for code that reads std::chrono::steady_clock or the process's CPU time.
///
/// scripted_clock.cpp replaces the C library's clock_gettime() in the executable that it is linked into. Link
/// it only into tests that need it.
#pragma once

#include <cstdint>

namespace streampick::test {

/// While an instance lives, CLOCK_MONOTONIC and CLOCK_PROCESS_CPUTIME_ID of this process read what it was set
/// to. All other clocks, and these two without an instance, read the system's time. One instance at a time;
/// for one thread.
class ScriptedClock {
 public:
  /// Starts at `monotonic_us` with no CPU time used.
  explicit ScriptedClock(std::int64_t monotonic_us);
  ~ScriptedClock();
  ScriptedClock(const ScriptedClock&) = delete;
  ScriptedClock& operator=(const ScriptedClock&) = delete;

  /// Lets `elapsed_us` pass, of which the process uses `cpu_us` of CPU time.
  void advance(std::int64_t elapsed_us, std::int64_t cpu_us = 0);
};

}  // namespace streampick::test
