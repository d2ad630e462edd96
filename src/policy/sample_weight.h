#pragma once

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/durations.h"

namespace streampick::policy {

/// Weight of one sample in a running estimate, if samples are frequent.
inline constexpr double kSampleWeight = 0.05;

/// Weight of a sample in an exponentially weighted moving average. It grows with the time since the last
/// sample, from a minimum: at a router with little traffic samples are rare, and old ones are outdated.
class SampleWeight {
 public:
  /// `minimum` is the weight of a sample taken at the same time as the previous one.
  explicit SampleWeight(double minimum) : minimum_(minimum) {}

  /// Weight, in (0, 1], of a sample taken at `now`. Stores `now` as the time of the last sample.
  double next(Time now) {
    const Time age = now - std::exchange(last_sample_, now);
    const double ages = static_cast<double>(age) / static_cast<double>(kTimeConstant);
    return std::max(minimum_, 1 - std::exp(-ages));
  }

 private:
  static constexpr Time kTimeConstant = 2 * kSecond;

  double minimum_;
  Time last_sample_ = 0;
};

}  // namespace streampick::policy
