// Weighted max-min fair division of a total. No I/O, no clock.
#pragma once

#include <span>
#include <vector>

namespace streampick::leases {

struct Demand {
  double amount = 0;
  double weight = 1;
};

/// Divides `total` by weighted max-min fairness: each demand is met, or it gets as much in proportion to its
/// weight as every other unmet demand. Returns the shares in the order of `demands`; their sum is at most
/// `total`.
std::vector<double> max_min_fair(double total, std::span<const Demand> demands);

/// Number of divisions for which an integral unit stays with its owner before another demand's shortfall
/// moves it.
inline constexpr double kHoldDivisions = 4;

/// Divides whole units among integral demands in the same way. Units that remain after rounding down go to
/// the demands with the largest accumulated `shortfalls`. The function updates `shortfalls`; the caller keeps
/// them for the next division. `owned` is the result of the previous division.
std::vector<double> integral_max_min_fair(double total, std::span<const Demand> demands,
                                          std::span<double> shortfalls, std::span<const double> owned);

}  // namespace streampick::leases
