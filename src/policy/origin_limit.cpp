#include "policy/origin_limit.h"

#include <algorithm>

namespace streampick::policy {
namespace {

// Initial number of attempts in flight per endpoint, divided among all routers. The initial limit of one
// router is at most kMaxInitialLimit.
constexpr double kInitialLimitPerEndpoint = 4;
constexpr double kMaxInitialLimit = 4;
// Minimum number of attempts in flight per endpoint, divided among all routers, and the maximum for one
// router.
constexpr double kMinLimitPerEndpoint = 0.1;
constexpr double kMaxLimit = 64;
// Share of the limit that is reserved for reads while writes are in flight.
constexpr double kReadShare = 0.5;
// Answers are slow when the mean latency exceeds both this share of the latency objective and this multiple
// of the best latency.
constexpr double kSlowShareOfObjective = 0.33;
constexpr double kSlowMultipleOfBaseline = 2;
// Factor on the best latency with each answer, so that old minima are forgotten.
constexpr double kBaselineLatencyGrowth = 1.002;
constexpr double kDecrease = 0.8;
// The limit counts as in use when at least this share of it is in flight.
constexpr double kInUseShare = 0.8;
// Maximum increase in one step, as a share of the limit.
constexpr double kMaxIncreaseShare = 0.5;

}  // namespace

void OriginLimit::initialize(double per_router_share) {
  limit_.set_value(std::min(kMaxInitialLimit, kInitialLimitPerEndpoint * per_router_share));
}

void OriginLimit::set_lease(const Shares& shares) {
  lease_floor_ = shares.origin_reserved;
  leased_extra_ = shares.origin_leased;
  leased_until_ = shares.origin_lease_end;
}

bool OriginLimit::allows_read_beside_writes(Time now, int in_flight, int writes) const {
  const double reads = in_flight - writes;
  const bool within_read_share = reads < std::max(1.0, kReadShare * limit_.value());
  return allows_read(now, within_read_share ? 0 : in_flight);
}

void OriginLimit::record_answer(const AttemptState& attempt, const AttemptResult& result, Time objective,
                                Load load, Time now) {
  bool congested =
      result.outcome == Outcome::overloaded || (result.outcome == Outcome::timeout && !attempt.stalled);
  if (result.outcome == Outcome::served && !result.body_consumed) {
    congested = record_latency(now, attempt, objective);
    if (!congested) {
      increase(load);
    }
  }
  // At most one decrease per round trip: an attempt sent before the last decrease does not show its effect.
  if (congested && attempt.sent_at > last_decrease_) {
    limit_.set_value(limit_.value() * kDecrease);
    last_decrease_ = now;
  }
}

bool OriginLimit::record_latency(Time now, const AttemptState& attempt, Time objective) {
  const auto latency = static_cast<double>(now - attempt.sent_at);
  if (mean_latency_ <= 0) {
    mean_latency_ = latency;
    baseline_latency_ = latency;
  }
  mean_latency_ += (latency - mean_latency_) * sample_weight_.next(now);
  baseline_latency_ = std::min(baseline_latency_ * kBaselineLatencyGrowth, mean_latency_);
  const double slow_by_objective = kSlowShareOfObjective * static_cast<double>(objective);
  return mean_latency_ > std::max(slow_by_objective, kSlowMultipleOfBaseline * baseline_latency_);
}

void OriginLimit::increase(Load load) {
  const double limit = limit_.value();
  const bool in_use = limit < 1 ? load.has_queued_reads : load.in_flight + 1 >= limit * kInUseShare;
  if (in_use) {
    limit_.set_value(limit + std::min(1 / limit, kMaxIncreaseShare * limit));
  }
}

void OriginLimit::clamp(double per_router_share) {
  limit_.set_value(std::clamp(limit_.value(), kMinLimitPerEndpoint * per_router_share, kMaxLimit));
}

}  // namespace streampick::policy
