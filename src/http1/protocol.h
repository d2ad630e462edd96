/// \file
/// Shared by the HTTP/1.1 server (towards clients) and the HTTP/1.1 upstream (towards cache servers and the
/// origin): namespace aliases, size limits in bytes, and the formats of numbers and times.
#pragma once

#include <algorithm>
#include <array>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstddef>
#include <string>
#include <string_view>

#include "net/tcp.h"
#include "streampick/router.h"

namespace streampick::http1 {

namespace beast = boost::beast;
namespace http = beast::http;

inline constexpr std::size_t kKibibyte = 1024;
inline constexpr std::size_t kMebibyte = 1024 * kKibibyte;

/// The longest body that the protocol allows without streaming.
inline constexpr std::size_t kMaxUnstreamedBody = 64 * kKibibyte;
/// Maximum size of a message's head, with its request or status line.
inline constexpr std::size_t kMaxHeadSize = 16 * kKibibyte;
/// Size of the buffer for one read from a server.
inline constexpr std::size_t kReadChunk = 8 * kKibibyte;
/// Maximum size of a response body that is buffered. The protocol allows kMaxUnstreamedBody, but servers also
/// send bodies of 350 kB.
inline constexpr std::size_t kMaxBufferedResponse = kMebibyte;
/// Memory that a streamed body reserves for the bytes that were received and not yet sent on.
inline constexpr std::size_t kStreamBufferSize = 64 * kKibibyte;
/// Size at which the writer of a streamed body pauses. What is buffered then, the part before it that is
/// being sent, and one read beyond the size of each fit into kStreamBufferSize.
inline constexpr std::size_t kStreamPauseSize = 16 * kKibibyte;

/// Appends a number in decimal digits.
inline void append_number(std::string& text, std::size_t value) {
  std::array<char, 24> digits{};
  text.append(digits.data(), std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr);
}

/// Appends a duration in microseconds as seconds with three decimals, the form of X-Remaining and
/// Retry-After. A negative one is written as zero.
inline void append_seconds(std::string& text, Time time) {
  const Time milliseconds = (std::max<Time>(time, 0) + 500) / 1'000;
  append_number(text, static_cast<std::size_t>(milliseconds / 1'000));
  const auto fraction = static_cast<int>(milliseconds % 1'000);
  text += '.';
  for (const int digit : {fraction / 100, fraction / 10 % 10, fraction % 10}) {
    text += static_cast<char>('0' + digit);
  }
}

inline std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

/// Writes what the socket takes at once of a head and its body, from their `written`-th byte on. Returns the
/// number of bytes written; with would_block there are none.
inline std::size_t write_rest(net::tcp::socket& socket, const std::string& head, const std::string& body,
                              std::size_t written, net::error_code& error) {
  const std::size_t head_written = std::min(written, head.size());
  const std::size_t body_written = written - head_written;
  const std::array<asio::const_buffer, 2> rest = {
      asio::buffer(head.data() + head_written, head.size() - head_written),
      asio::buffer(body.data() + body_written, body.size() - body_written)};
  return socket.write_some(rest, error);
}

}  // namespace streampick::http1
