// Messages as payloads of datagrams: protobuf (proto/streampick/shares.proto). Everything that is read is
// checked against its bounds; nothing is taken of a payload with one mistake.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "shares/messages.h"

namespace streampick::leases {

std::string encode(const Message& message);
std::optional<Message> decode(std::string_view payload);

// So many items are sure to go into `bytes`; 0: not even one.
std::size_t items_in(std::size_t bytes);

}  // namespace streampick::leases
