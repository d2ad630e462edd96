// Number of routers that a fleet-wide total is divided by. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>

#include "membership/gossip_protocol.h"

namespace streampick::fleet {

/// The maximum number of routers according to the membership view, with hysteresis: an increase takes effect
/// at once, a decrease after it has lasted for `hold`. Until the view has settled for the first time, the
/// number of routers in the settings is a lower bound, because a router that has just started knows no peers.
class RouterCount {
 public:
  RouterCount(std::uint32_t configured_routers, membership::Time hold)
      : configured_routers_(configured_routers), hold_(hold), value_(configured_routers) {}

  /// Returns the count that would apply if the settings stated `configured_routers`.
  std::uint32_t with(std::uint32_t configured_routers) const {
    return settled_once_ ? value_ : std::max(value_, configured_routers);
  }
  void set_configured_routers(std::uint32_t configured_routers) {
    value_ = with(configured_routers);
    configured_routers_ = configured_routers;
  }
  /// Updates the count from the view's summary and returns it. Call it at least once per second.
  std::uint32_t observe(membership::Time now, const membership::ViewSummary& counts) {
    settled_once_ = settled_once_ || (counts.is_settled && counts.alive > 1);
    auto maximum = static_cast<std::uint32_t>(std::max<std::size_t>(1, counts.max_live));
    if (!settled_once_) maximum = std::max(maximum, configured_routers_);
    // Sliding-window maximum over `hold`: the deque keeps, in decreasing order, the values that can still
    // become the maximum.
    while (!window_.empty() && window_.back().second <= maximum) window_.pop_back();
    window_.emplace_back(now, maximum);
    while (window_.front().first < now - hold_) window_.pop_front();
    // Until a full window has been observed, the count does not decrease.
    if (first_observation_ == 0) first_observation_ = now;
    const std::uint32_t window_maximum = window_.front().second;
    value_ = now - first_observation_ < hold_ ? std::max(value_, window_maximum) : window_maximum;
    return value_;
  }
  std::uint32_t value() const { return value_; }

 private:
  std::uint32_t configured_routers_;
  membership::Time hold_, first_observation_ = 0;
  std::uint32_t value_;
  bool settled_once_ = false;
  std::deque<std::pair<membership::Time, std::uint32_t>> window_;
};

}  // namespace streampick::fleet
