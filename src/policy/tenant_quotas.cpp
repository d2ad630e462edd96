#include "policy/tenant_quotas.h"

#include <algorithm>

#include "policy/durations.h"

namespace streampick::policy {
namespace {

// Capacity of a tenant's bucket: its rate for this many seconds, plus this many requests.
constexpr double kBurstSeconds = 2;
constexpr double kBurstRequests = 2;

}  // namespace

void TenantQuotas::configure(const Config& previous, const Config& next) {
  if (next.tenants != previous.tenants) {
    buckets_.clear();
  }
  buckets_.resize(next.tenants.size());
}

bool TenantQuotas::is_over_quota(const Request& request, Time now) {
  if (request.tenant >= buckets_.size() || config_.tenants[request.tenant].quota_per_s <= 0) {
    return false;
  }
  Bucket& bucket = buckets_[request.tenant];
  const double even_share = config_.tenants[request.tenant].quota_per_s / config_.routers;
  const double rate = request.tenant < rates_.size() ? rates_[request.tenant] : even_share;
  const double seconds =
      static_cast<double>(now - std::exchange(bucket.refilled_at, now)) / static_cast<double>(kSecond);
  bucket.tokens = std::min(bucket.tokens + rate * seconds, rate * kBurstSeconds + kBurstRequests);
  if (bucket.tokens < 1) {
    return true;
  }
  bucket.tokens -= 1;
  return false;
}

}  // namespace streampick::policy
