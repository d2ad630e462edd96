// What all that speaks HTTP here shares: short names of the libraries, limits, the form of times.
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

namespace streampick::node {

namespace beast = boost::beast;
namespace http = beast::http;

inline constexpr std::size_t kLongestBody = 64 * 1024, kLongestHeader = 16 * 1024, kReadChunk = 8 * 1024;
// The protocol has no body over 64 KiB, but servers were seen to answer with 350 KB, as good as any other.
inline constexpr std::size_t kLongestAnswer = 1024 * 1024;

// Seconds with three decimals, as X-Remaining and Retry-After carry them.
inline std::string seconds(Time time) {
  std::array<char, 32> text{};
  const double value = static_cast<double>(std::max<Time>(time, 0)) / 1e6;
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed, 3).ptr;
  return {text.data(), end};
}

inline std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

// Where a message ends must be beyond doubt: what one side takes for its body another may take for the
// next message. Beast refuses a length beside chunks and lengths that differ; it lets pass the same length
// twice, as a list too, codings other than chunked (with the body left in the stream) and a coding in
// HTTP/1.0.
template <bool IsRequest, typename Fields>
bool framing_is_plain(const http::header<IsRequest, Fields>& message) {
  if (message.count(http::field::content_length) > 1) return false;
  const std::string_view length = view(message[http::field::content_length]);
  if (length.find_first_not_of("0123456789") != std::string_view::npos) return false;
  const std::size_t codings = message.count(http::field::transfer_encoding);
  if (codings == 0) return true;
  return codings == 1 && message.version() == 11 && message.count(http::field::content_length) == 0 &&
         beast::iequals(message[http::field::transfer_encoding], "chunked");
}

}  // namespace streampick::node
