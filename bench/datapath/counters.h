// The counters of the counting shim, as the layout of a file. The shim maps the file that the environment
// variable STREAMPICK_COUNTERS names and updates it; the benchmark reads it.
#pragma once

#include <array>
#include <cstdint>

namespace streampick::bench {

enum class Call : std::uint8_t {
  epoll_wait,
  epoll_ctl,
  receive,       // recv, recvfrom, recvmsg, read, readv
  receive_none,  // those of `receive` that returned no bytes, an error or the end of the stream
  peek,
  send,  // send, sendto, sendmsg, write, writev
  accept,
  connect,
  close,
  socket_option,  // setsockopt, getsockopt, ioctl, fcntl, shutdown
  timer_set,      // timerfd_settime
  last
};
inline constexpr std::array<const char*, static_cast<std::size_t>(Call::last)> kCallNames = {
    "epoll_wait", "epoll_ctl", "receive", "receive of nothing", "peek",           "send",
    "accept",     "connect",   "close",   "socket option",      "timerfd_settime"};

struct Counters {
  std::array<std::uint64_t, static_cast<std::size_t>(Call::last)> calls{};
  std::uint64_t received_bytes = 0, sent_bytes = 0;
  std::uint64_t copied_bytes = 0;  // by calls of memcpy and memmove that the compiler did not inline
  std::uint64_t allocations = 0, allocated_bytes = 0;
};

}  // namespace streampick::bench
