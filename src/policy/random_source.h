#pragma once

#include <cstdint>

#include "policy/hashing.h"

namespace streampick::policy {

/// The only source of random numbers in this module. The host provides the seed, and all draws come from one
/// sequence, so that a run can be replayed.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : state_(seed) {}

  /// The next number, uniform in (0, 1).
  double next() {
    state_ = mix64(state_);
    return to_unit_interval(state_);
  }

 private:
  std::uint64_t state_;
};

}  // namespace streampick::policy
