#pragma once

#include "policy/endpoint_table.h"
#include "policy/idle_connections.h"
#include "policy/request_state.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Sends attempts and counts those in flight: for each request, endpoint and failure domain, and in total.
class AttemptDispatcher {
 public:
  AttemptDispatcher(EndpointTable& endpoints, const IdleConnections& connections, ActionSink& sink)
      : endpoints_(endpoints), connections_(connections), sink_(sink) {}

  /// Sends another attempt of `request`, which must have fewer than kMaxAttempts attempts.
  void send(RequestState& request, ServerId id, Time now);

  /// Updates the counts when an attempt in flight ends.
  void complete(RequestState& request, AttemptState& attempt, Outcome outcome);

  /// Marks an attempt in flight as stuck on its own connection. It no longer counts as load on its endpoint.
  /// Further calls for the same attempt have no effect.
  void mark_stalled(AttemptState& attempt);

  /// Attempts in flight at caches, including stalled ones.
  [[nodiscard]] int cache_in_flight() const { return cache_in_flight_; }
  /// Stalled attempts in flight at caches.
  [[nodiscard]] int cache_stalled() const { return cache_stalled_; }
  /// Attempts in flight at the origin, without stalled ones.
  [[nodiscard]] int origin_in_flight() const { return origin_in_flight_; }
  /// Writes in flight at the origin, including stalled ones.
  [[nodiscard]] int origin_writes() const { return origin_writes_; }

 private:
  EndpointTable& endpoints_;
  const IdleConnections& connections_;
  ActionSink& sink_;
  int cache_in_flight_ = 0;
  int cache_stalled_ = 0;
  int origin_in_flight_ = 0;
  int origin_writes_ = 0;
};

}  // namespace streampick::policy
