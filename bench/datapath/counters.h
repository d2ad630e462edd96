// What the counting shim counts in a program, and where the measurement reads it: a file of this form that
// both have mapped. STREAMPICK_COUNTERS names it to the shim.
#pragma once

#include <array>
#include <cstdint>

namespace streampick::bench {

enum class Call : std::uint8_t {
  epoll_wait,
  epoll_ctl,
  receive,       // recv, recvfrom, recvmsg, read, readv
  receive_none,  // ... that found nothing, or the end
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
  std::uint64_t copied_bytes = 0;  // by memcpy and memmove, where the compiler left a call
  std::uint64_t allocations = 0, allocated_bytes = 0;
};

}  // namespace streampick::bench
