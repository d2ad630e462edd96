// Datagrams: one byte of version, four of checksum, one protobuf message (proto/streampick/membership.proto).
// Everything that is read is checked against its bounds; nothing is taken of a datagram with one mistake.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "membership/record.h"

namespace streampick::membership {

inline constexpr std::uint8_t kWireVersion = 1;
inline constexpr std::size_t kEnvelope = 5;

enum class Unreadable : std::uint8_t { size, version, checksum, content };
inline constexpr std::size_t kUnreadableKinds = 4;

// `fleet`: the fleet's name, part of the checksum: those of another are not read.
std::string encode(const Message& message, std::string_view fleet);
std::variant<Message, Unreadable> decode(std::string_view datagram, std::string_view fleet);

// Never less than what the record, or the message without its news, takes in a datagram.
std::size_t most_bytes(const Record& record);
std::size_t most_bytes_without_news(const Message& message);

}  // namespace streampick::membership
