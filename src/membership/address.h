// Addresses between the core's numbers, sockets and words.
#pragma once

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

#include "membership/record.h"

namespace streampick::membership {

using udp = boost::asio::ip::udp;

// 0: it is no IPv4.
inline Address address_of(const udp::endpoint& endpoint) {
  if (!endpoint.address().is_v4()) return 0;
  return at(endpoint.address().to_v4().to_uint(), endpoint.port());
}

// "10.0.0.4:7946", or "#3" of a number.
inline std::string text_of(Address address) {
  if (address == 0) return "-";
  if (is_numbered(address)) return "#" + std::to_string(address - 1);
  return boost::asio::ip::address_v4(static_cast<std::uint32_t>(address >> 16U)).to_string() + ":" +
         std::to_string(address & 0xffffU);
}

}  // namespace streampick::membership
