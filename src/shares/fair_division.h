// Weighted max-min fair division of a total. No I/O, no clock.
#pragma once

#include <span>
#include <vector>

namespace streampick::leases {

struct Demand {
  double amount = 0;
  double weight = 1;
};

/// Weighted max-min fairness: each demand is met or, where the total is too small, gets as much by weight as
/// all others that are not met. The result is in the order of `demands`; its sum is at most `total`.
std::vector<double> max_min_fair(double total, std::span<const Demand> demands);

/// How many divisions an integral unit stays with its owner before the shortfall of another one moves it.
inline constexpr double kHoldDivisions = 4;

/// The same in whole units for whole demands. Units left over by the fractions go to the largest accumulated
/// `shortfalls`, which are updated and kept from one division to the next; `owned` is the division before.
std::vector<double> integral_max_min_fair(double total, std::span<const Demand> demands,
                                          std::span<double> shortfalls, std::span<const double> owned);

}  // namespace streampick::leases
