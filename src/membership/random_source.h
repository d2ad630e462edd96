/// \file
/// The protocol's random numbers: all components draw from one generator, so that a run can be reproduced
/// from its seed.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

namespace streampick::membership {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : generator_(seed) {}

  std::uint64_t next() { return generator_(); }

  /// A number in [0, `limit`). If `limit` is 0, returns 0 and draws no number.
  std::uint64_t below(std::uint64_t limit) { return limit == 0 ? 0 : generator_() % limit; }

  /// Up to `max_count` of the values at random, without replacement.
  template <typename Value>
  std::vector<Value> sample(std::vector<Value> values, std::size_t max_count) {
    const std::size_t count = std::min(max_count, values.size());
    for (std::size_t i = 0; i < count; ++i) {
      std::swap(values[i], values[i + below(values.size() - i)]);
    }
    values.resize(count);
    return values;
  }

  template <typename Value>
  void shuffle(std::vector<Value>& values) {
    for (std::size_t i = values.size(); i > 1; --i) {
      std::swap(values[i - 1], values[below(i)]);
    }
  }

 private:
  std::mt19937_64 generator_;
};

}  // namespace streampick::membership
