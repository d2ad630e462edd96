// Forwards every datagram between the router processes of a testbed. The relay has one address for each
// process. The other processes send to that address, and receive that process's datagrams from it; the
// platform's `peers` list these addresses.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "membership/message.h"
#include "testbed/faults.h"

namespace streampick::testbed {

class Relay {
 public:
  struct Count {
    std::array<std::uint64_t, membership::kMessageKinds> datagrams{};
    std::uint64_t all = 0, bytes = 0, longest = 0;
  };
  // `real`: the address that each process listens on. `fleet`: the fleet name needed to decode datagrams,
  // whose kinds are counted.
  Relay(boost::asio::io_context& io, std::vector<boost::asio::ip::udp::endpoint> real, std::string fleet,
        Faults& faults);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // The address at which the other processes reach `process`.
  std::string address(std::size_t process) const;
  // What `from` sent to `to`, including datagrams that were lost.
  const Count& count(std::size_t from, std::size_t to) const { return counts_[from * real_.size() + to]; }
  // Datagrams from an address that belongs to no process.
  std::uint64_t strangers() const { return strangers_; }

 private:
  struct Port;
  void pass(std::size_t from, std::size_t to, std::string datagram);
  boost::asio::io_context& io_;
  std::vector<boost::asio::ip::udp::endpoint> real_;
  std::string fleet_;
  Faults& faults_;
  std::vector<std::unique_ptr<Port>> ports_;
  std::vector<Count> counts_;
  std::uint64_t strangers_ = 0;
  std::size_t under_way_ = 0;
};

}  // namespace streampick::testbed
