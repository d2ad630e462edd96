#pragma once

#include <cstdint>

#include "policy/request_state.h"
#include "streampick/router.h"

namespace streampick::policy {

/// What the settings allow for one request: how many attempts, where, and whether it may be sent again.
/// Holds no state; refers to the router's current settings.
class RequestRules {
 public:
  explicit RequestRules(const Config& config) : config_(config) {}

  [[nodiscard]] const RequestClass& class_of(const RequestState& state) const {
    return config_.classes[state.request.request_class];
  }
  [[nodiscard]] bool is_safe(const RequestState& state) const {
    return class_of(state).effect == Effect::safe;
  }

  /// Most attempts of the request, those at the origin included.
  [[nodiscard]] std::uint32_t max_attempts(const RequestState& state) const;

  /// Attempts that may still go to caches. In look-aside fleets the last attempt of a read is reserved for
  /// the origin until that was asked.
  [[nodiscard]] std::uint32_t cache_attempts_left(const RequestState& state) const;

  /// Whether the request goes to the origin and to no cache: a write of a look-aside fleet.
  [[nodiscard]] bool bypasses_caches(const RequestState& state) const {
    return config_.cache_aside && state.request.write;
  }

  /// Whether one more attempt is harmless. An unsafe request goes out again only when no attempt can have
  /// run. One with an idempotency key also while its repeats are still discarded, and only where all servers
  /// discard them.
  [[nodiscard]] bool may_resend(const RequestState& state, Time now) const;

  /// Whether an answer to an attempt that is sent now can reach the client in time.
  [[nodiscard]] bool has_time_left(const RequestState& state, Time now) const {
    return state.request.deadline - now > config_.answer_slack;
  }

 private:
  const Config& config_;
};

}  // namespace streampick::policy
