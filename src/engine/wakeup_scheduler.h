/// \file
/// When the engine is woken, and what becomes of wake-ups of the module that were due while it rested.
#pragma once

#include <functional>
#include <memory>

#include "engine/time.h"
#include "streampick/router.h"

namespace streampick::engine {

/// One timer for all that the engine waits for. An early wake-up does no harm, so the timer is set anew only
/// for an earlier time than the one it stands at.
class WakeupScheduler {
 public:
  /// `time` outlives the scheduler; `wake` is called by the timer.
  WakeupScheduler(TimeSource& time, std::function<void()> wake);

  /// Wakes at `at` or earlier.
  void wake_by(Time at);
  /// Nobody is woken until wake_by() is called again.
  void rest();
  [[nodiscard]] bool resting() const { return armed_for_ == kNever; }
  /// What the timer stands at is no longer true, as after the process was suspended.
  void forget_armed_time() { armed_for_ = kNever; }

 private:
  Time armed_for_ = kNever;
  std::unique_ptr<Timer> timer_;
};

/// Tells the module of the timer ticks that were due while nobody was to be woken: each at its own time, so
/// that it has learnt by them what it would have learnt awake. Of a long rest the first of them, by which all
/// it knew has faded, and then what is left at once.
void run_missed_ticks(Router& router, Time now);

}  // namespace streampick::engine
