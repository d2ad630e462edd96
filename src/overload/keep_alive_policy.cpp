#include "overload/keep_alive_policy.h"

#include <algorithm>

namespace streampick::overload {

namespace {
/// Number of connections below which there is never pressure, however few descriptors there are.
constexpr std::size_t kMinPressureThreshold = 4;

std::size_t threshold(std::size_t descriptors, double share) {
  const auto connections = static_cast<std::size_t>(static_cast<double>(descriptors) * share);
  return std::max(kMinPressureThreshold, connections);
}
}  // namespace

KeepAlivePolicy::KeepAlivePolicy(std::size_t descriptors, const Settings& settings)
    : pressure_threshold_(threshold(descriptors, settings.connection_pressure_share)),
      idle_timeout_(settings.idle_timeout),
      idle_timeout_under_pressure_(settings.idle_timeout_under_pressure) {}

}  // namespace streampick::overload
