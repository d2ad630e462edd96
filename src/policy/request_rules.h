#pragma once

#include <cstdint>

#include "policy/request_state.h"
#include "streampick/router.h"

namespace streampick::policy {

/// What the settings allow for one request: the number of attempts, where they may go, and whether the
/// request may be sent again. Has no state of its own; refers to the router's current settings.
class RequestRules {
 public:
  explicit RequestRules(const Config& config) : config_(config) {}

  [[nodiscard]] const RequestClass& class_of(const RequestState& state) const {
    return config_.classes[state.request.request_class];
  }
  [[nodiscard]] bool is_safe(const RequestState& state) const {
    return class_of(state).effect == Effect::safe;
  }

  /// Maximum number of attempts of the request, including those at the origin.
  [[nodiscard]] std::uint32_t max_attempts(const RequestState& state) const;

  /// Number of further attempts that may go to caches. In look-aside fleets one attempt of a read is reserved
  /// for the origin until the origin has been used.
  [[nodiscard]] std::uint32_t cache_attempts_left(const RequestState& state) const;

  /// Whether the request goes only to the origin, as writes in look-aside fleets do.
  [[nodiscard]] bool bypasses_caches(const RequestState& state) const {
    return config_.cache_aside && state.request.write;
  }

  /// Whether another attempt cannot cause the request to take effect twice. An unsafe request may be sent
  /// again only if no attempt can have run. A request with an idempotency key may also be sent again within
  /// its idempotency window, if all servers discard duplicates.
  [[nodiscard]] bool may_resend(const RequestState& state, Time now) const;

  /// Whether the answer to an attempt sent at `now` can reach the client before the deadline.
  [[nodiscard]] bool has_time_left(const RequestState& state, Time now) const {
    return state.request.deadline - now > config_.answer_slack;
  }

 private:
  const Config& config_;
};

}  // namespace streampick::policy
