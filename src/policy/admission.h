#pragma once

#include <cstdint>

#include "policy/attempt_dispatcher.h"
#include "policy/cache_limit.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Whether the tenant of a request is within its quota or over it.
enum class QuotaState : std::uint8_t { within, over };

/// Decides whether a request may be started now. Compares the cache attempts in flight with the concurrency
/// limit. Tenants over their quota and classes of low priority weight may use only a share of the limit.
/// Writes in look-aside fleets go to the origin and are always admitted.
class AdmissionControl {
 public:
  AdmissionControl(const Config& config, const AttemptDispatcher& dispatcher, CacheLimit& limit)
      : config_(config), dispatcher_(dispatcher), limit_(limit) {}

  /// Takes the priority weights of the request classes from the settings.
  void configure(const Config& next);

  /// Whether a request that arrives at `now` may be started at once.
  [[nodiscard]] bool admits(const Request& request, QuotaState quota, Time now);

 private:
  // Divisor for the weights if all classes have priority weight 0.
  static constexpr double kMinPriorityWeight = 1e-9;

  const Config& config_;
  const AttemptDispatcher& dispatcher_;
  CacheLimit& limit_;
  double max_priority_weight_ = kMinPriorityWeight;  // among the classes that use caches
};

}  // namespace streampick::policy
