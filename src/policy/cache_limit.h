#pragma once

#include "policy/concurrency_limit.h"
#include "policy/congestion.h"
#include "streampick/router.h"

namespace streampick::policy {

/// The concurrency limit on cache attempts. Reads above it are shed. The limit is decreased while the caches
/// are congested and increased while it is in use, multiplicatively in both directions.
class CacheLimit {
 public:
  /// The load that the limit is compared with.
  struct Load {
    int in_flight = 0;            ///< attempts at caches
    double per_router_share = 0;  ///< ready endpoints divided by the number of routers
  };

  explicit CacheLimit(const CongestionEstimate& congestion) : congestion_(congestion) {}

  /// Sets the initial limit: this router's even share of what all endpoints should process at once. Does
  /// nothing if the limit has been set before. Returns whether the limit was set.
  bool initialize(double per_router_share);

  /// Whether another attempt is allowed while `in_flight` attempts are in flight. A refusal marks the limit
  /// as in use until the next tick.
  [[nodiscard]] bool try_admit(Time now, double in_flight);

  /// Increases or decreases the limit. Call at each tick.
  void adjust(Load load);

  /// Whether the limit is below one attempt at a time, so that it acts as a rate with a pause after each
  /// attempt.
  [[nodiscard]] bool is_rate() const { return limit_.value() < 1; }
  /// Call when a cache attempt ends that took `duration` microseconds. A limit below one then pauses, at most
  /// for `max_pause` microseconds.
  void pause_after(Time now, double duration, Time max_pause) {
    limit_.pause_after(now, duration, max_pause);
  }
  /// End of the last pause.
  [[nodiscard]] Time resumes_at() const { return limit_.resumes_at(); }

 private:
  const CongestionEstimate& congestion_;
  ConcurrencyLimit limit_;  // 0 until initialize()
  bool shed_since_tick_ = false;
};

}  // namespace streampick::policy
