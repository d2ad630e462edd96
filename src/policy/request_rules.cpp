#include "policy/request_rules.h"

#include <algorithm>

#include "policy/outcomes.h"

namespace streampick::policy {
namespace {

// Requests are sent again only within this many tenths of the idempotency window. The remainder is for the
// time to the server.
constexpr Time kResendWindowTenths = 9;

}  // namespace

std::uint32_t RequestRules::max_attempts(const RequestState& state) const {
  const std::uint32_t class_limit = class_of(state).max_attempts;
  return std::min<std::uint32_t>(class_limit > 0 ? class_limit : config_.max_attempts, kMaxAttempts);
}

std::uint32_t RequestRules::cache_attempts_left(const RequestState& state) const {
  const std::uint32_t total = max_attempts(state);
  const bool origin_asked =
      state.origin_stage == OriginStage::in_flight || state.origin_stage == OriginStage::done;
  const std::uint32_t reserved = config_.cache_aside && !origin_asked && total > 1 ? 1 : 0;
  const std::uint32_t limit = total - reserved;
  return state.attempt_count < limit ? limit - state.attempt_count : 0;
}

bool RequestRules::may_resend(const RequestState& state, Time now) const {
  const RequestClass& rules = class_of(state);
  if (rules.effect == Effect::safe) {
    return true;
  }
  for (const AttemptState& attempt : state.sent_attempts()) {
    if (!attempt.in_flight && never_ran(attempt.outcome)) {
      continue;
    }
    if (rules.effect == Effect::unsafe || rules.group != Group::all) {
      return false;
    }
    if (now - attempt.sent_at >= rules.idempotency_window * kResendWindowTenths / 10) {
      return false;
    }
  }
  return true;
}

}  // namespace streampick::policy
