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

// RFC 9112, section 3.2: an HTTP/1.1 request names its host once. Two names, or none, let two readers of it
// think of two servers. An empty name is a name.
template <typename Fields>
bool host_is_plain(const http::header<true, Fields>& message) {
  const std::size_t hosts = message.count(http::field::host);
  if (hosts == 0) return message.version() < 11;
  constexpr std::string_view others = "-._~%!$&'()*+,;=:[]";
  const std::string_view host = view(message[http::field::host]);
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

}  // namespace streampick::node
