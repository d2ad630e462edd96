#include "load.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <stdexcept>
#include <vector>

namespace streampick::bench {
namespace {

using Clock = std::chrono::steady_clock;

int dial(unsigned short port) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (int tries = 0; tries < 250; ++tries) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      return fd;
    }
    ::close(fd);
    ::usleep(20'000);
  }
  throw std::runtime_error("the load client can't connect");
}

struct Connection {
  int fd = -1;
  std::string in;
  std::size_t need = 0;  // bytes of the answer in all; 0: its head has not come
};

}  // namespace

LoadResult run_load(const LoadPlan& plan) {
  static std::uint64_t last_id = 0x1000;
  LoadResult out;
  const int loop = ::epoll_create1(0);
  std::vector<Connection> all(static_cast<std::size_t>(plan.connections));
  struct Leaves {
    Clock::time_point at;
    std::size_t which;
  };
  std::deque<Leaves> leaving;
  int asked = 0;
  const auto watch = [&](std::size_t i) {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = i;
    ::epoll_ctl(loop, EPOLL_CTL_ADD, all[i].fd, &event);
  };
  const auto ask = [&](std::size_t i) {
    std::array<char, 256> text{};
    const int length = std::snprintf(
        text.data(), text.size(),
        "GET /tile-read/sheet-%d HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %016llx\r\nX-Lane: tile-read\r\n"
        "X-Org: acme\r\nX-Remaining: 3.000\r\n\r\n",
        asked % plan.keys, static_cast<unsigned long long>(++last_id));
    ++asked;
    if (::send(all[i].fd, text.data(), static_cast<std::size_t>(length), MSG_NOSIGNAL) != length)
      throw std::runtime_error("the load client can't write");
    if (plan.leave_every > 0 && asked % plan.leave_every == 0)
      leaving.push_back({Clock::now() + std::chrono::microseconds(plan.leave_after_us), i});
  };
  const auto begin = Clock::now();
  for (std::size_t i = 0; i < all.size(); ++i) {
    all[i].fd = dial(plan.port);
    watch(i);
    ask(i);
  }
  std::array<epoll_event, 64> events{};
  std::array<char, 64 * 1024> bytes{};
  while (out.good + out.bad + out.left < plan.requests) {
    const int ready =
        ::epoll_wait(loop, events.data(), static_cast<int>(events.size()), leaving.empty() ? 5'000 : 1);
    if (ready == 0 && leaving.empty()) throw std::runtime_error("no answer for 5 s");
    for (int e = 0; e < ready; ++e) {
      const auto i = static_cast<std::size_t>(events[static_cast<std::size_t>(e)].data.u64);
      Connection& one = all[i];
      const ssize_t got = ::recv(one.fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
      if (got <= 0) {
        ::close(one.fd);
        ++out.bad;
        one = {dial(plan.port), {}, 0};
        watch(i);
        ask(i);
        continue;
      }
      one.in.append(bytes.data(), static_cast<std::size_t>(got));
      if (one.need == 0) {
        const std::size_t head = one.in.find("\r\n\r\n");
        if (head == std::string::npos) continue;
        const std::size_t at = one.in.find("Content-Length: ");
        one.need = head + 4 + (at < head ? std::strtoul(one.in.c_str() + at + 16, nullptr, 10) : 0);
      }
      if (one.in.size() < one.need) continue;
      ++(one.in.compare(0, 12, "HTTP/1.1 200") == 0 ? out.good : out.bad);
      one.in.clear();
      one.need = 0;
      // It was to leave, but its answer came first.
      std::erase_if(leaving, [&](const Leaves& leaves) { return leaves.which == i; });
      ask(i);
    }
    while (!leaving.empty() && leaving.front().at <= Clock::now()) {
      const std::size_t i = leaving.front().which;
      leaving.pop_front();
      ::close(all[i].fd);
      ++out.left;
      all[i] = {dial(plan.port), {}, 0};
      watch(i);
      ask(i);
    }
  }
  out.seconds = std::chrono::duration<double>(Clock::now() - begin).count();
  for (const Connection& one : all) ::close(one.fd);
  ::close(loop);
  return out;
}

}  // namespace streampick::bench
