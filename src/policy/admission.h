// Sheds what cannot be answered in time, only under pressure: a limit on cache work in flight, cut when
// answers take long or reads are turned away twice, raised while it is used. Tenants over their quota and
// classes of less worth get less of it; a read waits a little for room, last in first out. It guards against
// overload of any cause, crowds that make servers slower, and bursts. It hurts when answers are slow for a
// reason that less work does not cure: then it refuses what would have been late but welcome. Writes that go
// to the origin pass.
#pragma once

#include "policy/origin.h"

namespace streampick::policy {

inline constexpr double kLimitStart = 3;  // first limit on cache work in flight: this for each server, shared
inline constexpr double kLimitLeast = 0.5;       // ... and the least one
inline constexpr double kEntryWaitPerAim = 0.2;  // longest wait for room, as a share of the aim
inline constexpr double kOverQuotaPart = 0.6;    // of the limit, for tenants over their quota
inline constexpr double kLeastWorthPart = 0.3;   // ... and this much less of it for a class worth nothing
inline constexpr double kShedDown = 0.9, kShedUp = 1.2;  // steps of the limit on cache work in flight

struct Admission : Origin {
  using Origin::Origin;

  bool use_quota(const Request& request) {
    bool over_quota = false;
    if (request.tenant < tenants_.size() && config_.tenants[request.tenant].quota_per_s > 0) {
      TenantState& tenant = tenants_[request.tenant];
      const double rate = config_.tenants[request.tenant].quota_per_s / config_.routers;
      tenant.tokens += rate * static_cast<double>(now_ - tenant.filled) / kSecond;
      tenant.tokens = std::min(tenant.tokens, rate * 2 + 2);
      tenant.filled = now_;
      over_quota = tenant.tokens < 1;
      if (!over_quota) tenant.tokens -= 1;
    }
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

  void drain_entry_line() {
    while (!entry_line_.empty()) {
      const auto [slot, generation] = entry_line_.back();
      Open& open = open_[slot];
      const bool stale = open.generation != generation || open.over || !open.held;
      if (!stale && !admits(open.request, false)) return;
      entry_line_.pop_back();
      if (stale) continue;
      open.held = false;
      start(slot);
    }
  }

  void adjust_limit() {
    const int in_flight = cache_in_flight_;
    double& limit = cache_limit_.value;
    if (crowding_ > kCrowdedPerAim) {
      limit = std::max(kLimitLeast * even_part(), std::min<double>(limit, in_flight + 1) * kShedDown);
    } else if (limit_used_ || in_flight >= limit * 0.7) {
      limit = std::min(1e9, limit * kShedUp);
    }
    limit_used_ = false;
  }
};

}  // namespace streampick::policy
