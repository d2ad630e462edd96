#include "overload/descriptor_budget.h"

#include <algorithm>

namespace streampick::overload {

namespace {
using Side = DescriptorBudget::Side;

Side other_side(Side side) { return side == Side::downstream ? Side::upstream : Side::downstream; }

std::size_t share_of(std::size_t total, double share) {
  return static_cast<std::size_t>(static_cast<double>(total) * share);
}
}  // namespace

DescriptorBudget::Limits DescriptorBudget::Limits::from_shares(std::size_t total, const Settings& settings) {
  return {.total = total,
          .downstream_minimum = share_of(total, settings.client_minimum_share),
          .upstream_minimum = share_of(total, settings.upstream_minimum_share)};
}

void DescriptorBudget::set_halved(bool halved) {
  const std::size_t divisor = halved ? 2 : 1;
  limits_ = {.total = full_limits_.total / divisor,
             .downstream_minimum = full_limits_.downstream_minimum / divisor,
             .upstream_minimum = full_limits_.upstream_minimum / divisor};
}

std::size_t DescriptorBudget::excess() const {
  const std::size_t used_by_both = used(Side::downstream) + used(Side::upstream);
  return used_by_both > limits_.total ? used_by_both - limits_.total : 0;
}

std::size_t DescriptorBudget::capacity(Side side) const {
  const Side other = other_side(side);
  const std::size_t not_available = std::max(used(other), minimum(other));
  return not_available < limits_.total ? limits_.total - not_available : 0;
}

void DescriptorBudget::reserve(Side side) {
  std::size_t& used = used_[index(side)];
  std::size_t& peak = peaks_[index(side)];
  ++used;
  peak = std::max(peak, used);
}

void DescriptorBudget::release(Side side) {
  std::size_t& used = used_[index(side)];
  if (used > 0) {
    --used;
  }
}

}  // namespace streampick::overload
