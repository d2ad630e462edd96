/// \file
/// The idle connections to one server, of which the most recently used is used next.
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
  /// Removes the most recently used connection that may carry a request now, and returns it; none: there is
  /// none. Closes those that turn out not to be clean. `unsettled`: also one that has not settled.
  ConnectionPtr take(bool unsettled, Time now);
  /// When the first of them will have settled. Requires that there is one.
  Time first_settled_at() const;

  /// Closes those that were not used since `time`, where the request that began then was never answered: the
  /// server may have lost its connections, and each of these would lose a request too.
  void close_unused_since_request(Time time);
  /// Closes those that were last used at `unused_since` or earlier. The others are read from now on if they
  /// have been idle for a while, to notice their end.
  void close_unused(Time unused_since, Time now);
  /// Returns whether there was one.
  bool close_least_recently_used();
  void close_all();

 private:
  std::vector<ConnectionPtr> connections_;  // the most recently used last
};

}  // namespace streampick::http1
