#include "engine/wakeup_scheduler.h"

#include <utility>

namespace streampick::engine {
namespace {

constexpr int kMaxMissedTicks = 600;  // two minutes, at the interval of the Router's ticks

}  // namespace

WakeupScheduler::WakeupScheduler(TimeSource& time, std::function<void()> wake)
    : timer_(time.timer([this, wake = std::move(wake)] {
        armed_for_ = kNever;
        wake();
      })) {}

void WakeupScheduler::wake_by(Time at) {
  if (at >= armed_for_) return;
  armed_for_ = at;
  timer_->set(at);
}

void WakeupScheduler::disarm() {
  armed_for_ = kNever;
  timer_->cancel();
}

void run_missed_ticks(Router& router, Time now) {
  for (int ticks = 0; ticks < kMaxMissedTicks && router.next_wakeup() <= now; ++ticks)
    router.on_wakeup(router.next_wakeup());
  if (router.next_wakeup() <= now) router.on_wakeup(now);
}

}  // namespace streampick::engine
