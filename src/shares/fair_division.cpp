#include "shares/fair_division.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace streampick::leases {

namespace {

// Fractions this close below a whole number are rounding errors of sums.
constexpr double kRoundingError = 1e-6;

// Returns the indices in the order in which demands are met as the share per weight increases.
std::vector<std::size_t> by_demand_per_weight(std::span<const Demand> demands) {
  std::vector<std::size_t> order(demands.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const double left = demands[a].amount * demands[b].weight;
    const double right = demands[b].amount * demands[a].weight;
    return left != right ? left < right : a < b;
  });
  return order;
}

// Adds to each demand's shortfall the amount by which its share was below its fair share. Shortfalls are
// bounded, and reset when the demand is met, so that old shortfalls give a demand no priority.
void update_shortfalls(std::span<const Demand> demands, std::span<const double> fair,
                       std::span<const double> shares, std::span<double> shortfalls) {
  const auto limit = static_cast<double>(fair.size()) + kHoldDivisions;
  for (std::size_t i = 0; i < fair.size(); ++i) {
    const bool is_met = demands[i].amount <= fair[i];
    shortfalls[i] = is_met ? std::min(0.0, shortfalls[i])
                           : std::clamp(shortfalls[i] + fair[i] - shares[i], -limit, limit);
  }
}

}  // namespace

std::vector<double> max_min_fair(double total, std::span<const Demand> demands) {
  double remaining_weight = 0;
  for (const Demand& demand : demands) remaining_weight += demand.weight;
  double remaining = std::max(0.0, total);
  std::vector<double> shares(demands.size(), 0);
  for (const std::size_t i : by_demand_per_weight(demands)) {
    const Demand& demand = demands[i];
    const double by_weight = remaining * std::min(1.0, demand.weight / remaining_weight);
    shares[i] = std::min(demand.amount, by_weight);
    remaining = std::max(0.0, remaining - shares[i]);
    remaining_weight -= demand.weight;
    if (remaining_weight <= 0) remaining_weight = demand.weight;
  }
  return shares;
}

std::vector<double> integral_max_min_fair(double total, std::span<const Demand> demands,
                                          std::span<double> shortfalls, std::span<const double> owned) {
  const double units = std::floor(total);
  const std::vector<double> fair = max_min_fair(units, demands);
  std::vector<double> shares(fair.size());
  double assigned = 0;
  std::vector<std::size_t> candidates;  // that can take one more unit
  for (std::size_t i = 0; i < fair.size(); ++i) {
    shares[i] = std::floor(fair[i] + kRoundingError);
    assigned += shares[i];
    if (demands[i].amount >= shares[i] + 1) candidates.push_back(i);
  }
  const auto priority = [&](std::size_t i) {
    return fair[i] - shares[i] + shortfalls[i] + (owned[i] > shares[i] ? kHoldDivisions : 0);
  };
  std::sort(candidates.begin(), candidates.end(), [&](std::size_t a, std::size_t b) {
    const double left = priority(a);
    const double right = priority(b);
    return left != right ? left > right : a < b;
  });
  for (const std::size_t i : candidates) {
    if (assigned + 1 > units) break;
    shares[i] += 1;
    assigned += 1;
  }
  update_shortfalls(demands, fair, shares, shortfalls);
  return shares;
}

}  // namespace streampick::leases
