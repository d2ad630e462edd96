// A limit on cache work in flight, cut when answers take long or reads are turned away twice, raised while in
// use. Tenants over quota and classes of less worth get less; a read waits a little; origin writes pass.
#pragma once

#include "policy/origin.h"

namespace streampick::policy {

inline constexpr double kLimitStart = 3;  // first limit on cache work in flight: this for each server, shared
inline constexpr double kLimitLeast = 0.5;       // ... and the least, but for one at a time within the first
inline constexpr double kEntryWaitPerAim = 0.2;  // longest wait for room, as a share of the aim
inline constexpr double kOverQuotaPart = 0.6;    // of the limit, for tenants over their quota
inline constexpr double kLeastWorthPart = 0.3;   // ... and this much less of it for a class worth nothing
inline constexpr double kShedDown = 0.9, kShedUp = 1.2;  // steps of the limit on cache work in flight

struct Admission : Origin {
  using Origin::Origin;

  bool use_quota(const Request& request) {
    if (request.tenant >= tenants_.size() || config_.tenants[request.tenant].quota_per_s <= 0) return false;
    auto& [tokens, filled] = tenants_[request.tenant];
    const double even = config_.tenants[request.tenant].quota_per_s / config_.routers;
    const double rate = request.tenant < shares_.quotas.size() ? shares_.quotas[request.tenant] : even;
    const double passed = static_cast<double>(now_ - std::exchange(filled, now_)) / kSecond;
    tokens = std::min(tokens + rate * passed, rate * 2 + 2);
    const bool over_quota = tokens < 1;
    if (!over_quota) tokens -= 1;
    return over_quota;
  }

  bool admits(const Request& request, bool over_quota) {
    if (request.write && config_.aside) return true;
    const double worth = config_.classes[request.request_class].worth / most_worth_;
    const double part = over_quota ? kOverQuotaPart : 1 - kLeastWorthPart * (1 - worth);
    const bool room = cache_limit_.room(cache_in_flight_ / part, now_);
    limit_used_ |= !room;
    return room;
  }

  bool waits(const std::pair<std::uint32_t, std::uint32_t>& place) const {
    const Open& open = open_[place.first];
    return open.generation == place.second && !open.over && open.held;
  }

  // Last in, first out. A line that has not been empty for as long as a read may wait holds no burst any
  // more: who waits there for longer than an answer takes waits in vain, and a connection with it.
  void stand_in_line(std::uint32_t slot) {
    Open& open = open_[slot];
    if (entry_line_.empty()) line_since_ = now_;
    Time longest = times(class_of(open).aim, kEntryWaitPerAim);
    const auto usual = static_cast<Time>(class_took_[open.request.request_class]);
    if (now_ - line_since_ > longest) longest = std::min(longest, usual);
    open.held = true;
    entry_line_.emplace_back(slot, open.generation);
    add_timer(now_ + longest, Wake::entry, slot, open.generation);
    drain_entry_line();
  }

  void leave_line(std::uint32_t slot) {
    open_[slot].held = false;
    while (!entry_line_.empty() && !waits(entry_line_.front())) entry_line_.pop_front();
    last_resort(slot);
  }

  void drain_entry_line() {
    while (!entry_line_.empty()) {
      const auto place = entry_line_.back();
      const bool waiting = waits(place);
      if (waiting && !admits(open_[place.first].request, false)) return;
      entry_line_.pop_back();
      if (waiting) open_[place.first].held = false, start(place.first);
    }
  }

  void adjust_limit() {
    double& limit = cache_limit_.value;
    if (crowding_ > kCrowdedPerAim) {
      const double least = std::max(kLimitLeast * even_part(), std::min(1.0, kLimitStart * even_part()));
      limit = std::max(least, std::min<double>(limit, cache_in_flight_ + 1) * kShedDown);
    } else if (limit_used_ || cache_in_flight_ >= limit * 0.7) {
      limit = std::min(1e9, limit * kShedUp);
    }
    limit_used_ = false;
  }
};

}  // namespace streampick::policy
