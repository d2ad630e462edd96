#include "policy/result_recorder.h"

#include <algorithm>

#include "policy/outcomes.h"

namespace streampick::policy {
namespace {

// Number of consecutive broken answers from which each counts as a failure of the endpoint. Fewer may be
// caused by the network, which affects all endpoints alike.
constexpr int kBrokenAnswersToFail = 5;
// Factor on an endpoint's latency sums with each answer.
constexpr double kLatencySumDecay = 0.97;

}  // namespace

void ResultRecorder::record(const RequestState& request, const AttemptState& attempt,
                            const AttemptResult& result, Time now) {
  Endpoint& endpoint = endpoints_.at(attempt.endpoint);
  if (result.outcome == Outcome::served || result.outcome == Outcome::miss) {
    endpoint.broken_answers = 0;
    ++endpoint.answers;
  }
  if (!attempt.to_origin) {
    record_congestion(request, attempt, result, now);
  }
  if (result.outcome == Outcome::overloaded) {
    endpoint.full_until = now + latencies_.half_mean(request.request);
  }
  record_outcome(endpoint, attempt, result, now);
  if (result.outcome == Outcome::served && ready_.is_eligible(endpoint)) {
    record_latency(endpoint, request, result);
  }
}

void ResultRecorder::record_congestion(const RequestState& request, const AttemptState& attempt,
                                       const AttemptResult& result, Time now) {
  if (result.outcome == Outcome::overloaded && request.attempt_count > 1) {
    congestion_.record_rejected_again(now);
  } else if (result.outcome == Outcome::served) {
    const auto objective = static_cast<double>(std::max<Time>(1, rules_.class_of(request).latency_objective));
    congestion_.record_latency_share(now, static_cast<double>(now - attempt.sent_at) / objective);
  }
}

void ResultRecorder::record_outcome(Endpoint& endpoint, const AttemptState& attempt,
                                    const AttemptResult& result, Time now) {
  switch (result.outcome) {
    case Outcome::served:
    case Outcome::miss:
    case Outcome::invalid_request:
    case Outcome::overloaded: OutlierDetector::record_success(endpoint, now); break;
    case Outcome::error: outliers_.record_failure(endpoint, FailureScope::endpoint, now); break;
    case Outcome::reset:
    case Outcome::malformed:
      ++endpoint.broken_answers;
      if (endpoint.broken_answers >= kBrokenAnswersToFail) {
        outliers_.record_failure(endpoint, FailureScope::endpoint, now);
      }
      break;
    case Outcome::connect_failed: {
      const bool refused = connection_refused(result, config_.connect_timeout);
      const FailureScope scope = refused ? FailureScope::endpoint : FailureScope::failure_domain;
      outliers_.record_failure(endpoint, scope, now);
      break;
    }
    case Outcome::timeout:
      if (!attempt.silence_recorded) {
        outliers_.record_failure(endpoint, FailureScope::failure_domain, now);
      }
      break;
    case Outcome::cancelled:
    case Outcome::not_sent: break;
  }
}

void ResultRecorder::record_latency(Endpoint& endpoint, const RequestState& request,
                                    const AttemptResult& result) {
  const auto latency = static_cast<double>(result.duration);
  const double mean_latency = latencies_.record(request.request, latency);
  const Time hint = request.request.cost_hint;
  const double expected = hint > 0 ? static_cast<double>(hint) : mean_latency;
  endpoint.latency_sum = endpoint.latency_sum * kLatencySumDecay + latency;
  endpoint.expected_latency_sum = endpoint.expected_latency_sum * kLatencySumDecay + expected;
}

}  // namespace streampick::policy
