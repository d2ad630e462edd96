/// \file
/// Schedules the engine's wake-ups, and runs the Router's timer ticks that were missed while idle.
#pragma once

#include <functional>
#include <memory>

#include "engine/time.h"
#include "streampick/router.h"

namespace streampick::engine {

/// One timer for all deadlines of the engine. A spurious wake-up is harmless, so the timer is only ever moved
/// to an earlier time.
class WakeupScheduler {
 public:
  /// `time` must outlive the scheduler; `wake` is called by the timer.
  WakeupScheduler(TimeSource& time, std::function<void()> wake);

  /// Schedules a wake-up at `at` or earlier.
  void wake_by(Time at);
  /// Schedules no wake-up until wake_by() is called again.
  void disarm();
  [[nodiscard]] bool is_disarmed() const { return armed_for_ == kNever; }
  /// Invalidates the armed time after a suspension of the process.
  void forget_armed_time() { armed_for_ = kNever; }

 private:
  Time armed_for_ = kNever;
  std::unique_ptr<Timer> timer_;
};

/// Runs the Router's timer ticks that were due while no wake-up was scheduled, each with its own time, so
/// that its state is as if they had run in time. After a long idle period, runs only as many ticks as the
/// Router's estimates take to decay completely, and then one tick for the remaining time.
void run_missed_ticks(Router& router, Time now);

}  // namespace streampick::engine
