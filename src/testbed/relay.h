// Every datagram between the processes of a bed passes here: each process knows the others by one address of
// the relay's for each, and hears them from it, as the platform's `peers` have it.
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
  // `real`: where each process listens; `fleet`: the name that its datagrams are read by, to tell their
  // kinds.
  Relay(boost::asio::io_context& io, std::vector<boost::asio::ip::udp::endpoint> real, std::string fleet,
        Faults& faults);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Where a process is reached by the others.
  std::string address(std::size_t process) const;
  // What one sent to another, whether or not it arrived.
  const Count& count(std::size_t from, std::size_t to) const { return counts_[from * real_.size() + to]; }
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
