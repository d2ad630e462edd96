/// \file
/// Times, process instances and addresses of the gossip protocol.
#pragma once

#include <cstdint>

namespace streampick::membership {

/// Microseconds of the host's monotonic clock.
using Time = std::int64_t;
inline constexpr Time kNever = INT64_MAX;
inline constexpr Time kSecond = 1'000'000;

/// A random number that identifies one run of a process; 0 means none. It is not SWIM's incarnation number,
/// which a process increases with each refutation and each change of its facts.
using InstanceId = std::uint64_t;

/// The address of a process, the same number at all routers: either an index into the platform's `peers` plus
/// 1, or an IPv4 address and a port. 0 means none.
using Address = std::uint64_t;
constexpr Address numbered(std::uint32_t number) { return std::uint64_t{number} + 1; }
constexpr Address at(std::uint32_t ipv4, std::uint16_t port) { return (std::uint64_t{ipv4} << 16U) | port; }
constexpr bool is_numbered(Address address) { return address > 0 && address <= 0xffff; }
inline constexpr Address kHighestAddress = (std::uint64_t{1} << 48U) - 1;

}  // namespace streampick::membership
