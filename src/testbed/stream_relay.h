// Forwards TCP connections from the routers of a testbed to its stand-in servers. Each router has its own
// relay address for each server. A cut link behaves like an unreachable machine: open connections stay open
// and carry nothing, new connections are accepted and carry nothing, and all of them are reset when the link
// is restored.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "testbed/faults.h"

namespace streampick::testbed {

class StreamRelay {
 public:
  struct Count {
    std::uint64_t connections = 0, bytes_to = 0, bytes_from = 0, reset = 0;
  };
  // Relays connections from process `from` to process `to`, as numbered in `faults`. `to` listens at `real`.
  StreamRelay(boost::asio::io_context& io, Faults& faults, std::size_t from, std::size_t to,
              boost::asio::ip::tcp::endpoint real);
  ~StreamRelay();
  StreamRelay(const StreamRelay&) = delete;
  StreamRelay& operator=(const StreamRelay&) = delete;

  std::string address() const;
  const Count& count() const { return count_; }
  std::size_t open() const { return pairs_.size(); }
  // Must be called after a change of links. Resets connections whose cut link has been restored.
  void links_changed();

 private:
  class Pair;
  void accept();
  bool cut(bool back) const { return (back ? faults_.link(to_, from_) : faults_.link(from_, to_)).cut; }
  static constexpr std::size_t kMaxPairs = 4'096;
  boost::asio::io_context& io_;
  Faults& faults_;
  std::size_t from_, to_;
  boost::asio::ip::tcp::endpoint real_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Pair>> pairs_;
  Count count_;
};

}  // namespace streampick::testbed
