/// \file
/// Random numbers that are the same on every platform.
#pragma once

#include <cstdint>
#include <random>

namespace streampick::test {

/// The standard fixes the numbers of its engines, but not those of its distributions: these are computed
/// here.
class Draw {
 public:
  explicit Draw(std::uint64_t seed) : engine_(seed) {}

  /// In [0, bound).
  std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }
  /// In [min, max].
  long long between(long long min, long long max) {
    return min + static_cast<long long>(below(static_cast<std::uint64_t>(max - min + 1)));
  }
  /// In [0, 1).
  double unit() { return static_cast<double>(engine_() >> 11U) * 0x1.0p-53; }
  bool chance(double probability) { return unit() < probability; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace streampick::test
