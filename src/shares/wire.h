// Encodes messages as datagram payloads with protobuf (proto/streampick/shares.proto).
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "shares/messages.h"

namespace streampick::leases {

/// Serialises a message.
std::string encode(const Message& message);
/// Parses a payload. Returns nothing if it is malformed or a field is out of bounds.
std::optional<Message> decode(std::string_view payload);

/// Number of items that a payload of `bytes` can hold in the worst case.
std::size_t max_items_in(std::size_t bytes);

}  // namespace streampick::leases
