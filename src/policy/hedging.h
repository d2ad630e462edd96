#pragma once

#include "policy/attempt_dispatcher.h"
#include "policy/congestion.h"
#include "policy/endpoint_picker.h"
#include "policy/endpoint_table.h"
#include "policy/origin_reads.h"
#include "policy/outlier_detector.h"
#include "policy/request_rules.h"
#include "policy/timer_queue.h"
#include "policy/token_bucket.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Sends hedged requests (speculative executions) for safe reads: another attempt at the next endpoint of the
/// plan after each constant delay, within a budget and only while the caches are not congested. The same
/// timer detects endpoints that do not answer any more, and stalled attempts.
class Hedging {
 public:
  struct Dependencies {
    const Config& config;
    const RequestRules& rules;
    EndpointTable& endpoints;
    OutlierDetector& outliers;
    const CongestionEstimate& congestion;
    EndpointPicker& picker;
    AttemptDispatcher& dispatcher;
    OriginReads& origin_reads;
    TimerQueue& timers;
  };
  explicit Hedging(const Dependencies& deps) : deps_(deps) {}

  /// Refills the budget. Call once for each request, at its first attempt.
  void on_first_attempt() { budget_.refill(kHedgesPerFirstAttempt); }

  /// Starts the hedge timer of a request whose first attempt has just been sent, if the request may be
  /// hedged.
  void schedule(const RequestState& request, Time now);

  /// Handles the hedge timer of a request.
  void on_timer(RequestState& request, Time now);

  /// Fills the budget to its initial value. Call once, when the first endpoints are known.
  void initialize_budget(double per_router_share);
  /// Sets the capacity of the budget.
  void resize_budget(double per_router_share);

 private:
  static constexpr double kHedgesPerFirstAttempt = 0.15;

  [[nodiscard]] Time delay(const RequestState& request) const;
  void check_attempt(AttemptState& attempt, Time now);
  void try_hedge(RequestState& request, Time now);

  Dependencies deps_;
  TokenBucket budget_;
};

}  // namespace streampick::policy
