/// \file
/// The idle connections to one server. The most recently used one is used next.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "http1/upstream_connection.h"
#include "streampick/router.h"

namespace streampick::http1 {

class IdleConnections {
 public:
  using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

  bool empty() const { return connections_.empty(); }
  std::size_t size() const { return connections_.size(); }

  void add(ConnectionPtr connection) { connections_.push_back(std::move(connection)); }
  void remove(const ConnectionPtr& connection) { std::erase(connections_, connection); }
  /// Removes the most recently used connection that may carry a request now, and returns it; null if there is
  /// none. Closes connections that are not clean. `unsettled` admits connections that have not settled.
  ConnectionPtr take(bool unsettled, Time now);
  /// When the first idle connection will have settled. There must be an idle connection.
  Time first_settled_at() const;

  /// Closes the connections that were not used since `time`, when a request began that was never answered.
  /// The server may have lost its connections, and then each of these would lose a request too.
  void close_unused_since_request(Time time);
  /// Closes the connections that were last used at `unused_since` or earlier. Of the others, those that have
  /// been idle for a while are read from now on, to notice that the server closes them.
  void close_unused(Time unused_since, Time now);
  /// Returns whether a connection was closed.
  bool close_least_recently_used();
  void close_all();

 private:
  std::vector<ConnectionPtr> connections_;  // the most recently used last
};

}  // namespace streampick::http1
