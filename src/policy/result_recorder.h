#pragma once

#include "policy/class_latencies.h"
#include "policy/congestion.h"
#include "policy/endpoint_table.h"
#include "policy/outlier_detector.h"
#include "policy/ready_endpoints.h"
#include "policy/request_rules.h"
#include "policy/request_state.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Updates the statistics after each attempt: those of its endpoint, of congestion and of its request class.
/// Has no state of its own, and makes no decision about the request.
class ResultRecorder {
 public:
  ResultRecorder(const Config& config, const RequestRules& rules, EndpointTable& endpoints,
                 const ReadyEndpoints& ready, OutlierDetector& outliers, CongestionEstimate& congestion,
                 ClassLatencies& latencies)
      : config_(config),
        rules_(rules),
        endpoints_(endpoints),
        ready_(ready),
        outliers_(outliers),
        congestion_(congestion),
        latencies_(latencies) {}

  /// `attempt` belongs to `request` and must have been passed to AttemptDispatcher::complete().
  void record(const RequestState& request, const AttemptState& attempt, const AttemptResult& result,
              Time now);

 private:
  void record_congestion(const RequestState& request, const AttemptState& attempt,
                         const AttemptResult& result, Time now);
  void record_outcome(Endpoint& endpoint, const AttemptState& attempt, const AttemptResult& result, Time now);
  void record_latency(Endpoint& endpoint, const RequestState& request, const AttemptResult& result);

  const Config& config_;
  const RequestRules& rules_;
  EndpointTable& endpoints_;
  const ReadyEndpoints& ready_;
  OutlierDetector& outliers_;
  CongestionEstimate& congestion_;
  ClassLatencies& latencies_;
};

}  // namespace streampick::policy
