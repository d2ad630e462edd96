#include "net/tcp.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <charconv>
#include <cstdint>
#include <limits>

namespace streampick::net {

std::optional<tcp::endpoint> parse_endpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (parsed.ec != std::errc{} || parsed.ptr != end || port > std::numeric_limits<std::uint16_t>::max()) {
    return std::nullopt;
  }
  error_code error;
  const auto address = asio::ip::make_address(text.substr(0, colon), error);
  if (error) {
    return std::nullopt;
  }
  return tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

bool has_undelivered_bytes(tcp::socket& socket) {
  int bytes = 0;
  return ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

void close_by_reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace streampick::net
