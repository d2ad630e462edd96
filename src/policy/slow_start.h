#pragma once

#include <algorithm>

#include "policy/arrival_interval.h"
#include "policy/durations.h"
#include "policy/endpoint.h"
#include "streampick/router.h"

namespace streampick::policy {

/// How much work an endpoint gets while it warms up. Inline throughout: it is asked for each candidate of
/// each pick.
class SlowStart {
 public:
  /// What a draw depends on besides the endpoint.
  struct DrawContext {
    double capacity_share = 1;  ///< of the endpoint, now
    double healthy_weight = 0;  ///< sum over all ready endpoints
    Time now = 0;
  };

  SlowStart(const Config& config, const ArrivalInterval& arrivals) : config_(config), arrivals_(arrivals) {}

  /// Share of its full capacity that the endpoint has by now, from the settings' cold share up to 1.
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

  /// The probability with which a first attempt on the endpoint's keys goes to it while it warms up: its
  /// capacity share, and in sum over all routers at most the settings' multiple of that share of its usual
  /// load. Each router's part, mostly far below one, grows with the time since the last draw; a draw spends
  /// it. `healthy_weight` is the sum over all ready endpoints.
  [[nodiscard]] double first_attempt_share(const Endpoint& endpoint, const DrawContext& context) const {
    if (config_.slow_start_overload_factor <= 0 || context.healthy_weight <= 0) {
      return context.capacity_share;
    }
    const double usual_attempts =
        endpoint.weight / context.healthy_weight * saved_intervals(endpoint, context.now);
    return context.capacity_share * std::min(1.0, config_.slow_start_overload_factor * usual_attempts);
  }

 private:
  /// Windows in which an overload is counted whose part a router saves up at most. With more, a key that
  /// becomes popular at all routers at once would spend what they all had saved up since the endpoint's
  /// start.
  static constexpr double kMaxSavedWindows = 1.25;

  /// Mean intervals between requests since the last draw. The first request, of which no interval is known
  /// yet, counts as one.
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
