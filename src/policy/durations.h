/// Units of time of the decision module. All times are in microseconds on the host's clock.
#pragma once

#include "streampick/router.h"

namespace streampick::policy {

inline constexpr Time kMillisecond = 1'000;
inline constexpr Time kSecond = 1'000 * kMillisecond;

/// A duration without limit, for computations in which `kNever` would overflow: one day.
inline constexpr Time kUnlimited = 86'400 * kSecond;

/// Period of the housekeeping tick. Also the maximum delay until a request without an endpoint is retried.
inline constexpr Time kTickPeriod = 200 * kMillisecond;

/// `duration` multiplied by `factor`, truncated to whole microseconds.
constexpr Time scaled(Time duration, double factor) {
  return static_cast<Time>(static_cast<double>(duration) * factor);
}

}  // namespace streampick::policy
