/// \file
/// Settings of the UDP socket that carries the gossip protocol.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <string>
#include <vector>

namespace streampick::membership {

/// Limits per second. As much as one second's limit may be sent in a burst.
struct BudgetLimits {
  double datagrams = 200;
  double bytes = 64 * 1024;
};

struct SocketSettings {
  boost::asio::ip::udp::endpoint listen;
  std::string fleet;  ///< name of the fleet: datagrams of other fleets are dropped
  /// Endpoints by the platform's index, including this router's own. If empty, addresses are IPv4 and port.
  std::vector<boost::asio::ip::udp::endpoint> peers;
  bool contacts_only = true;  ///< drop datagrams from addresses that are not contacts
  BudgetLimits budget;
  BudgetLimits payload_budget = {200, 32 * 1024};  ///< for the other protocols on the socket
};

}  // namespace streampick::membership
