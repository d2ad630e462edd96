/// \file
/// Keys in request targets, and their hashes. Shared by all downstreams, so that a key has the same hash in
/// every protocol.
#pragma once

#include <array>
#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

#include "settings/settings.h"

namespace streampick::engine {

/// 16 lower-case hexadecimal digits.
inline std::string hex(std::uint64_t value) {
  std::array<char, 16> digits{};
  for (std::size_t i = digits.size(); i-- > 0; value >>= 4U) digits[i] = "0123456789abcdef"[value & 15U];
  return {digits.data(), digits.size()};
}

/// Percent-encodes a key for use as a path segment (RFC 3986, section 3.3).
inline std::string escape_key(std::string_view key) {
  constexpr std::string_view unescaped_punctuation = "-._~!$&'()*+,;=:@";
  std::string out;
  out.reserve(key.size());
  for (const char c : key) {
    const bool is_unescaped = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                              unescaped_punctuation.find(c) != std::string_view::npos;
    if (is_unescaped) {
      out += c;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      out += '%';
      out += "0123456789ABCDEF"[byte >> 4U];
      out += "0123456789ABCDEF"[byte & 15U];
    }
  }
  return out;
}

/// The 64-bit number of a percent-encoded key: the value of a key of 16 hexadecimal digits, and the hash of
/// any other key.
inline std::uint64_t key_number(std::string_view escaped) {
  std::uint64_t value = 0;
  const char* end = escaped.data() + escaped.size();
  const auto parsed = std::from_chars(escaped.data(), end, value, 16);
  if (escaped.size() == 16 && parsed.ec == std::errc{} && parsed.ptr == end) return value;
  return hash_name(escaped);
}

}  // namespace streampick::engine
