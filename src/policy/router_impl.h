#pragma once

#include <span>

#include "policy/admission.h"
#include "policy/admission_queue.h"
#include "policy/arrival_interval.h"
#include "policy/attempt_dispatcher.h"
#include "policy/cache_limit.h"
#include "policy/class_latencies.h"
#include "policy/congestion.h"
#include "policy/discovery_polling.h"
#include "policy/endpoint_picker.h"
#include "policy/endpoint_table.h"
#include "policy/endpoint_updates.h"
#include "policy/endpoint_weights.h"
#include "policy/hedging.h"
#include "policy/idle_connections.h"
#include "policy/origin_limit.h"
#include "policy/origin_reads.h"
#include "policy/outlier_detector.h"
#include "policy/random_source.h"
#include "policy/ready_endpoints.h"
#include "policy/request_execution.h"
#include "policy/request_rules.h"
#include "policy/request_table.h"
#include "policy/result_recorder.h"
#include "policy/retry_budget.h"
#include "policy/slow_start.h"
#include "policy/tenant_quotas.h"
#include "policy/timer_queue.h"
#include "streampick/router.h"

namespace streampick {

/// Owns the settings and one instance of each class of the decision module, and dispatches each event to the
/// instances concerned in a fixed order. Single-threaded; does no I/O and reads no clock.
///
/// The events are documented in Router. `now` must never decrease from one call to the next.
class Router::Impl {
 public:
  Impl(Config config, std::uint64_t seed, Time now, ActionSink& sink);
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void configure(Config next);
  void on_discovery(Time now, DiscoveryStatus status);
  void on_members(Time now, Update update, std::span<const Member> members);
  void on_override(Time now, ServerId server, const EndpointOverride& value);
  void on_request(Time now, const Request& request);
  void on_deadline_extended(RequestId id, Time deadline);
  void on_stream_started(RequestId id);
  void on_result(Time now, const AttemptResult& result);
  void on_cancelled(Time now, RequestId id);
  void on_wakeup(Time now);
  void on_shares(Time now, Shares shares);
  [[nodiscard]] bool is_ejected(ServerId id) const;
  [[nodiscard]] OriginWork origin_work() const;
  [[nodiscard]] Time next_wakeup() { return timers_.next_due(); }

 private:
  void record_result(policy::RequestState& request, policy::AttemptState& attempt,
                     const AttemptResult& result, Time now);
  void pause_cache_limit(const policy::RequestState& request, const AttemptResult& result, Time now);
  void continue_request(policy::RequestState& request, const policy::AttemptState& attempt,
                        const AttemptResult& result, Time now);
  void on_request_timer(const policy::Timer& timer, Time now);
  void on_router_timer(policy::TimerKind kind, Time now);
  void on_endpoints_changed(Time now);
  void initialize_limits();
  void drain_queues(Time now);

  // Members refer to members declared above them. Where two members need each other, the first one also
  // refers to a member declared below it. See docs/architecture.md.
  ActionSink& sink_;
  Config config_;
  policy::RandomSource random_;
  policy::RequestTable requests_;
  policy::TimerQueue timers_{requests_};
  policy::RequestRules rules_{config_};
  policy::ArrivalInterval arrivals_;
  policy::ClassLatencies latencies_;
  policy::CongestionEstimate congestion_;

  policy::EndpointTable endpoints_;
  policy::OutlierDetector outliers_{random_};
  policy::SlowStart slow_start_{config_, arrivals_};
  policy::ReadyEndpoints ready_{config_, endpoints_, slow_start_};
  policy::EndpointUpdates endpoint_updates_{config_, endpoints_, ready_};
  policy::EndpointWeights weights_{endpoints_, ready_};
  policy::IdleConnections connections_;
  policy::DiscoveryPolling discovery_{config_, random_, timers_};

  policy::AttemptDispatcher dispatcher_{endpoints_, connections_, sink_};
  policy::ResultRecorder recorder_{config_, rules_, endpoints_, ready_, outliers_, congestion_, latencies_};
  policy::EndpointPicker picker_{endpoints_, ready_, slow_start_, dispatcher_, congestion_, random_};
  policy::RetryBudget retry_budget_;
  policy::RequestExecution execution_;
  policy::Hedging hedging_;
  policy::OriginLimit origin_limit_;
  policy::OriginReads origin_reads_;

  policy::TenantQuotas quotas_{config_};
  policy::CacheLimit cache_limit_{congestion_};
  policy::AdmissionControl admission_{config_, dispatcher_, cache_limit_};
  policy::AdmissionQueue admission_queue_;
};

}  // namespace streampick
