/// \file
/// Short names of Asio's types, and socket addresses as text.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <optional>
#include <string>

namespace streampick {
namespace asio = boost::asio;
}

namespace streampick::net {

using boost::system::error_code;
using tcp = asio::ip::tcp;

/// Parses "host:port" with a numeric host; names are not resolved. None: the text is not such an address.
std::optional<tcp::endpoint> parse_endpoint(const std::string& text);

/// Whether bytes that were written to the socket have not been acknowledged by the peer's kernel. The peer
/// may still receive them, even after an orderly close.
bool has_undelivered_bytes(tcp::socket& socket);

/// Closes the socket by a reset: undelivered bytes are discarded.
void close_by_reset(tcp::socket& socket);

}  // namespace streampick::net
