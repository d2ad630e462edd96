#pragma once

#include "policy/random_source.h"
#include "policy/timer_queue.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Decides when to poll discovery for the endpoint list, in deployments where discovery has to be polled.
/// After a failure it polls again with jitter; the last known list stays in use until then. Only what
/// discovery itself has done counts: the content of the endpoint list and operators' overrides do not reach
/// this class.
/// `roster/watch_times.h` computes how stale the list can get.
class DiscoveryPolling {
 public:
  DiscoveryPolling(const Config& config, RandomSource& random, TimerQueue& timers)
      : config_(config), random_(random), timers_(timers) {}

  /// Schedules the next poll unless discovery has answered. Draws one random number for that.
  void on_status(DiscoveryStatus status, Time now);

  /// Whether discovery has to be polled at `now`, when the timer is due.
  [[nodiscard]] bool is_due(Time now) const { return !is_watching_ && now >= next_poll_; }

 private:
  const Config& config_;
  RandomSource& random_;
  TimerQueue& timers_;
  bool is_watching_ = false;  // discovery needs no poll: the last one succeeded, or the settings use none
  Time next_poll_ = 0;
};

}  // namespace streampick::policy
