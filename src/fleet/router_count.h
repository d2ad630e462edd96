// By how many routers a total is divided: the most that may be there by the fleet's view, with hysteresis.
// More are believed at once; fewer once nothing else was seen for the whole of `hold`. Until the view has
// settled for the first time the settings' constant counts as well, as a router that has just started knows
// nobody. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>

#include "membership/view_summary.h"

namespace streampick::fleet {

class RouterCount {
 public:
  RouterCount(std::uint32_t constant, membership::Time hold)
      : constant_(constant), hold_(hold), value_(constant) {}

  // What it would be with another constant in the settings; and that one taken.
  std::uint32_t with(std::uint32_t constant) const {
    return settled_once_ ? value_ : std::max(value_, constant);
  }
  void set_constant(std::uint32_t constant) {
    value_ = with(constant);
    constant_ = constant;
  }
  // The view now; to be told at least once a second. Returns the count.
  std::uint32_t see(membership::Time now, const membership::ViewSummary& summary) {
    settled_once_ = settled_once_ || (summary.is_settled && summary.alive > 1);
    auto most = static_cast<std::uint32_t>(std::max<std::size_t>(1, summary.max_live));
    if (!settled_once_) most = std::max(most, constant_);
    // The most of the last `hold`: a falling sequence of those that may still be it.
    while (!seen_.empty() && seen_.back().second <= most) seen_.pop_back();
    seen_.emplace_back(now, most);
    while (seen_.front().first < now - hold_) seen_.pop_front();
    // Time must have been watched for the whole of it.
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
