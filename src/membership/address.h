/// \file
/// Converts addresses to and from UDP endpoints, and to text.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <string>

#include "membership/types.h"

namespace streampick::membership {

using udp = boost::asio::ip::udp;

/// Returns 0 if the endpoint is not IPv4.
Address address_of(const udp::endpoint& endpoint);

/// `address` must hold an IPv4 address and a port; it must not be an index into `peers`.
udp::endpoint endpoint_of(Address address);

/// "10.0.0.4:7946"; "#3" for the index 3 into `peers`; "-" for address 0.
std::string text_of(Address address);

}  // namespace streampick::membership
