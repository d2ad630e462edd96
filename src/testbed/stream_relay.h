// Connections between the processes of a bed and its stand-ins, through the relay: each router has an address
// of the relay's own for each server. A cut is silence, as a machine that is cut off: open connections stay
// open, new ones come up and say nothing, and when the link is back those that were under it are reset.
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
  // From process `from` to process `to` of the faults' numbers, which listens at `real`.
  StreamRelay(boost::asio::io_context& io, Faults& faults, std::size_t from, std::size_t to,
              boost::asio::ip::tcp::endpoint real);
  ~StreamRelay();
  StreamRelay(const StreamRelay&) = delete;
  StreamRelay& operator=(const StreamRelay&) = delete;

  std::string address() const;
  const Count& count() const { return count_; }
  std::size_t open() const { return pairs_.size(); }
  // To be called when links have changed: what was held goes on, or is reset where it was cut.
  void links_changed();

 private:
  class Pair;
  void accept();
  bool cut(bool back) const { return (back ? faults_.link(to_, from_) : faults_.link(from_, to_)).cut; }
  static constexpr std::size_t kMostPairs = 4'096;
  boost::asio::io_context& io_;
  Faults& faults_;
  std::size_t from_, to_;
  boost::asio::ip::tcp::endpoint real_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Pair>> pairs_;
  Count count_;
};

}  // namespace streampick::testbed
