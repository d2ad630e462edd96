/// \file
/// The protocol's random numbers: one sequence for all its parts, so that a seed replays a history.
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

  /// A number in [0, `limit`); 0 without a draw if `limit` is 0.
  std::uint64_t below(std::uint64_t limit) { return limit == 0 ? 0 : generator_() % limit; }

  /// At most `max_count` of the values, without repetition.
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
