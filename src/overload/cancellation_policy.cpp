#include "overload/cancellation_policy.h"

#include <algorithm>

namespace streampick::overload {

namespace {
/// A response is drained within this multiple of the endpoint's usual latency.
constexpr Time kMaxUsualLatencies = 4;
}  // namespace

CancellationPolicy::CancellationPolicy(const Settings& settings)
    : max_drain_time_(settings.max_drain_time),
      max_draining_share_(settings.max_draining_share),
      max_draining_per_endpoint_(settings.max_draining_per_endpoint) {}

Time CancellationPolicy::drain_timeout(const CancelledAttempt& attempt) const {
  if (max_drain_time_ <= 0 || attempt.usual_latency <= 0) {
    return 0;
  }
  if (attempt.draining_at_endpoint >= max_draining_per_endpoint_) {
    return 0;
  }
  const auto share_of_connections =
      static_cast<std::size_t>(static_cast<double>(attempt.open_connections) * max_draining_share_);
  const std::size_t max_draining = std::max<std::size_t>(1, share_of_connections);
  if (attempt.draining >= max_draining) {
    return 0;
  }
  const Time timeout = std::min(max_drain_time_, kMaxUsualLatencies * attempt.usual_latency);
  return attempt.elapsed < timeout ? timeout : 0;
}

}  // namespace streampick::overload
