/// Counters in shared memory between the preloaded library that fails system calls and the test that starts a
/// program with that library.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace streampick::faults {

/// The calls that may fail. Transfers are named after the other side: `client` on accepted connections,
/// `server` on connections that the program opened, `peer` on datagram sockets.
enum class Call : std::size_t {
  socket,
  bind,
  listen,
  connect,
  accept,
  watch,  // epoll_ctl() that adds a socket
  wait,   // epoll_wait()
  loop,   // epoll_create1(), eventfd(), pipe()
  client_receive,
  client_send,
  server_receive,
  server_send,
  peer_receive,
  peer_send,
};
inline constexpr std::size_t kCalls = 14;
/// Names of the calls in STREAMPICK_FAULTS.
inline constexpr std::array<const char*, kCalls> kCallNames = {
    "socket", "bind",           "listen",      "connect",        "accept",      "watch",        "wait",
    "loop",   "client_receive", "client_send", "server_receive", "server_send", "peer_receive", "peer_send"};

/// Lies in a file that both processes map.
struct FaultCounts {
  /// 1: calls may fail now; 0: no call fails.
  std::atomic<std::uint32_t> armed;
  std::array<std::atomic<std::uint64_t>, kCalls> calls;
  std::array<std::atomic<std::uint64_t>, kCalls> faults;
};

}  // namespace streampick::faults
