#pragma once

#include "policy/sample_weight.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Running mean of the time between two consecutive requests at this router.
class ArrivalInterval {
 public:
  /// Call once for each request, at the time of its arrival.
  void record_arrival(Time now) {
    if (last_arrival_ > 0) {
      // The first interval becomes the initial mean.
      const double weight = mean_ > 0 ? kSampleWeight : 1;
      mean_ += (static_cast<double>(now - last_arrival_) - mean_) * weight;
    }
    last_arrival_ = now;
  }

  /// Mean interval in microseconds; 0 until two requests have arrived.
  [[nodiscard]] double mean() const { return mean_; }

 private:
  Time last_arrival_ = 0;
  double mean_ = 0;
};

}  // namespace streampick::policy
