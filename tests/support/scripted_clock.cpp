#include "support/scripted_clock.h"

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

namespace streampick::test {
namespace {
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

bool is_scripted = false;
std::int64_t monotonic = 0;  // us
std::int64_t cpu_time = 0;   // us

timespec to_timespec(std::int64_t microseconds) {
  return {.tv_sec = microseconds / kMicrosecondsPerSecond,
          .tv_nsec = microseconds % kMicrosecondsPerSecond * 1'000};
}
}  // namespace

ScriptedClock::ScriptedClock(std::int64_t monotonic_us) {
  monotonic = monotonic_us;
  cpu_time = 0;
  is_scripted = true;
}

ScriptedClock::~ScriptedClock() { is_scripted = false; }

void ScriptedClock::advance(std::int64_t elapsed_us, std::int64_t cpu_us) {
  monotonic += elapsed_us;
  cpu_time += cpu_us;
}

}  // namespace streampick::test

extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  using namespace streampick::test;
  if (is_scripted && clock == CLOCK_MONOTONIC) {
    *time = to_timespec(monotonic);
    return 0;
  }
  if (is_scripted && clock == CLOCK_PROCESS_CPUTIME_ID) {
    *time = to_timespec(cpu_time);
    return 0;
  }
  return static_cast<int>(syscall(SYS_clock_gettime, clock, time));
}
