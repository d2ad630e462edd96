#include "policy/endpoint_weights.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace streampick::policy {
namespace {

constexpr Time kRefreshPeriod = kSecond;
// Endpoints refreshed at each tick in a large fleet.
constexpr std::size_t kEndpointsPerTick = 512;
// Weight is the geometric mean of the speed, with this exponent, and the listed weight, with the remaining
// one.
constexpr double kSpeedPower = 0.75;
// Speeds are clamped to within this factor of the mean.
constexpr double kSpeedRange = 4;
// Weight of the prior, as a share of all answers, that pulls the speed of a kind with few answers to the
// mean.
constexpr double kKindPrior = 0.02;
// Smaller relative changes of a weight are not applied, because each change moves keys.
constexpr double kMinWeightChange = 0.1;

}  // namespace

void EndpointWeights::refresh(Time now) {
  if (ready_.tree().is_split()) {
    refresh_next(now);
  } else {
    refresh_all(now);
  }
}

void EndpointWeights::refresh_all(Time now) {
  if (now - last_refresh_ < kRefreshPeriod) {
    return;
  }
  last_refresh_ = now;
  SpeedSums sums;
  for (const ServerId id : ready_.ids()) {
    add_to(sums, endpoints_.at(id));
  }
  for (const ServerId id : ready_.ids()) {
    update_weight(sums, endpoints_.at(id));
  }
}

void EndpointWeights::refresh_next(Time now) {
  for (std::size_t i = 0; i < kEndpointsPerTick; ++i) {
    if (next_position_ >= ready_.ids().size()) {
      next_position_ = 0;
      sums_ = std::exchange(next_sums_, {});
      return;
    }
    const ServerId id = ready_.ids()[next_position_];
    ++next_position_;
    Endpoint& endpoint = endpoints_.at(id);
    ready_.refresh_health(endpoint, now);
    add_to(next_sums_, endpoint);
    update_weight(sums_, endpoint);
  }
}

void EndpointWeights::add_to(SpeedSums& sums, const Endpoint& endpoint) const {
  sums.mean_listed_weight +=
      std::max(kMinWeight, endpoint.member.weight) / static_cast<double>(ready_.ids().size());
  LatencySums& kind = sums.by_kind[endpoint.member.kind];
  kind.actual += endpoint.latency_sum;
  kind.expected += endpoint.expected_latency_sum;
  sums.all.actual += endpoint.latency_sum;
  sums.all.expected += endpoint.expected_latency_sum;
}

void EndpointWeights::update_weight(const SpeedSums& sums, Endpoint& endpoint) {
  const auto kind = sums.by_kind.find(endpoint.member.kind);
  if (sums.all.expected <= 0 || kind == sums.by_kind.end()) {
    return;
  }
  const double mean_speed = sums.all.expected / sums.all.actual;
  const double prior = kKindPrior * sums.all.expected;
  const double speed =
      (kind->second.expected + prior) / (kind->second.actual + prior / mean_speed) / mean_speed;
  // The listed weight and the speed may express the same property, so they are averaged and not multiplied.
  const double listed = std::max(kMinWeight, endpoint.member.weight) / sums.mean_listed_weight;
  const double weight = std::pow(listed, 1 - kSpeedPower) *
                        std::pow(std::clamp(speed, 1 / kSpeedRange, kSpeedRange), kSpeedPower);
  if (std::abs(weight / endpoint.weight - 1) > kMinWeightChange) {
    ready_.set_weight(endpoint, weight);
  }
}

}  // namespace streampick::policy
