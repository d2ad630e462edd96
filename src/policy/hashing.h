/// Hash finalizer for placement and random draws, and its mapping to the unit interval.
#pragma once

#include <cstdint>

namespace streampick::policy {

/// Odd 64-bit constant of the golden ratio: the increment of splitmix64.
inline constexpr std::uint64_t kGoldenRatio64 = 0x9e3779b97f4a7c15U;

/// The finalizer of splitmix64. All routers must use the same function, because it decides the placement of
/// keys.
constexpr std::uint64_t mix64(std::uint64_t value) {
  value += kGoldenRatio64;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

/// Maps the upper 53 bits of `value` into the open interval (0, 1), so that its logarithm is finite.
constexpr double to_unit_interval(std::uint64_t value) {
  return (static_cast<double>(value >> 11U) + 0.5) * 0x1.0p-53;
}

}  // namespace streampick::policy
