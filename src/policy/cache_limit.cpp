#include "policy/cache_limit.h"

#include <algorithm>

namespace streampick::policy {
namespace {

// Initial and minimum number of attempts in flight per endpoint, divided among all routers. The minimum is
// raised to one attempt at a time where the initial limit allows that.
constexpr double kInitialLimitPerEndpoint = 3;
constexpr double kMinLimitPerEndpoint = 0.5;
constexpr double kMinInitialLimit = 1;
constexpr double kMaxLimit = 1e9;
constexpr double kDecrease = 0.9;
constexpr double kIncrease = 1.2;
// The limit counts as in use when at least this share of it is in flight.
constexpr double kInUseShare = 0.7;

}  // namespace

bool CacheLimit::initialize(double per_router_share) {
  if (limit_.value() > 0) {
    return false;
  }
  limit_.set_value(std::max(kMinInitialLimit, kInitialLimitPerEndpoint * per_router_share));
  return true;
}

bool CacheLimit::try_admit(Time now, double in_flight) {
  const bool admitted = limit_.has_capacity(now, in_flight);
  shed_since_tick_ |= !admitted;
  return admitted;
}

void CacheLimit::adjust(Load load) {
  const double limit = limit_.value();
  if (congestion_.is_congested()) {
    const double least =
        std::max(kMinLimitPerEndpoint * load.per_router_share,
                 std::min(kMinInitialLimit, kInitialLimitPerEndpoint * load.per_router_share));
    limit_.set_value(std::max(least, std::min<double>(limit, load.in_flight + 1) * kDecrease));
  } else if (shed_since_tick_ || load.in_flight >= limit * kInUseShare) {
    limit_.set_value(std::min(kMaxLimit, limit * kIncrease));
  }
  shed_since_tick_ = false;
}

}  // namespace streampick::policy
