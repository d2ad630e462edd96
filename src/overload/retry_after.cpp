#include "overload/retry_after.h"

#include <algorithm>
#include <cmath>

namespace streampick::overload {

namespace {
constexpr Time kMin = 1'000;  // microseconds
// The mean, as a share of the maximum, is the level clamped to this range, so that the jitter has space on
// both sides.
constexpr double kMinShareOfMax = 0.1;
constexpr double kMaxShareOfMax = 0.65;
}  // namespace

Time RetryAfterJitter::around(Time mean, double draw) const {
  if (max_ <= 0 || mean <= 0) {
    return 0;
  }
  const double time = static_cast<double>(mean) * (0.5 + draw);
  return std::clamp<Time>(std::llround(time), kMin, max_);
}

Time RetryAfterJitter::at_level(double level, double draw) const {
  const double share_of_max = std::clamp(level, kMinShareOfMax, kMaxShareOfMax);
  return around(std::llround(static_cast<double>(max_) * share_of_max), draw);
}

}  // namespace streampick::overload
