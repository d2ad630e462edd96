// Rejects a Config from which a Router cannot be made, with a message for each reason.
#include <cmath>
#include <stdexcept>
#include <string>

#include "streampick/router.h"

namespace streampick {
namespace {

void require(bool condition, const std::string& message) {
  if (!condition) throw std::invalid_argument("streampick::Config: " + message);
}

}  // namespace

void validate(const Config& config) {
  require(!config.classes.empty(), "no request class");
  for (std::size_t i = 0; i < config.classes.size(); ++i) {
    const RequestClass& request_class = config.classes[i];
    const std::string prefix = "class " + std::to_string(i) + ": ";
    require(request_class.latency_objective > 0, prefix + "latency objective (AimUs) must be above 0");
    require(request_class.deadline > 0, prefix + "deadline (HardLimitUs) must be above 0");
    require(request_class.idempotency_window >= 0,
            prefix + "idempotency window (WindowUs) must not be negative");
    require(std::isfinite(request_class.priority_weight) && request_class.priority_weight >= 0,
            prefix + "priority weight (Worth) must be 0 or more");
  }
  for (std::size_t i = 0; i < config.tenants.size(); ++i) {
    const double quota = config.tenants[i].quota_per_s;
    require(std::isfinite(quota) && quota >= 0,
            "tenant " + std::to_string(i) + ": quota (QuotaPerS) must be 0 or more");
  }
  require(config.max_attempts > 0, "maximum number of attempts (MaxAttempts) must be 1 or more");
  require(config.slow_start_initial_share > 0 && config.slow_start_initial_share <= 1,
          "slow-start share (ColdShare) must be above 0 and at most 1");
  require(config.answer_slack >= 0 && config.max_retry_after >= 0 && config.slow_start_duration >= 0 &&
              config.connect_timeout >= 0 && config.keep_alive >= 0,
          "answer slack (AnswerSlackUs), maximum Retry-After (MaxRetryAfterUs), slow-start duration "
          "(ColdUs), connect timeout (DialTimeoutUs) and keep-alive time (KeepaliveUs) must not be negative");
  require(std::isfinite(config.connection_cost) && config.connection_cost >= 0,
          "connection cost (Costs.Connection) must be 0 or more");
  require(!config.cache_aside || config.origin_kind != kNone,
          "a look-aside fleet needs an origin kind (OriginKind)");
}

}  // namespace streampick
