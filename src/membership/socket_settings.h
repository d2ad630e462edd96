/// \file
/// Settings of the UDP socket that carries the gossip protocol.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <string>
#include <vector>

namespace streampick::membership {

/// A token bucket a second: as much as a second's allowance may be sent at once.
struct BudgetLimits {
  double datagrams = 200;
  double bytes = 64 * 1024;
};

struct SocketSettings {
  boost::asio::ip::udp::endpoint listen;
  std::string fleet;  ///< the fleet's name: datagrams of other fleets are dropped
  /// Endpoints by the platform's numbers, this router's among them. Empty: addresses are IPv4 and port.
  std::vector<boost::asio::ip::udp::endpoint> peers;
  bool contacts_only = true;  ///< drop datagrams of senders that are not contacts
  BudgetLimits budget;
  BudgetLimits payload_budget = {200, 32 * 1024};  ///< of the other protocols on the socket
};

}  // namespace streampick::membership
