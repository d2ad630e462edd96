#include "policy/idle_connections.h"

#include <algorithm>
#include <utility>

#include "policy/outcomes.h"

namespace streampick::policy {
namespace {

// Config::connection_cost is the cost of this many connections to a server. With no more routers than this,
// one connection from each router does not fill a server's connection table.
constexpr std::uint32_t kConnectionsPerCost = 100;
// Timeout of infrequently used idle connections, where connections have a cost.
constexpr Time kInfrequentTimeout = kSecond / 2;
constexpr Time kMinTimeout = 20 * kMillisecond;
// Factors on the learned timeout: when connections are refused, and after each new connection.
constexpr double kDecrease = 0.5;
constexpr double kIncrease = 1.02;
// The timeout is shortened when the share of refused connections exceeds this value.
constexpr double kRefusedThreshold = 0.5;
// Weight of one new connection in the running share of refused connections.
constexpr double kConnectionWeight = 0.2;
// Number of queue entries, beyond two per endpoint, after which stale entries are removed.
constexpr std::size_t kMaxExtraEntries = 64;

}  // namespace

IdleConnections::IdleConnections(const Config& config, EndpointTable& endpoints, const ReadyEndpoints& ready,
                                 const ArrivalInterval& arrivals, TimerQueue& timers, ActionSink& sink)
    : config_(config),
      endpoints_(endpoints),
      ready_(ready),
      arrivals_(arrivals),
      timers_(timers),
      sink_(sink),
      timeout_(config.keep_alive > 0 ? config.keep_alive : kUnlimited),
      max_timeout_(timeout_) {}

void IdleConnections::on_attempt_ended(const AttemptState& attempt, const AttemptResult& result, Time now) {
  if (result.outcome == Outcome::not_sent) {
    return;
  }
  Endpoint& endpoint = endpoints_.at(attempt.endpoint);
  const bool failed = result.outcome == Outcome::connect_failed;
  endpoint.connection_used_at = failed ? 0 : now;
  learn_timeout(attempt, result, now);
  const Time since_last_use = now - std::exchange(endpoint.last_used_at, now);
  const UsePattern pattern =
      since_last_use < break_even_idle_time() ? UsePattern::frequent : UsePattern::infrequent;
  if (failed || endpoint.in_flight > 0) {
    return;
  }
  enqueue(attempt.endpoint, pattern, now);
  close_expired(now);
}

void IdleConnections::learn_timeout(const AttemptState& attempt, const AttemptResult& result, Time now) {
  const bool failed = result.outcome == Outcome::connect_failed;
  if (attempt.opens_connection || failed) {
    const bool refused = failed && connection_refused(result, config_.connect_timeout);
    refused_share_ += ((refused ? 1 : 0) - refused_share_) * kConnectionWeight;
  }
  if (refused_share_ > kRefusedThreshold) {
    timeout_ = std::max(kMinTimeout, scaled(timeout_, kDecrease));
    refused_share_ *= kDecrease;
    close_expired(now);
  } else if (attempt.opens_connection && !failed && timeout_ < max_timeout_) {
    timeout_ = std::min(max_timeout_, scaled(timeout_, kIncrease));
  }
}

void IdleConnections::enqueue(ServerId id, UsePattern pattern, Time now) {
  IdleQueue& idle = queue(pattern);
  idle.push_back({now, id});
  // Most entries are stale because the connection was used again. If connections never expire, stale entries
  // behind one that is not stale are only removed here.
  if (idle.size() > 2 * endpoints_.size() + kMaxExtraEntries) {
    std::erase_if(idle, [this](const IdleSince& one) {
      return endpoints_.at(one.endpoint).connection_used_at != one.last_use;
    });
  }
}

void IdleConnections::close_expired(Time now) {
  Time next_expiry = kNever;
  close_expired(UsePattern::infrequent, now, next_expiry);
  close_expired(UsePattern::frequent, now, next_expiry);
  const bool is_earlier = next_timer_ <= now || next_expiry < next_timer_;
  if (next_expiry < kNever && is_earlier) {
    next_timer_ = next_expiry;
    timers_.add(next_expiry, TimerKind::close_idle);
  }
}

void IdleConnections::close_expired(UsePattern pattern, Time now, Time& next_expiry) {
  const Time limit = timeout(pattern);
  // At the longest timeout the endpoint closes the connection itself.
  const bool is_own_limit = limit < max_timeout_;
  IdleQueue& idle = queue(pattern);
  for (; !idle.empty(); idle.pop_front()) {
    const IdleSince oldest = idle.front();
    if (is_stale(oldest)) {
      continue;
    }
    if (now - oldest.last_use < limit) {
      if (is_own_limit) {
        next_expiry = std::min(next_expiry, oldest.last_use + limit);
      }
      return;
    }
    endpoints_.at(oldest.endpoint).connection_used_at = 0;
    if (is_own_limit) {
      sink_.close_idle(oldest.endpoint);
    }
  }
}

bool IdleConnections::is_stale(const IdleSince& idle) const {
  const Endpoint& endpoint = endpoints_.at(idle.endpoint);
  return endpoint.connection_used_at != idle.last_use || endpoint.in_flight > 0;
}

Time IdleConnections::break_even_idle_time() const {
  if (config_.connection_cost <= 0 || config_.routers <= kConnectionsPerCost) {
    return kNever;
  }
  const double time_per_cost =
      kConnectionsPerCost * arrivals_.mean() * static_cast<double>(ready_.ids().size()) / config_.routers;
  const double break_even = time_per_cost * config_.handshake_cost / config_.connection_cost;
  return static_cast<Time>(std::min<double>(kUnlimited, break_even));
}

Time IdleConnections::timeout(UsePattern pattern) const {
  return std::min(timeout_, pattern == UsePattern::frequent ? break_even_idle_time() : kInfrequentTimeout);
}

std::size_t IdleConnections::queued() const { return queues_[0].size() + queues_[1].size(); }

}  // namespace streampick::policy
