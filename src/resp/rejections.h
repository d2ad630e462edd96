/// @file
/// Connections of RESP clients over the connection limit: each receives an error and an orderly close.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <list>
#include <memory>

#include "engine/time.h"

namespace streampick::resp {

/// Owns rejected connections until their clients have closed them.
///
/// Closing a socket with unread bytes would reset the connection, and the client could lose the error. So
/// each connection is shut down for writing after the error, and the bytes that its client sends are read and
/// dropped without parsing, within limits on time, bytes and the number of such connections.
///
/// Runs on the thread of the event loop that serves the sockets.
class Rejections {
 public:
  Rejections() = default;
  ~Rejections();
  Rejections(const Rejections&) = delete;
  Rejections& operator=(const Rejections&) = delete;

  /// Writes the error and shuts the connection down for writing. Closes the oldest rejected connection if
  /// there are too many.
  void reject(boost::asio::ip::tcp::socket socket, Time now);
  /// Closes the connections that their clients have not closed in time.
  void close_overdue(Time now);
  std::size_t open() const { return open_.size(); }

 private:
  class Connection;
  std::list<std::shared_ptr<Connection>> open_;  // in the order of rejection
};

}  // namespace streampick::resp
