#pragma once

#include <utility>
#include <vector>

#include "streampick/router.h"

namespace streampick::policy {

/// Token buckets for the quotas of tenants. A quota applies to all routers together. This router uses an even
/// share of it, or the share that the host sets.
class TenantQuotas {
 public:
  explicit TenantQuotas(const Config& config) : config_(config) {}

  /// Takes the tenants of `next`. The buckets keep their tokens if the tenants are the same as in `previous`.
  void configure(const Config& previous, const Config& next);

  /// Sets this router's share of the quotas, in requests per second, by tenant. Tenants beyond the end of
  /// `rates` use an even share.
  void set_rates(std::vector<double> rates) { rates_ = std::move(rates); }

  /// Takes a token for the request. Returns true if the tenant's bucket has none, which means it is over its
  /// quota.
  [[nodiscard]] bool is_over_quota(const Request& request, Time now);

 private:
  struct Bucket {
    double tokens = 0;
    Time refilled_at = 0;
  };

  const Config& config_;
  std::vector<double> rates_;
  std::vector<Bucket> buckets_;  // by tenant
};

}  // namespace streampick::policy
