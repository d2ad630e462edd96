#pragma once

#include "policy/sample_weight.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Estimates whether the caches are congested. The level is the running mean of the latency of cache answers
/// as a share of the latency objective of their request class. An overloaded outcome of a request with more
/// than one attempt counts as an answer that used the whole objective.
class CongestionEstimate {
 public:
  /// Adds an answer. `share` is its latency divided by the latency objective; values above 1 count as 1.
  void record_latency_share(Time now, double share);
  /// Adds an overloaded outcome of a request with more than one attempt.
  void record_rejected_again(Time now);

  /// From 0 to 1; 0 before the first answer.
  [[nodiscard]] double level() const { return level_; }
  [[nodiscard]] bool is_congested() const { return level_ > kThreshold; }

 private:
  static constexpr double kThreshold = 0.35;

  double level_ = 0;
  SampleWeight sample_weight_{kSampleWeight};
};

}  // namespace streampick::policy
