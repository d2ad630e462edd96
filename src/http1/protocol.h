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

namespace streampick::http1 {

namespace beast = boost::beast;
namespace http = beast::http;

inline constexpr std::size_t kLongestBody = 64 * 1024, kLongestHeader = 16 * 1024, kReadChunk = 8 * 1024;
// A longer body of a request is kept up to the first while there is memory for it, and goes on as it comes up
// to the second.
inline constexpr std::size_t kMostKept = 1024 * 1024, kLongestUpload = 32 * 1024 * 1024;
// The protocol has no body over 64 KiB, but servers were seen to answer with 350 KB, as good as any other.
inline constexpr std::size_t kLongestAnswer = 1024 * 1024;
// Of a body that is passed on as it comes: what waits between the two sides, at most.
inline constexpr std::size_t kPartsWaiting = 64 * 1024;

// Seconds with three decimals, as X-Remaining and Retry-After carry them, behind what `out` holds.
inline void append_seconds(std::string& out, Time time) {
  const Time ms = (std::max<Time>(time, 0) + 500) / 1'000;
  std::array<char, 24> text{};
  out.append(text.data(), std::to_chars(text.data(), text.data() + text.size(), ms / 1'000).ptr);
  const auto rest = static_cast<int>(ms % 1'000);
  for (const int digit : {-1, rest / 100, rest / 10 % 10, rest % 10})
    out += digit < 0 ? '.' : static_cast<char>('0' + digit);
}

inline void append_number(std::string& out, std::size_t value) {
  std::array<char, 24> text{};
  out.append(text.data(), std::to_chars(text.data(), text.data() + text.size(), value).ptr);
}

inline std::string_view view(beast::string_view text) { return {text.data(), text.size()}; }

// Writes what the socket takes at once of a head and its body, from their `written`-th byte on. Returns how
// many bytes it took; would_block: none.
inline std::size_t write_rest(net::tcp::socket& socket, const std::string& head, const std::string& body,
                              std::size_t written, net::error_code& error) {
  const std::size_t of_head = std::min(written, head.size()), of_body = written - of_head;
  const std::array<asio::const_buffer, 2> rest = {asio::buffer(head.data() + of_head, head.size() - of_head),
                                                  asio::buffer(body.data() + of_body, body.size() - of_body)};
  return socket.write_some(rest, error);
}

// RFC 9112, section 3.2: an HTTP/1.1 request names its host once. Two names, or none, let two readers of it
// think of two servers. An empty name is a name.
inline bool host_is_plain(unsigned version, unsigned hosts, std::string_view host) {
  if (hosts == 0) return version < 11;
  constexpr std::string_view others = "-._~%!$&'()*+,;=:[]";
  return hosts == 1 && std::all_of(host.begin(), host.end(), [&](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  others.find(c) != std::string_view::npos;
         });
}

// The path and query of a target: of http://host/path, as a client that takes us for a proxy writes it, all
// from the path on. Anything else stands as it is.
inline std::string_view origin_form(std::string_view target) {
  constexpr std::string_view scheme = "http://";
  if (target.size() <= scheme.size() || !beast::iequals(target.substr(0, scheme.size()), scheme))
    return target;
  const std::size_t path = target.find_first_of("/?", scheme.size());
  if (path == scheme.size()) return target;  // no host at all
  if (path == std::string_view::npos) return "/";
  return target[path] == '/' ? target.substr(path) : target;
}

}  // namespace streampick::http1
