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

int connect_to(unsigned short port) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(port);
  to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (int attempt = 0; attempt < 250; ++attempt) {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) {
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      return fd;
    }
    ::close(fd);
    ::usleep(20'000);
  }
  throw std::runtime_error("the load generator can't connect");
}

struct Connection {
  int fd = -1;
  std::string received;
  std::size_t response_size = 0;  // size of the response with its head; 0: the head is incomplete
};

}  // namespace

LoadResult run_load(const LoadPlan& plan) {
  static std::uint64_t last_id = 0x1000;
  LoadResult out;
  const int loop = ::epoll_create1(0);
  std::vector<Connection> connections(static_cast<std::size_t>(plan.connections));
  struct Disconnect {
    Clock::time_point at;
    std::size_t connection;
  };
  std::deque<Disconnect> disconnects;
  int sent = 0;
  const auto watch = [&](std::size_t i) {
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.u64 = i;
    ::epoll_ctl(loop, EPOLL_CTL_ADD, connections[i].fd, &event);
  };
  const auto send_request = [&](std::size_t i) {
    std::array<char, 256> text{};
    const int length = std::snprintf(
        text.data(), text.size(),
        "GET /tile-read/sheet-%d HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %016llx\r\nX-Lane: tile-read\r\n"
        "X-Org: acme\r\nX-Remaining: 3.000\r\n\r\n",
        sent % plan.keys, static_cast<unsigned long long>(++last_id));
    ++sent;
    if (::send(connections[i].fd, text.data(), static_cast<std::size_t>(length), MSG_NOSIGNAL) != length)
      throw std::runtime_error("the load generator can't write a request");
    if (plan.disconnect_every > 0 && sent % plan.disconnect_every == 0)
      disconnects.push_back({Clock::now() + std::chrono::microseconds(plan.disconnect_after_us), i});
  };
  const auto begin = Clock::now();
  for (std::size_t i = 0; i < connections.size(); ++i) {
    connections[i].fd = connect_to(plan.port);
    watch(i);
    send_request(i);
  }
  std::array<epoll_event, 64> events{};
  std::array<char, 64 * 1024> bytes{};
  while (out.served + out.failed + out.disconnected < plan.requests) {
    const int ready =
        ::epoll_wait(loop, events.data(), static_cast<int>(events.size()), disconnects.empty() ? 5'000 : 1);
    if (ready == 0 && disconnects.empty()) throw std::runtime_error("no response for 5 s");
    for (int e = 0; e < ready; ++e) {
      const auto i = static_cast<std::size_t>(events[static_cast<std::size_t>(e)].data.u64);
      Connection& connection = connections[i];
      const ssize_t got = ::recv(connection.fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
      if (got <= 0) {
        ::close(connection.fd);
        ++out.failed;
        connection = {connect_to(plan.port), {}, 0};
        watch(i);
        send_request(i);
        continue;
      }
      connection.received.append(bytes.data(), static_cast<std::size_t>(got));
      if (connection.response_size == 0) {
        const std::size_t head = connection.received.find("\r\n\r\n");
        if (head == std::string::npos) continue;
        const std::size_t at = connection.received.find("Content-Length: ");
        connection.response_size =
            head + 4 + (at < head ? std::strtoul(connection.received.c_str() + at + 16, nullptr, 10) : 0);
      }
      if (connection.received.size() < connection.response_size) continue;
      ++(connection.received.compare(0, 12, "HTTP/1.1 200") == 0 ? out.served : out.failed);
      connection.received.clear();
      connection.response_size = 0;
      // The response arrived before the scheduled disconnect, which is dropped.
      std::erase_if(disconnects, [&](const Disconnect& scheduled) { return scheduled.connection == i; });
      send_request(i);
    }
    while (!disconnects.empty() && disconnects.front().at <= Clock::now()) {
      const std::size_t i = disconnects.front().connection;
      disconnects.pop_front();
      ::close(connections[i].fd);
      ++out.disconnected;
      connections[i] = {connect_to(plan.port), {}, 0};
      watch(i);
      send_request(i);
    }
  }
  out.seconds = std::chrono::duration<double>(Clock::now() - begin).count();
  for (const Connection& connection : connections) ::close(connection.fd);
  ::close(loop);
  return out;
}

}  // namespace streampick::bench
