// Durations by clocks that differ in speed.
#pragma once

#include <cmath>

#include "shares/messages.h"

namespace streampick::leases {

/// A duration that has certainly not passed by another clock before `time` has passed there.
inline Time shrink_for_drift(Time time, double max_clock_drift) {
  return static_cast<Time>(static_cast<double>(time) / (1 + max_clock_drift));
}
/// A duration after which `time` has certainly passed by another clock.
inline Time stretch_for_drift(Time time, double max_clock_drift) {
  return static_cast<Time>(std::ceil(static_cast<double>(time) * (1 + max_clock_drift)));
}

}  // namespace streampick::leases
