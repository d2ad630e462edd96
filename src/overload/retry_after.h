/// \file
/// Computes the Retry-After time of rejected requests, with jitter.
#pragma once

#include "streampick/router.h"

namespace streampick::overload {

/// Clients that are all given the same time retry at the same time. So each gets its own, between half and
/// one and a half times the mean. All times in microseconds.
class RetryAfterJitter {
 public:
  /// `max`: the longest time that the platform allows; 0: responses contain no Retry-After.
  explicit RetryAfterJitter(Time max = 0) : max_(max) {}

  /// A time around `mean`, between 1 ms and the maximum; 0: no Retry-After. `draw` is uniform in [0, 1).
  [[nodiscard]] Time around(Time mean, double draw) const;
  /// A time for a request that was rejected at this shedding level: the higher the level, the longer.
  [[nodiscard]] Time at_level(double level, double draw) const;

 private:
  Time max_;
};

}  // namespace streampick::overload
