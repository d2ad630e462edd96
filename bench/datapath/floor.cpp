// A minimal TCP forwarder, as the baseline of the benchmark. Each client connection has one server
// connection, and bytes are copied between the two. Each socket has one edge-triggered registration for its
// lifetime; it is read when epoll reports it, and the bytes are written at once. The forwarder parses
// nothing, has no timers and does not separate requests, so any cost of the router above it is due to the
// router's own work.
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
  const int enabled = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
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
  const int enabled = 1;
  ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  const sockaddr_in listen_address = address_of(argv[1]);
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&listen_address), sizeof listen_address) != 0 ||
      ::listen(listener, 512) != 0) {
    std::perror("bench_floor");
    return 1;
  }
  watch(loop, listener);
  std::vector<int> peer_of(4096, -1);  // indexed by descriptor: the descriptor of the other connection
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
          const sockaddr_in server_address = address_of(argv[2 + next_server++ % (argc - 2)]);
          if (::connect(server, reinterpret_cast<const sockaddr*>(&server_address), sizeof server_address) !=
              0)
            return 1;
          no_delay(client);
          no_delay(server);
          peer_of[static_cast<std::size_t>(client)] = server;
          peer_of[static_cast<std::size_t>(server)] = client;
          watch(loop, client);
          watch(loop, server);
        }
        continue;
      }
      const int peer = peer_of[static_cast<std::size_t>(fd)];
      if (peer < 0) continue;
      for (;;) {
        const ssize_t received = ::recv(fd, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (received > 0) {
          if (::send(peer, bytes.data(), static_cast<std::size_t>(received), 0) != received) return 1;
          if (static_cast<std::size_t>(received) == bytes.size()) continue;
          break;  // after a short read no bytes are left, and epoll reports the next ones
        }
        if (received == 0) {
          peer_of[static_cast<std::size_t>(fd)] = peer_of[static_cast<std::size_t>(peer)] = -1;
          ::close(fd);
          ::close(peer);
        }
        break;
      }
    }
  }
}
