/// \file
/// Conversions of addresses to socket endpoints and text.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <string>

#include "membership/types.h"

namespace streampick::membership {

using udp = boost::asio::ip::udp;

/// 0 for an endpoint that is not IPv4.
Address address_of(const udp::endpoint& endpoint);

/// The endpoint of an address that is not numbered.
udp::endpoint endpoint_of(Address address);

/// "10.0.0.4:7946", "#3" for a numbered address, "-" for none.
std::string text_of(Address address);

}  // namespace streampick::membership
