/// The last trusted roster as a file's text: for a start while etcd is out of reach. No I/O.
///
///   streampick-roster 1 CHECKSUM UNIX_MS\n
///   LIST, in the form that discovery sends it\n
///
/// CHECKSUM: XXH3 of all that stands behind it, 16 hex digits. A text that is cut short, malformed or too old
/// is not used.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "engine/endpoint_discovery.h"
#include "settings/settings.h"

namespace streampick::etcd {

constexpr std::size_t kMaxSeedSize = std::size_t{64} * 1024 * 1024;  ///< bytes of a file's text

/// Why a text is not used.
struct SeedError {
  enum class Kind : std::uint8_t { no_seed, wrong_checksum, malformed_time, too_old, malformed_list };
  Kind kind = Kind::no_seed;
  std::string message;  ///< one line
};

/// Endpoints that have gone are left out.
std::string encode_seed(const engine::EndpointList& list, const Names& names, long long unix_ms);

/// `max_age`: older is not taken; what is from the future, as after a step of the clock, counts as new.
std::variant<engine::EndpointList, SeedError> decode_seed(const std::string& text, const Names& names,
                                                          long long unix_ms,
                                                          std::chrono::milliseconds max_age);

}  // namespace streampick::etcd
