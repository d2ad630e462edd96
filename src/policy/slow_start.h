#pragma once

#include <algorithm>

#include "policy/arrival_interval.h"
#include "policy/durations.h"
#include "policy/endpoint.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Limits the load on an endpoint while it is warming up. All functions are inline because they run for each
/// candidate of each pick.
class SlowStart {
 public:
  /// Inputs of a slow start draw besides the endpoint.
  struct DrawContext {
    double capacity_share = 1;  ///< capacity_share() of the endpoint at `now`
    double healthy_weight = 0;  ///< sum over all ready endpoints
    Time now = 0;
  };

  SlowStart(const Config& config, const ArrivalInterval& arrivals) : config_(config), arrivals_(arrivals) {}

  /// Share of its full capacity that the endpoint has at `now`: from slow_start_initial_share up to 1.
  [[nodiscard]] double capacity_share(const Endpoint& endpoint, Time now) const {
    if (endpoint.member.started <= 0 || config_.slow_start_duration <= 0) {
      return 1;
    }
    const auto age = static_cast<double>(now - endpoint.member.started);
    const double warm = std::clamp(age / static_cast<double>(config_.slow_start_duration), 0.0, 1.0);
    return config_.slow_start_initial_share + (1 - config_.slow_start_initial_share) * warm;
  }

  [[nodiscard]] bool is_warming_up(const Endpoint& endpoint, Time now) const {
    return capacity_share(endpoint, now) < 1;
  }

  /// The probability with which a first attempt for one of the endpoint's keys goes to the endpoint while it
  /// is warming up. It is at most the capacity share. Summed over all routers, the attempts are also limited
  /// to slow_start_overload_factor times the capacity share of the endpoint's usual load. Each router's part
  /// of that limit, mostly far below one attempt, grows with the time since the last draw, and each draw
  /// spends it.
  [[nodiscard]] double first_attempt_share(const Endpoint& endpoint, const DrawContext& context) const {
    if (config_.slow_start_overload_factor <= 0 || context.healthy_weight <= 0) {
      return context.capacity_share;
    }
    const double usual_attempts =
        endpoint.weight / context.healthy_weight * saved_intervals(endpoint, context.now);
    return context.capacity_share * std::min(1.0, config_.slow_start_overload_factor * usual_attempts);
  }

 private:
  /// Maximum time for which a router saves up its part of the limit, in multiples of
  /// slow_start_overload_window. With a greater value, a key that becomes popular at all routers at once
  /// would spend what all of them had saved since the start of the endpoint.
  static constexpr double kMaxSavedWindows = 1.25;

  /// Time since the last draw, limited by kMaxSavedWindows, as a number of mean intervals between requests. 1
  /// while no interval is known.
  [[nodiscard]] double saved_intervals(const Endpoint& endpoint, Time now) const {
    const double interval = arrivals_.mean();
    if (interval <= 0) {
      return 1;
    }
    const Time saved = std::min(now - endpoint.last_slow_start_draw,
                                scaled(config_.slow_start_overload_window, kMaxSavedWindows));
    return static_cast<double>(saved) / interval;
  }

  const Config& config_;
  const ArrivalInterval& arrivals_;
};

}  // namespace streampick::policy
