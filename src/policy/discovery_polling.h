#pragma once

#include <cstdint>

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

  /// Returns whether discovery has to be polled at `now`, when a timer is due. The poll is then in progress
  /// until the next status.
  [[nodiscard]] bool begin_due_poll(Time now);

 private:
  enum class State : std::uint8_t {
    not_needed,  // discovery has answered, or the settings use no polls
    scheduled,   // due at next_poll_
    in_progress,
  };

  const Config& config_;
  RandomSource& random_;
  TimerQueue& timers_;
  State state_ = State::not_needed;
  Time next_poll_ = 0;  // the timers of earlier schedules are still in the queue
};

}  // namespace streampick::policy
