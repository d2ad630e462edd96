#include "http1/idle_connections.h"

#include <algorithm>

#include "http1/reuse_rules.h"

namespace streampick::http1 {
namespace {

// A connection that has been idle for longer than this, in microseconds, is read to notice that the server
// closes it. Shorter pauses save that system call.
constexpr Time kWatchAfterIdle = 1'000'000;

}  // namespace

IdleConnections::ConnectionPtr IdleConnections::take(bool unsettled, Time now) {
  for (std::size_t i = connections_.size(); i-- > 0;) {
    ConnectionPtr connection = connections_[i];
    if (!unsettled && now - connection->last_response_at() < kSettleTime) continue;
    connections_.erase(connections_.begin() + static_cast<std::ptrdiff_t>(i));
    if (connection->is_clean()) return connection;
    connection->close();
  }
  return nullptr;
}

Time IdleConnections::first_settled_at() const {
  const auto first = std::min_element(connections_.begin(), connections_.end(),
                                      [](const ConnectionPtr& a, const ConnectionPtr& b) {
                                        return a->last_response_at() < b->last_response_at();
                                      });
  return (*first)->last_response_at() + kSettleTime;
}

void IdleConnections::close_unused_since_request(Time time) {
  std::erase_if(connections_, [&](const ConnectionPtr& connection) {
    if (connection->last_used() >= time) return false;
    connection->close();
    return true;
  });
}

void IdleConnections::close_unused(Time unused_since, Time now) {
  std::erase_if(connections_, [&](const ConnectionPtr& connection) {
    const bool used_recently = connection->last_used() + kWatchAfterIdle > now;
    const bool keeps = connection->last_used() > unused_since && (used_recently || connection->watch_idle());
    if (!keeps) connection->close();
    return !keeps;
  });
}

bool IdleConnections::close_least_recently_used() {
  const auto oldest = std::min_element(
      connections_.begin(), connections_.end(),
      [](const ConnectionPtr& a, const ConnectionPtr& b) { return a->last_used() < b->last_used(); });
  if (oldest == connections_.end()) return false;
  (*oldest)->close();
  connections_.erase(oldest);
  return true;
}

void IdleConnections::close_all() {
  for (const ConnectionPtr& connection : connections_) connection->close();
  connections_.clear();
}

}  // namespace streampick::http1
