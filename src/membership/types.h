/// \file
/// Times, process instances and addresses of the gossip protocol.
#pragma once

#include <cstdint>

namespace streampick::membership {

/// Microseconds on the host's monotonic clock.
using Time = std::int64_t;
inline constexpr Time kNever = INT64_MAX;
inline constexpr Time kSecond = 1'000'000;

/// A random number that identifies one run of a process. 0: none. Not to be confused with SWIM's incarnation
/// number, which counts the refutations within one run.
using InstanceId = std::uint64_t;

/// Where a process is reached, written alike by all routers: an index into the platform's `peers`, or an IPv4
/// address and a port. 0: none.
using Address = std::uint64_t;
constexpr Address numbered(std::uint32_t number) { return std::uint64_t{number} + 1; }
constexpr Address at(std::uint32_t ipv4, std::uint16_t port) { return (std::uint64_t{ipv4} << 16U) | port; }
constexpr bool is_numbered(Address address) { return address > 0 && address <= 0xffff; }
inline constexpr Address kHighestAddress = (std::uint64_t{1} << 48U) - 1;

}  // namespace streampick::membership
