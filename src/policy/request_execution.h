#pragma once

#include "policy/attempt_dispatcher.h"
#include "policy/class_latencies.h"
#include "policy/endpoint_picker.h"
#include "policy/endpoint_table.h"
#include "policy/hedging.h"
#include "policy/origin_reads.h"
#include "policy/ready_endpoints.h"
#include "policy/request_handler.h"
#include "policy/request_rules.h"
#include "policy/request_table.h"
#include "policy/retry_budget.h"
#include "policy/slow_start.h"
#include "policy/timer_queue.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Runs a request from its first attempt to its end: decides about the first attempt, the retries after each
/// outcome, and the end of the request. All decisions to send a request again are made here.
class RequestExecution final : public RequestHandler {
 public:
  struct Dependencies {
    const Config& config;
    const RequestRules& rules;
    RequestTable& requests;
    EndpointTable& endpoints;
    const ReadyEndpoints& ready;
    const SlowStart& slow_start;
    const ClassLatencies& latencies;
    EndpointPicker& picker;
    AttemptDispatcher& dispatcher;
    RetryBudget& retry_budget;
    Hedging& hedging;
    OriginReads& origin_reads;
    TimerQueue& timers;
    ActionSink& sink;
  };
  explicit RequestExecution(const Dependencies& deps) : deps_(deps) {}

  void start(RequestState& request, Time now) override;
  void fall_back_to_origin(RequestState& request, Time now) override;
  void give_up(RequestState& request, Time now) override;

  /// Handles the retry timer of a request.
  void on_retry_timer(RequestState& request, Time now);

  /// Handles an attempt that ended without an answer. The request must not be over, and the attempt must have
  /// been passed to AttemptDispatcher::complete().
  void on_attempt_failed(RequestState& request, const AttemptState& attempt, Outcome outcome, Time now);

  /// Ends a request that has its answer or needs none any more. Cancels its cache attempts in flight.
  void finish(RequestState& request, Time now);
  /// Ends the request with a failure that must not be retried.
  void fail(RequestState& request, Time now);

 private:
  void on_cache_miss(RequestState& request, Time now);
  void wait_for_endpoint(RequestState& request, Time now);
  [[nodiscard]] bool retry_same_endpoint(RequestState& request, const AttemptState& attempt, Time now);
  [[nodiscard]] bool is_worth_retrying(const RequestState& request, const Endpoint& endpoint, Time now) const;
  void retry_elsewhere(RequestState& request, Outcome outcome, Time now);
  [[nodiscard]] bool try_retry(RequestState& request, Time now);

  Dependencies deps_;
};

}  // namespace streampick::policy
