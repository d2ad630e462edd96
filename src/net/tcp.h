// Short names for what all sockets here are made of, and addresses as text.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <charconv>
#include <optional>
#include <string>

namespace streampick {
namespace asio = boost::asio;
}

namespace streampick::net {

using boost::system::error_code;
using tcp = asio::ip::tcp;

// "host:port", the host as numbers: nothing here looks names up.
inline std::optional<tcp::endpoint> parse_endpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc{} || parsed.ptr != end || port > 65535) return std::nullopt;
  error_code error;
  const auto address = asio::ip::make_address(text.substr(0, colon), error);
  if (error) return std::nullopt;
  return tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

}  // namespace streampick::net
