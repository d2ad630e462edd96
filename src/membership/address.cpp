#include "membership/address.h"

#include <boost/asio/ip/address_v4.hpp>
#include <cstdint>

namespace streampick::membership {
namespace {

constexpr unsigned kPortBits = 16;
constexpr Address kPortMask = 0xffff;

}  // namespace

Address address_of(const udp::endpoint& endpoint) {
  if (!endpoint.address().is_v4()) {
    return 0;
  }
  return at(endpoint.address().to_v4().to_uint(), endpoint.port());
}

udp::endpoint endpoint_of(Address address) {
  const boost::asio::ip::address_v4 host(static_cast<std::uint32_t>(address >> kPortBits));
  return {host, static_cast<std::uint16_t>(address & kPortMask)};
}

std::string text_of(Address address) {
  if (address == 0) {
    return "-";
  }
  if (is_numbered(address)) {
    return "#" + std::to_string(address - 1);
  }
  const udp::endpoint endpoint = endpoint_of(address);
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

}  // namespace streampick::membership
