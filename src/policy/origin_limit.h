#pragma once

#include "policy/concurrency_limit.h"
#include "policy/request_state.h"
#include "policy/sample_weight.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Limits how much of the origin this router uses. A concurrency limit on reads adapts to the latency of the
/// origin's answers. Where routers share the origin by leases, the lease bounds all attempts of this router
/// there.
///
/// The limit grows by one per round trip while it is in use (additive increase). It is decreased by a factor
/// when answers are slow compared with both the latency objective and the best recent latency.
class OriginLimit {
 public:
  /// Load at the origin when an answer arrives.
  struct Load {
    int in_flight = 0;  ///< attempts, without the one that has just ended
    bool has_queued_reads = false;
  };

  /// Sets the initial limit.
  void initialize(double per_router_share);

  /// Sets the number of concurrent attempts that this router's share of the origin allows; see Shares.
  void set_lease(const Shares& shares);

  /// Whether the lease allows another attempt while `in_flight` attempts are in flight.
  [[nodiscard]] bool lease_allows(Time now, int in_flight) const {
    return in_flight < lease_floor_ + (now < leased_until_ ? leased_extra_ : 0);
  }

  /// Whether another read may be sent while `in_flight` attempts are in flight.
  [[nodiscard]] bool allows_read(Time now, double in_flight) const {
    return limit_.has_capacity(now, in_flight);
  }
  /// Like allows_read(), where `writes` of the attempts in flight are writes. A share of the limit is
  /// reserved for reads regardless of the number of writes, because without reads the caches would not be
  /// filled again.
  [[nodiscard]] bool allows_read_beside_writes(Time now, int in_flight, int writes) const;
  /// Whether another write may be sent while `writes` writes are in flight.
  [[nodiscard]] bool allows_write(int writes) const { return writes < limit_.value() + 1; }

  /// Adjusts the limit after an answer of the origin to `attempt`. `objective` is the latency objective of
  /// the request's class.
  void record_answer(const AttemptState& attempt, const AttemptResult& result, Time objective, Load load,
                     Time now);
  /// Clamps the limit to its minimum and maximum. Call after each answer.
  void clamp(double per_router_share);
  /// Call when a read ends that took `duration` microseconds. A limit below one then pauses, at most for
  /// `max_pause` microseconds.
  void pause_after_read(Time now, double duration, Time max_pause) {
    limit_.pause_after(now, duration, max_pause);
  }
  /// End of the last pause.
  [[nodiscard]] Time resumes_at() const { return limit_.resumes_at(); }

  [[nodiscard]] double value() const { return limit_.value(); }
  /// Running mean of the answer latency in microseconds; 0 before the first answer.
  [[nodiscard]] double mean_latency() const { return mean_latency_; }

 private:
  /// Adds an answer to the latency estimates. Returns whether they show that the origin is congested.
  bool record_latency(Time now, const AttemptState& attempt, Time objective);
  void increase(Load load);

  ConcurrencyLimit limit_;
  double mean_latency_ = 0;
  double baseline_latency_ = 0;  // minimum of the mean latency, which decays slowly
  SampleWeight sample_weight_{2 * kSampleWeight};
  Time last_decrease_ = 0;
  // Unlimited until the host sets a lease.
  double lease_floor_ = 1e18;
  double leased_extra_ = 0;
  Time leased_until_ = 0;
};

}  // namespace streampick::policy
