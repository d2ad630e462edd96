#include "shares/division.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace streampick::leases {

std::vector<double> max_min(double total, std::span<const Want> wants) {
  std::vector<std::size_t> order(wants.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    const double left = wants[a].want * wants[b].weight, right = wants[b].want * wants[a].weight;
    return left != right ? left < right : a < b;
  });
  double weights = 0, left = std::max(0.0, total);
  for (const Want& want : wants) weights += want.weight;
  std::vector<double> out(wants.size(), 0);
  for (const std::size_t i : order) {
    const double part = std::min(wants[i].want, left * std::min(1.0, wants[i].weight / weights));
    out[i] = part;
    left = std::max(0.0, left - part);
    weights -= wants[i].weight;
    if (weights <= 0) weights = wants[i].weight;
  }
  return out;
}

std::vector<double> whole_max_min(double total, std::span<const Want> wants, std::span<double> credits,
                                  std::span<const double> has) {
  const std::vector<double> fair = max_min(std::floor(total), wants);
  std::vector<double> out(fair.size());
  double given = 0;
  std::vector<std::size_t> short_of;
  for (std::size_t i = 0; i < fair.size(); ++i) {
    // A fraction that is next to a whole is one that sums have rounded.
    out[i] = std::floor(fair[i] + 1e-6);
    given += out[i];
    if (wants[i].want >= out[i] + 1) short_of.push_back(i);
  }
  const auto claim = [&](std::size_t i) {
    return fair[i] - out[i] + credits[i] + (has[i] > out[i] ? kStay : 0);
  };
  std::sort(short_of.begin(), short_of.end(), [&](std::size_t a, std::size_t b) {
    const double left = claim(a), right = claim(b);
    return left != right ? left > right : a < b;
  });
  for (std::size_t i = 0; i < short_of.size() && given + 1 <= std::floor(total); ++i, given += 1)
    out[short_of[i]] += 1;
  // Within what one may ever be short of: who waits no longer does not come back with old rights.
  const auto most = static_cast<double>(fair.size()) + kStay;
  for (std::size_t i = 0; i < fair.size(); ++i)
    credits[i] = wants[i].want <= fair[i] ? std::min(0.0, credits[i])
                                          : std::clamp(credits[i] + fair[i] - out[i], -most, most);
  return out;
}

}  // namespace streampick::leases
