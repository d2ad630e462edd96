#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "policy/arrival_interval.h"
#include "policy/endpoint_table.h"
#include "policy/ready_endpoints.h"
#include "policy/request_state.h"
#include "policy/timer_queue.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Decides how long idle connections to endpoints are kept open. An open connection costs a server some
/// capacity, and a new one costs a handshake. From the costs in the settings follows the idle time at which
/// both are equal. Refused connections shorten the timeout; new connections that succeed lengthen it again.
/// See docs/fleet.md.
class IdleConnections {
 public:
  IdleConnections(const Config& config, EndpointTable& endpoints, const ReadyEndpoints& ready,
                  const ArrivalInterval& arrivals, TimerQueue& timers, ActionSink& sink);

  /// Whether the endpoint is expected to have an open connection.
  [[nodiscard]] bool has_connection(const Endpoint& endpoint, Time now) const {
    return endpoint.in_flight > 0 ||
           (endpoint.connection_used_at > 0 && now - endpoint.connection_used_at < max_timeout_);
  }

  /// Updates the timeout after an attempt has ended, and closes expired connections.
  void on_attempt_ended(const AttemptState& attempt, const AttemptResult& result, Time now);

  /// Closes connections that have been idle for longer than their timeout, and sets a timer for the next
  /// expiry.
  void close_expired(Time now);

  /// Number of queue entries, including stale ones whose connection has been used again.
  [[nodiscard]] std::size_t queued() const;

 private:
  /// Whether the time between the last two uses was below the break-even idle time, so that keeping the
  /// connection costs less than opening a new one.
  enum class UsePattern : std::uint8_t { infrequent, frequent };
  struct IdleSince {
    Time last_use = 0;
    ServerId endpoint = kNone;
  };
  using IdleQueue = std::deque<IdleSince>;

  void learn_timeout(const AttemptState& attempt, const AttemptResult& result, Time now);
  void enqueue(ServerId id, UsePattern pattern, Time now);
  void close_expired(UsePattern pattern, Time now, Time& next_expiry);
  [[nodiscard]] bool is_stale(const IdleSince& idle) const;
  [[nodiscard]] IdleQueue& queue(UsePattern pattern) { return queues_[static_cast<std::size_t>(pattern)]; }

  /// Idle time after which an open connection has cost as much as a new one; kNever if open connections cost
  /// nothing.
  [[nodiscard]] Time break_even_idle_time() const;
  [[nodiscard]] Time timeout(UsePattern pattern) const;

  const Config& config_;
  EndpointTable& endpoints_;
  const ReadyEndpoints& ready_;
  const ArrivalInterval& arrivals_;
  TimerQueue& timers_;
  ActionSink& sink_;

  Time timeout_;      // learned
  Time max_timeout_;  // after which the endpoint closes the connection
  Time next_timer_ = 0;
  double refused_share_ = 0;         // running share of refused ones among new connections
  std::array<IdleQueue, 2> queues_;  // indexed by UsePattern; each in the order of last use, oldest first
};

}  // namespace streampick::policy
