#include "policy/outlier_detector.h"

#include <algorithm>

namespace streampick::policy {
namespace {

// Each ejection is multiplied by a random factor of at least kMinJitterFactor and less than kMinJitterFactor
// + kJitterRange, so that routers that saw the same failure do not all return to the endpoint at once.
constexpr double kMinJitterFactor = 0.75;
constexpr double kJitterRange = 0.5;

}  // namespace

void OutlierDetector::record_failure(Endpoint& endpoint, FailureScope scope, Time now) {
  record_failure(endpoint.outlier, now);
  if (scope == FailureScope::failure_domain) {
    record_failure(*endpoint.zone_outlier, now);
    record_failure(*endpoint.cell_outlier, now);
  }
}

void OutlierDetector::record_failure(OutlierState& state, Time now) {
  ++state.consecutive_failures;
  if (state.consecutive_failures < kFailuresToEject || state.ejected_until > now) {
    return;
  }
  state.ejected_until = now + scaled(state.next_ejection, kMinJitterFactor + kJitterRange * random_.next());
  state.next_ejection = std::min(kMaxEjection, state.next_ejection * 2);
}

void OutlierDetector::record_success(Endpoint& endpoint, Time now) {
  for (OutlierState* state : endpoint.outlier_states()) {
    state->consecutive_failures = 0;
    state->ejected_until = 0;
    state->next_ejection = std::max(kFirstEjection, state->next_ejection / 2);
    state->last_answer_at = now;
  }
}

}  // namespace streampick::policy
