/// Text form of the last accepted roster, stored for a start while etcd is unreachable. No I/O.
///
///   streampick-roster 1 CHECKSUM UNIX_MS\n
///   LIST, in the JSON form of discovery\n
///
/// CHECKSUM: XXH3 of the text after it and one space, 16 hex digits. A text that is truncated, malformed or
/// too old is not used.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

#include "engine/endpoint_discovery.h"
#include "settings/settings.h"

namespace streampick::etcd {

constexpr std::size_t kMaxSeedSize = std::size_t{64} * 1024 * 1024;  ///< bytes

/// The reason why a text is not used.
struct SeedError {
  enum class Kind : std::uint8_t { no_seed, wrong_checksum, malformed_time, too_old, malformed_list };
  Kind kind = Kind::no_seed;
  std::string message;  ///< one line
};

/// Encodes the endpoints of `list` except those in phase "gone".
std::string encode_seed(const engine::EndpointList& list, const Names& names, long long unix_ms);

/// Rejects a text older than `max_age`. A text with a time in the future, as after the wall clock was set
/// back, is accepted.
std::variant<engine::StoredEndpointList, SeedError> decode_seed(const std::string& text, const Names& names,
                                                                long long unix_ms,
                                                                std::chrono::milliseconds max_age);

}  // namespace streampick::etcd
