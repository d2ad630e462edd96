// Converts durations between clocks that run at different speeds.
#pragma once

#include <cmath>

#include "shares/messages.h"

namespace streampick::leases {

/// Longest duration by this clock that ends no later than `time` does by any other clock.
inline Time shrink_for_drift(Time time, double max_clock_drift) {
  return static_cast<Time>(static_cast<double>(time) / (1 + max_clock_drift));
}
/// Shortest duration by this clock after which `time` has passed by every other clock.
inline Time stretch_for_drift(Time time, double max_clock_drift) {
  return static_cast<Time>(std::ceil(static_cast<double>(time) * (1 + max_clock_drift)));
}

}  // namespace streampick::leases
