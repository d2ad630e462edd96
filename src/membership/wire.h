/// \file
/// The encoding of messages in datagrams: one byte of version, four bytes of checksum, and one protobuf
/// message (proto/streampick/membership.proto). A datagram with an invalid field is rejected as a whole.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "membership/message.h"

namespace streampick::membership {

inline constexpr std::uint8_t kWireVersion = 1;
inline constexpr std::size_t kEnvelopeSize = 5;

enum class DecodeError : std::uint8_t { size, version, checksum, content };
inline constexpr std::size_t kDecodeErrors = 4;

/// `fleet`: the name of the fleet. It seeds the checksum, so that datagrams of other fleets are rejected.
std::string encode(const Message& message, std::string_view fleet);
std::variant<Message, DecodeError> decode(std::string_view datagram, std::string_view fleet);
/// Returns a datagram of version, checksum and `body`, the encoded protobuf message.
std::string add_envelope(std::string_view body, std::string_view fleet);

/// Upper bounds of the encoded size in bytes of a record, and of a datagram without its updates.
std::size_t max_encoded_size(const Record& record);
std::size_t max_encoded_size_without_updates(const Message& message);

}  // namespace streampick::membership
