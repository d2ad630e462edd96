/// State of one endpoint, which is a server of the endpoint list. EndpointTable owns these plain values. Each
/// group of fields names the class that writes it.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include "policy/durations.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Duration of the first ejection.
inline constexpr Time kFirstEjection = kSecond;

/// Lower bound for weights, so that each listed endpoint gets some keys.
inline constexpr double kMinWeight = 1e-3;

/// Outlier state of one endpoint, or of all endpoints in a zone or a cell together. A router with little
/// traffic sees the failure of a whole zone or cell before it has seen enough failures of any single
/// endpoint.
struct OutlierState {
  int consecutive_failures = 0;
  int in_flight = 0;
  Time ejected_until = 0;
  Time next_ejection = kFirstEjection;  ///< duration of the next ejection
  Time last_answer_at = 0;
};

struct Endpoint {
  // EndpointUpdates. `member` is the entry of the endpoint list with the operator's override applied.
  Member member;
  bool is_listed = false;
  Member listed;  ///< the entry as listed
  EndpointOverride admin_override;

  // ReadyEndpoints, as of its last refresh of the endpoint.
  bool is_ready = false;        ///< belongs to the ready endpoints
  bool is_ejected = false;      ///< the endpoint, its zone or its cell is ejected
  double effective_weight = 0;  ///< its contribution to ReadyEndpoints::healthy_weight()

  // AttemptDispatcher.
  int in_flight = 0;
  int stalled = 0;  ///< attempts in flight that are stuck on their own connections

  // ResultRecorder.
  std::uint32_t answers = 0;  ///< total number of answers
  int broken_answers = 0;     ///< consecutive answers that were malformed or cut off
  Time full_until = 0;        ///< after an overloaded outcome: it is expected to reject attempts until then
  double latency_sum = 0;     ///< decayed sum of answer latencies, microseconds
  double expected_latency_sum = 0;  ///< decayed sum of the expected latencies, microseconds

  // OutlierDetector. EndpointTable owns the states of the zone and the cell, and sets both pointers when the
  // endpoint is listed.
  OutlierState outlier;
  OutlierState* zone_outlier = nullptr;
  OutlierState* cell_outlier = nullptr;

  // EndpointWeights.
  double weight = 1;  ///< from the listed weight and the measured speed, without slow start

  // EndpointPicker.
  Time last_slow_start_draw = 0;  ///< last slow start draw for a first attempt at this endpoint

  // IdleConnections.
  Time connection_used_at = 0;  ///< last use of its open connection; 0 if none is open
  Time last_used_at = 0;        ///< last use of any connection to the endpoint

  /// The outlier states of the endpoint, its zone and its cell.
  std::array<OutlierState*, 3> outlier_states() { return {&outlier, zone_outlier, cell_outlier}; }
  [[nodiscard]] std::array<const OutlierState*, 3> outlier_states() const {
    return {&outlier, zone_outlier, cell_outlier};
  }

  /// The weight used for key placement.
  [[nodiscard]] double placement_weight() const { return std::max(kMinWeight, weight); }
};

}  // namespace streampick::policy
