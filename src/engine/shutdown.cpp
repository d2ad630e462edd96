#include "engine/shutdown.h"

#include <algorithm>

namespace streampick::engine {
namespace {

constexpr Time kMillisecond = 1'000;
// From the signal until no more connections are accepted.
constexpr Time kAcceptDuration = 500 * kMillisecond;
// From the longest deadline until open requests fail.
constexpr Time kMarginAfterDeadline = 400 * kMillisecond;
// From the signal until open requests fail, at most.
constexpr Time kMaxAnswerDuration = 3'200 * kMillisecond;
// From the failure of open requests until the process exits, for writing the last responses.
constexpr Time kLastWritesDuration = 200 * kMillisecond;

}  // namespace

void Shutdown::start(Time now, Time longest_deadline) {
  const Time longest = std::min(longest_deadline, kMaxAnswerDuration);
  phase_ = ShutdownPhase::accepting;
  answer_by_ = now + std::min(longest + kMarginAfterDeadline, kMaxAnswerDuration);
  phase_end_ = now + kAcceptDuration;
}

void Shutdown::next_phase(Time now) {
  switch (phase_) {
    case ShutdownPhase::running:
    case ShutdownPhase::over: break;
    case ShutdownPhase::accepting:
      phase_ = ShutdownPhase::answering;
      phase_end_ = answer_by_;
      break;
    case ShutdownPhase::answering:
      phase_ = ShutdownPhase::last_writes;
      phase_end_ = now + kLastWritesDuration;
      break;
    case ShutdownPhase::last_writes:
      phase_ = ShutdownPhase::over;
      phase_end_ = kNever;
      break;
  }
}

}  // namespace streampick::engine
