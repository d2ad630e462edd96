// By how many routers a total is divided. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>

#include "membership/gossip_protocol.h"

namespace streampick::fleet {

/// The maximum number of routers by the membership view, with hysteresis: an increase counts at once, a
/// decrease once it has lasted for `hold`. Until the view has settled for the first time, the settings'
/// constant is a lower bound, since a router that has just started knows nobody.
class RouterCount {
 public:
  RouterCount(std::uint32_t constant, membership::Time hold)
      : constant_(constant), hold_(hold), value_(constant) {}

  /// The count with another constant in the settings.
  std::uint32_t with(std::uint32_t constant) const {
    return settled_once_ ? value_ : std::max(value_, constant);
  }
  void set_constant(std::uint32_t constant) {
    value_ = with(constant);
    constant_ = constant;
  }
  /// Takes the view's counts and returns the new count; to be called at least once a second.
  std::uint32_t see(membership::Time now, const membership::ViewSummary& counts) {
    settled_once_ = settled_once_ || (counts.is_settled && counts.alive > 1);
    auto most = static_cast<std::uint32_t>(std::max<std::size_t>(1, counts.max_live));
    if (!settled_once_) most = std::max(most, constant_);
    // A sliding-window maximum over `hold`: values that can still become the maximum, falling.
    while (!seen_.empty() && seen_.back().second <= most) seen_.pop_back();
    seen_.emplace_back(now, most);
    while (seen_.front().first < now - hold_) seen_.pop_front();
    // The window must have been observed completely.
    if (first_ == 0) first_ = now;
    const std::uint32_t held = seen_.front().second;
    value_ = now - first_ < hold_ ? std::max(value_, held) : held;
    return value_;
  }
  std::uint32_t value() const { return value_; }

 private:
  std::uint32_t constant_;
  membership::Time hold_, first_ = 0;
  std::uint32_t value_;
  bool settled_once_ = false;
  std::deque<std::pair<membership::Time, std::uint32_t>> seen_;
};

}  // namespace streampick::fleet
