#include "policy/hedging.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace streampick::policy {
namespace {

// Delay before each hedged request, as a share of the latency objective.
constexpr double kDelayPerObjective = 0.4;
// Maximum number of hedged requests for one request.
constexpr std::uint32_t kMaxHedges = 2;
// Capacity of the hedging budget: hedged requests per endpoint, divided among all routers, and the minimum
// for one router.
constexpr double kBurstPerEndpoint = 2;
constexpr double kMinBurst = 2;
// An attempt counts as stalled once its endpoint has answered this many other attempts since it was sent.
constexpr std::uint32_t kAnswersToStall = 4;

}  // namespace

void Hedging::schedule(const RequestState& request, Time now) {
  if (deps_.rules.is_safe(request) && deps_.config.can_hedge) {
    deps_.timers.add(now + delay(request), TimerKind::hedge, request.self);
  }
}

void Hedging::on_timer(RequestState& request, Time now) {
  const Time next_at = now + delay(request);
  // A miss is an answer: once an origin read has been requested there is nothing left to hedge.
  if (request.origin_stage != OriginStage::none) {
    deps_.origin_reads.check_stalled(request, now);
    deps_.timers.add(next_at, TimerKind::hedge, request.self);
    return;
  }
  if (request.in_flight_count == 0) {
    return;
  }
  for (AttemptState& attempt : request.sent_attempts()) {
    check_attempt(attempt, now);
  }
  if (request.hedge_count >= kMaxHedges || deps_.rules.cache_attempts_left(request) == 0) {
    return;
  }
  try_hedge(request, now);
  deps_.timers.add(next_at, TimerKind::hedge, request.self);
}

void Hedging::initialize_budget(double per_router_share) {
  budget_.set_tokens(kBurstPerEndpoint * per_router_share);
}

void Hedging::resize_budget(double per_router_share) {
  budget_.set_capacity(std::max(kMinBurst, kBurstPerEndpoint * per_router_share));
}

Time Hedging::delay(const RequestState& request) const {
  return scaled(deps_.rules.class_of(request).latency_objective, kDelayPerObjective);
}

void Hedging::check_attempt(AttemptState& attempt, Time now) {
  if (!attempt.in_flight) {
    return;
  }
  Endpoint& endpoint = deps_.endpoints.at(attempt.endpoint);
  // No answer since this attempt was sent: the endpoint is slow, not just this request.
  if (!attempt.silence_recorded && endpoint.outlier.last_answer_at < attempt.sent_at) {
    attempt.silence_recorded = true;
    const bool zone_is_silent = endpoint.zone_outlier->last_answer_at < attempt.sent_at;
    deps_.outliers.record_failure(
        endpoint, zone_is_silent ? FailureScope::failure_domain : FailureScope::endpoint, now);
    return;
  }
  // Many other attempts have been answered since: this one does not wait for work of the endpoint.
  if (!attempt.to_origin && endpoint.answers - attempt.endpoint_answers >= kAnswersToStall) {
    deps_.dispatcher.mark_stalled(attempt);
  }
}

void Hedging::try_hedge(RequestState& request, Time now) {
  if (!budget_.has_token() || deps_.congestion.is_congested()) {
    return;
  }
  const std::optional<ServerId> endpoint = deps_.picker.pick(request, PickPurpose::hedge, now);
  if (!endpoint) {
    return;
  }
  budget_.try_take();
  ++request.hedge_count;
  deps_.dispatcher.send(request, *endpoint, now);
}

}  // namespace streampick::policy
