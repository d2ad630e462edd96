// The network between the router and one server: a relay that can be cut, as between zones. While it is cut
// it forwards nothing in either direction, keeps open connections open, and lets no new connection come up.
#pragma once

#include "standin.h"

namespace review {

class Link {
 public:
  explicit Link(int server_port) : server_port_(server_port) {
    listener_ = listen_on(0);
    port_ = port_of(listener_);
    std::thread([this] { accept_all(); }).detach();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

  void cut() {
    cut_ = true;
    // With a full queue of the listening socket the system drops further handshakes: connects hang.
    ::listen(listener_, 0);
    for (int i = 0; i < 3; ++i) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      sockaddr_in address{};
      address.sin_family = AF_INET;
      address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
      address.sin_port = htons(static_cast<std::uint16_t>(port_));
      (void)::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
      fillers_.push_back(fd);
    }
  }
  void heal() {
    for (const int fd : fillers_) ::close(fd);
    fillers_.clear();
    ::listen(listener_, 1024);
    cut_ = false;
  }

 private:
  void accept_all() {
    for (;;) {
      if (cut_) {
        pause_for(0.002);
        continue;
      }
      pollfd entry{listener_, POLLIN, 0};
      if (::poll(&entry, 1, 2) <= 0 || cut_) continue;
      const int near = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (near < 0) continue;
      const int far = connect_to(server_port_);
      if (far < 0) {
        ::close(near);
        continue;
      }
      const int one = 1;
      ::setsockopt(near, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([this, near, far] { relay(near, far); }).detach();
    }
  }
  void relay(int near, int far) {
    std::vector<char> buffer(65536);
    for (;;) {
      if (cut_) {
        pause_for(0.002);
        continue;
      }
      pollfd entries[2] = {{near, POLLIN, 0}, {far, POLLIN, 0}};
      if (::poll(entries, 2, 5) <= 0 || cut_) continue;
      bool ended = false;
      for (int i = 0; i < 2 && !ended; ++i) {
        if (entries[i].revents == 0) continue;
        const ssize_t count = ::recv(entries[i].fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < 0 && errno == EAGAIN) continue;
        ended = count <= 0 || write_all(i == 0 ? far : near, buffer.data(), static_cast<std::size_t>(count),
                                        now() + 30) != static_cast<std::size_t>(count);
      }
      if (ended) break;
    }
    ::close(near);
    ::close(far);
  }

  int server_port_, listener_ = -1, port_ = 0;
  std::atomic<bool> cut_{false};
  std::vector<int> fillers_;
};

}  // namespace review
