#include "policy/timer_queue.h"

namespace streampick::policy {

Time TimerQueue::next_due() {
  while (!timers_.empty() && is_obsolete(timers_.top())) {
    timers_.pop();
  }
  return timers_.empty() ? kNever : timers_.top().at;
}

std::optional<Timer> TimerQueue::pop_due(Time now) {
  while (!timers_.empty() && timers_.top().at <= now) {
    const Timer timer = timers_.top();
    timers_.pop();
    if (!is_obsolete(timer)) {
      return timer;
    }
  }
  return std::nullopt;
}

bool TimerQueue::is_obsolete(const Timer& timer) const {
  if (timer.kind > TimerKind::admission_timeout) {
    return false;
  }
  if (!requests_.is_active(timer.request)) {
    return true;
  }
  const RequestState& request = requests_.at(timer.request.slot);
  if (request.is_streaming) {
    return true;
  }
  return timer.kind == TimerKind::admission_timeout && !request.is_queued;
}

}  // namespace streampick::policy
