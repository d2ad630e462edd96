// What all that speaks HTTP here shares: short names of the libraries, limits, the form of times.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <cstddef>
#include <string>

#include "streampick/router.h"

namespace streampick::node {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

inline constexpr std::size_t kLongestBody = 64 * 1024, kLongestHeader = 16 * 1024, kReadChunk = 8 * 1024;

// Seconds with three decimals, as X-Remaining and Retry-After carry them.
inline std::string seconds(Time time) {
  std::array<char, 32> text{};
  const double value = static_cast<double>(std::max<Time>(time, 0)) / 1e6;
  const auto end =
      std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed, 3).ptr;
  return {text.data(), end};
}

}  // namespace streampick::node
