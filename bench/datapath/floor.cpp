// The least that a forwarder can do: bytes of a client go to a server and the other way, on one connection
// each. One edge-triggered registration a socket for life, reads when the loop says so, writes at once. It
// parses nothing, knows no time and keeps no request apart: what a router costs above it is the router's own.
//   bench_floor LISTEN_PORT SERVER_PORT...        (127.0.0.1)
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <vector>

namespace {

sockaddr_in address_of(const char* port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(std::atoi(port)));
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return out;
}

void no_delay(int fd) {
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void watch(int loop, int fd) {
  epoll_event event{};
  event.events = EPOLLIN | EPOLLRDHUP | EPOLLET;
  event.data.fd = fd;
  ::epoll_ctl(loop, EPOLL_CTL_ADD, fd, &event);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) {
    std::fprintf(stderr, "bench_floor: LISTEN_PORT SERVER_PORT...\n");
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0), loop = ::epoll_create1(0);
  const int on = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in here = address_of(argv[1]);
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&here), sizeof here) != 0 ||
      ::listen(listener, 512) != 0) {
    std::perror("bench_floor");
    return 1;
  }
  watch(loop, listener);
  std::vector<int> other(4096, -1);  // by descriptor: the other side
  std::array<epoll_event, 64> events{};
  std::array<char, 64 * 1024> bytes{};
  int next_server = 0;
  for (;;) {
    const int ready = ::epoll_wait(loop, events.data(), static_cast<int>(events.size()), -1);
    for (int i = 0; i < ready; ++i) {
      const int fd = events[static_cast<std::size_t>(i)].data.fd;
      if (fd == listener) {
        for (int client; (client = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;) {
          const int server = ::socket(AF_INET, SOCK_STREAM, 0);
          const sockaddr_in to = address_of(argv[2 + next_server++ % (argc - 2)]);
          if (::connect(server, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) return 1;
          no_delay(client);
          no_delay(server);
          other[static_cast<std::size_t>(client)] = server;
          other[static_cast<std::size_t>(server)] = client;
          watch(loop, client);
          watch(loop, server);
        }
        continue;
      }
      const int to = other[static_cast<std::size_t>(fd)];
      if (to < 0) continue;
      for (;;) {
        const ssize_t got = ::recv(fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (got > 0) {
          if (::send(to, bytes.data(), static_cast<std::size_t>(got), 0) != got) return 1;
          if (static_cast<std::size_t>(got) == bytes.size()) continue;
          break;  // a short read: there is no more, and the next arrival is told
        }
        if (got == 0) {
          other[static_cast<std::size_t>(fd)] = other[static_cast<std::size_t>(to)] = -1;
          ::close(fd);
          ::close(to);
        }
        break;
      }
    }
  }
}
