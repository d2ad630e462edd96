#include "policy/router_impl.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "policy/durations.h"
#include "policy/retry_after.h"

namespace streampick {

using policy::AttemptState;
using policy::QuotaState;
using policy::RequestState;
using policy::Timer;
using policy::TimerKind;

namespace {

// The mean Retry-After of a request rejected by its tenant's quota is the maximum Retry-After divided by
// this.
constexpr Time kQuotaRetryAfterDivisor = 2;
// Maximum pause of a limit below one, as a multiple of the latency objective.
constexpr Time kMaxPausePerObjective = 2;

}  // namespace

// NOLINTNEXTLINE(bugprone-easily-swappable-parameters): the order of the public interface.
Router::Impl::Impl(Config config, std::uint64_t seed, Time now, ActionSink& sink)
    : sink_(sink),
      config_(std::move(config)),
      random_(seed),
      connections_(config_, endpoints_, ready_, arrivals_, timers_, sink_),
      execution_({config_, rules_, requests_, endpoints_, ready_, slow_start_, latencies_, picker_,
                  dispatcher_, retry_budget_, hedging_, origin_reads_, timers_, sink_}),
      hedging_({config_, rules_, endpoints_, outliers_, congestion_, picker_, dispatcher_, origin_reads_,
                timers_}),
      origin_reads_({rules_, requests_, endpoints_, ready_, slow_start_, picker_, dispatcher_, timers_,
                     origin_limit_, sink_, execution_}),
      admission_queue_({rules_, requests_, latencies_, admission_, timers_, execution_}) {
  configure(config_);
  timers_.add(now + policy::kTickPeriod, TimerKind::tick);
}

void Router::Impl::configure(Config next) {
  validate(next);
  latencies_.configure(config_, next);
  admission_.configure(next);
  quotas_.configure(config_, next);
  next.routers = std::max(1U, next.routers);
  config_ = std::move(next);
}

void Router::Impl::on_discovery(Time now, DiscoveryStatus status) { discovery_.on_status(status, now); }

void Router::Impl::on_members(Time now, Update update, std::span<const Member> members) {
  endpoint_updates_.apply(now, update, members);
  on_endpoints_changed(now);
}

void Router::Impl::on_override(Time now, ServerId server, const EndpointOverride& value) {
  if (endpoint_updates_.set_override(now, server, value)) {
    on_endpoints_changed(now);
  }
}

void Router::Impl::on_endpoints_changed(Time now) {
  initialize_limits();
  origin_reads_.drain(now);
}

void Router::Impl::initialize_limits() {
  const double share = ready_.per_router_share();
  if (!ready_.empty() && cache_limit_.initialize(share)) {
    hedging_.initialize_budget(share);
    origin_limit_.initialize(share);
  }
  hedging_.resize_budget(share);
}

void Router::Impl::on_request(Time now, const Request& request) {
  arrivals_.record_arrival(now);
  const QuotaState quota = quotas_.is_over_quota(request, now) ? QuotaState::over : QuotaState::within;
  const bool admitted = admission_.admits(request, quota, now);
  if (!admitted && quota == QuotaState::over) {
    const Time mean = config_.max_retry_after / kQuotaRetryAfterDivisor;
    sink_.reject(request.id, policy::jittered_retry_after(config_, mean, request.id));
    return;
  }
  RequestState& state = requests_.open(request, now);
  timers_.add(request.deadline, TimerKind::deadline, state.self);
  if (rules_.bypasses_caches(state) || (admitted && admission_queue_.empty())) {
    execution_.start(state, now);
  } else {
    admission_queue_.enqueue(state, now);
  }
}

// The timer of the earlier deadline sets the next one when it is due.
void Router::Impl::on_deadline_extended(RequestId id, Time deadline) {
  if (RequestState* request = requests_.find(id)) {
    request->request.deadline = std::max(request->request.deadline, deadline);
  }
}

void Router::Impl::on_stream_started(RequestId id) {
  if (RequestState* request = requests_.find(id)) {
    request->is_streaming = true;
  }
}

void Router::Impl::on_result(Time now, const AttemptResult& result) {
  RequestState* request = requests_.find(result.request);
  if (request == nullptr || result.attempt >= request->attempt_count) {
    return;
  }
  AttemptState& attempt = request->attempts[result.attempt];
  if (!attempt.in_flight) {
    return;
  }
  record_result(*request, attempt, result, now);
  const bool was_over = request->is_over;
  if (attempt.to_origin) {
    origin_reads_.on_answer(*request, attempt, result, now);
  }
  if (was_over) {
    requests_.release_if_done(*request);
  } else {
    continue_request(*request, attempt, result, now);
  }
  drain_queues(now);
}

void Router::Impl::record_result(RequestState& request, AttemptState& attempt, const AttemptResult& result,
                                 Time now) {
  dispatcher_.complete(request, attempt, result.outcome);
  recorder_.record(request, attempt, result, now);
  connections_.on_attempt_ended(attempt, result, now);
  if (!attempt.to_origin && cache_limit_.is_rate()) {
    pause_cache_limit(request, result, now);
  }
}

void Router::Impl::pause_cache_limit(const RequestState& request, const AttemptResult& result, Time now) {
  const double mean_latency = latencies_.mean(request.request);
  const double duration = std::max(mean_latency, static_cast<double>(result.duration));
  const Time max_pause = kMaxPausePerObjective * rules_.class_of(request).latency_objective;
  cache_limit_.pause_after(now, duration, max_pause);
  timers_.add(cache_limit_.resumes_at(), TimerKind::drain_queues);
}

void Router::Impl::continue_request(RequestState& request, const AttemptState& attempt,
                                    const AttemptResult& result, Time now) {
  if (result.request_over) {
    execution_.finish(request, now);
  } else if (now >= request.request.deadline || result.body_consumed) {
    execution_.give_up(request, now);
  } else {
    execution_.on_attempt_failed(request, attempt, result.outcome, now);
  }
}

// NOLINTNEXTLINE(bugprone-easily-swappable-parameters): the order of the public interface.
void Router::Impl::on_cancelled(Time now, RequestId id) {
  RequestState* request = requests_.find(id);
  if (request == nullptr || request->is_over) {
    return;
  }
  execution_.finish(*request, now);
  origin_reads_.drain(now);
}

void Router::Impl::on_wakeup(Time now) {
  while (const std::optional<Timer> timer = timers_.pop_due(now)) {
    if (timer->kind <= TimerKind::admission_timeout) {
      on_request_timer(*timer, now);
    } else {
      on_router_timer(timer->kind, now);
    }
  }
  drain_queues(now);
}

void Router::Impl::on_request_timer(const Timer& timer, Time now) {
  RequestState& request = requests_.at(timer.request.slot);
  switch (timer.kind) {
    case TimerKind::hedge: hedging_.on_timer(request, now); break;
    case TimerKind::admission_timeout: admission_queue_.on_timeout(request, now); break;
    case TimerKind::retry: execution_.on_retry_timer(request, now); break;
    case TimerKind::deadline:
      // Attempts in flight time out at the deadline and report their results just after it. A request without
      // such an attempt ends here.
      if (now < request.request.deadline) {
        timers_.add(request.request.deadline, TimerKind::deadline, request.self);
      } else if (request.in_flight_count == 0) {
        execution_.give_up(request, now);
      }
      break;
    default: break;
  }
}

void Router::Impl::on_router_timer(TimerKind kind, Time now) {
  switch (kind) {
    case TimerKind::tick:
      timers_.add(now + policy::kTickPeriod, TimerKind::tick);
      cache_limit_.adjust({dispatcher_.cache_in_flight(), ready_.per_router_share()});
      weights_.refresh(now);
      break;
    case TimerKind::close_idle: connections_.close_expired(now); break;
    case TimerKind::poll_discovery:
      if (discovery_.begin_due_poll(now)) {
        sink_.poll_discovery();
      }
      break;
    default: break;  // drain_queues: on_wakeup() drains the queues after all timers
  }
}

void Router::Impl::drain_queues(Time now) {
  admission_queue_.drain(now);
  origin_reads_.drain(now);
}

void Router::Impl::on_shares(Time now, Shares shares) {
  origin_limit_.set_lease(shares);
  quotas_.set_rates(std::move(shares.quotas));
  on_wakeup(now);
}

bool Router::Impl::is_ejected(ServerId id) const {
  const policy::Endpoint& endpoint = endpoints_.checked_at(id);
  return endpoint.is_ready && endpoint.is_ejected;
}

OriginWork Router::Impl::origin_work() const {
  return {endpoints_.origin_in_flight(), origin_reads_.queued()};
}

}  // namespace streampick
