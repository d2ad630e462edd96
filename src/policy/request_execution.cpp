#include "policy/request_execution.h"

#include <algorithm>
#include <optional>

#include "policy/outcomes.h"
#include "policy/outlier_detector.h"
#include "policy/retry_after.h"

namespace streampick::policy {
namespace {

// Maximum wait while all endpoints are full, as a share of the latency objective.
constexpr double kMaxFullWaitPerObjective = 0.5;
constexpr Time kMinFullWait = kMillisecond;
// Number of consecutive broken answers of an endpoint from which a retry goes to the next endpoint instead.
constexpr int kBrokenAnswersToSwitchEndpoint = 2;
// The mean Retry-After of a request that is given up is the maximum Retry-After divided by this.
constexpr Time kGiveUpRetryAfterDivisor = 8;

}  // namespace

void RequestExecution::start(RequestState& request, Time now) {
  deps_.hedging.on_first_attempt();
  deps_.retry_budget.on_first_attempt();
  if (deps_.rules.bypasses_caches(request)) {
    deps_.origin_reads.fetch(request, now);
    return;
  }
  const std::optional<ServerId> endpoint = deps_.picker.pick(request, PickPurpose::attempt, now);
  if (!endpoint) {
    wait_for_endpoint(request, now);
    return;
  }
  deps_.dispatcher.send(request, *endpoint, now);
  deps_.hedging.schedule(request, now);
}

// Retries later because no endpoint is known or all are full. Full endpoints soon have room again, and
// waiting requests hold resources, so the wait for them is short.
void RequestExecution::wait_for_endpoint(RequestState& request, Time now) {
  const Time objective = deps_.rules.class_of(request).latency_objective;
  const bool none_known = deps_.ready.empty();
  if (!none_known && now - request.arrived_at >= scaled(objective, kMaxFullWaitPerObjective)) {
    fall_back_to_origin(request, now);
    return;
  }
  const Time until_room = deps_.latencies.half_mean(request.request);
  const Time wait = none_known ? kTickPeriod : std::clamp(until_room, kMinFullWait, kTickPeriod);
  deps_.timers.add(now + wait, TimerKind::retry, request.self);
}

void RequestExecution::on_retry_timer(RequestState& request, Time now) {
  if (!deps_.rules.has_time_left(request, now)) {
    give_up(request, now);
    return;
  }
  if (request.attempt_count == 0 && !deps_.rules.bypasses_caches(request)) {
    start(request, now);
    return;
  }
  request.origin_stage = OriginStage::none;
  deps_.origin_reads.fetch(request, now);
}

void RequestExecution::on_attempt_failed(RequestState& request, const AttemptState& attempt, Outcome outcome,
                                         Time now) {
  // This attempt was lost, and OriginReads::check_stalled() cancelled it so that it is sent again.
  if (attempt.to_origin && attempt.stalled && outcome == Outcome::cancelled) {
    deps_.origin_reads.fetch(request, now);
    return;
  }
  if (outcome == Outcome::invalid_request) {
    fail(request, now);
    return;
  }
  if (outcome == Outcome::miss && deps_.config.cache_aside && !attempt.to_origin) {
    on_cache_miss(request, now);
    return;
  }
  const bool is_broken = outcome == Outcome::malformed || outcome == Outcome::reset;
  if (!is_broken || !retry_same_endpoint(request, attempt, now)) {
    retry_elsewhere(request, outcome, now);
  }
}

void RequestExecution::on_cache_miss(RequestState& request, Time now) {
  if (request.origin_stage == OriginStage::none) {
    deps_.origin_reads.fetch(request, now);
  } else if (request.origin_stage == OriginStage::done && request.in_flight_count == 0) {
    give_up(request, now);
  }
}

// After a broken answer a read is retried at the same endpoint, which has the key cached, while the next
// endpoint of the plan would mostly miss. A write with an idempotency key is retried at the origin within its
// window: a rejection would make the client repeat it anyway.
bool RequestExecution::retry_same_endpoint(RequestState& request, const AttemptState& attempt, Time now) {
  const RequestRules& rules = deps_.rules;
  if (request.is_streaming || !rules.may_resend(request, now) || !rules.has_time_left(request, now)) {
    return false;
  }
  const Endpoint& endpoint = deps_.endpoints.at(attempt.endpoint);
  if (attempt.to_origin) {
    if (request.attempt_count >= rules.max_attempts(request) || !endpoint.is_listed) {
      return false;
    }
    deps_.origin_reads.fetch(request, now);
    return true;
  }
  if (!rules.is_safe(request) || !is_worth_retrying(request, endpoint, now)) {
    return false;
  }
  deps_.dispatcher.send(request, attempt.endpoint, now);
  return true;
}

bool RequestExecution::is_worth_retrying(const RequestState& request, const Endpoint& endpoint,
                                         Time now) const {
  if (deps_.slow_start.is_warming_up(endpoint, now)) {
    return false;
  }
  const bool is_healthy = endpoint.broken_answers < kBrokenAnswersToSwitchEndpoint &&
                          endpoint.full_until <= now && !OutlierDetector::is_ejected(endpoint.outlier, now);
  return is_healthy && deps_.ready.is_eligible(endpoint) && request.origin_stage == OriginStage::none &&
         deps_.rules.cache_attempts_left(request) > 0;
}

// Handles an attempt that ended without an answer: retries at the next endpoint of the plan that has not been
// tried. Other attempts of the request stay in flight.
void RequestExecution::retry_elsewhere(RequestState& request, Outcome outcome, Time now) {
  const bool waits_for_origin =
      request.origin_stage == OriginStage::queued || request.origin_stage == OriginStage::following;
  const bool others_in_flight = request.in_flight_count > 0;
  if (waits_for_origin || (others_in_flight && !deps_.rules.is_safe(request))) {
    return;
  }
  if (!deps_.retry_budget.try_retry(outcome)) {
    if (!others_in_flight) {
      give_up(request, now);
    }
    return;
  }
  if (!try_retry(request, now) && !others_in_flight) {
    fall_back_to_origin(request, now);
  }
}

// Returns whether an attempt was sent or will be.
bool RequestExecution::try_retry(RequestState& request, Time now) {
  const RequestRules& rules = deps_.rules;
  if (!rules.may_resend(request, now) || !rules.has_time_left(request, now)) {
    return false;
  }
  const AttemptState& last = request.attempts[request.attempt_count - 1];
  if (last.to_origin || rules.bypasses_caches(request)) {
    if (request.attempt_count >= rules.max_attempts(request) || !never_ran(last.outcome)) {
      return false;
    }
    deps_.timers.add(now + kTickPeriod, TimerKind::retry, request.self);
    return true;
  }
  if (rules.cache_attempts_left(request) == 0 || request.origin_stage == OriginStage::in_flight) {
    return false;
  }
  const std::optional<ServerId> endpoint = deps_.picker.pick(request, PickPurpose::attempt, now);
  if (!endpoint) {
    return false;
  }
  deps_.dispatcher.send(request, *endpoint, now);
  return true;
}

void RequestExecution::fall_back_to_origin(RequestState& request, Time now) {
  const bool may_read = deps_.config.cache_aside && deps_.rules.is_safe(request) &&
                        request.origin_stage == OriginStage::none &&
                        request.attempt_count < deps_.rules.max_attempts(request);
  if (may_read && deps_.origin_reads.has_capacity(now)) {
    deps_.origin_reads.fetch(request, now);
  } else {
    give_up(request, now);
  }
}

void RequestExecution::give_up(RequestState& request, Time now) {
  if (!deps_.rules.may_resend(request, now)) {
    fail(request, now);
    return;
  }
  const RequestId id = request.request.id;
  const Time mean = deps_.config.max_retry_after / kGiveUpRetryAfterDivisor;
  deps_.sink.reject(id, jittered_retry_after(deps_.config, mean, id));
  finish(request, now);
}

void RequestExecution::fail(RequestState& request, Time now) {
  deps_.sink.fail(request.request.id);
  finish(request, now);
}

void RequestExecution::finish(RequestState& request, Time now) {
  request.is_over = true;
  // Origin reads in flight are not cancelled: the origin would go on processing them, and the answers fill
  // caches.
  for (std::uint32_t i = 0; i < request.attempt_count && deps_.config.can_cancel; ++i) {
    const AttemptState& attempt = request.attempts[i];
    if (attempt.in_flight && !attempt.to_origin) {
      deps_.sink.cancel(request.request.id, i);
    }
  }
  if (request.origin_stage != OriginStage::in_flight) {
    deps_.origin_reads.release_followers(request, false, now);
  }
  deps_.requests.release_if_done(request);
}

}  // namespace streampick::policy
