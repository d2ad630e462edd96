#include "net/listener.h"

#include <fcntl.h>

#include <utility>

#include "net/log.h"

namespace streampick::node {

namespace {
constexpr std::chrono::milliseconds kPause{20};
}

Listener::Listener(asio::io_context& io, const tcp::endpoint& address, Owner& owner)
    : io_(io), owner_(owner), acceptor_(io, address, /*reuse_addr=*/true), pause_(io) {
  acceptor_.non_blocking(true);
}

Listener::Listener(asio::io_context& io, int listening, const tcp::endpoint& address, Owner& owner)
    : io_(io), owner_(owner), acceptor_(io), pause_(io), shared_(true) {
  acceptor_.assign(address.protocol(), listening);
  acceptor_.non_blocking(true);
  ::fcntl(listening, F_SETFD, FD_CLOEXEC);
}

void Listener::go_on() {
  if (accepting_ || pausing_ || !acceptor_.is_open()) return;
  // At the limit the next ones wait in the listener's queue until there is room.
  if (!owner_.has_place()) return try_again_soon();
  if (accepting_) return;  // the connection that had to go has set the next accept going itself
  accepting_ = true;
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    accepting_ = false;
    accepted(error, std::move(socket));
  });
}

void Listener::accepted(const error_code& error, tcp::socket socket) {
  if (!error) {
    owner_.take(std::move(socket));
    return go_on();
  }
  if (error == asio::error::connection_aborted) return go_on();
  // Out of descriptors: the listener stays readable, and to try again at once would only spin.
  log("accept: " + error.message());
  owner_.out_of_descriptors();
  try_again_soon();
}

void Listener::try_again_soon() {
  if (pausing_) return;
  pausing_ = true;
  pause_.expires_after(kPause);
  pause_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    pausing_ = false;
    go_on();
  });
}

void Listener::stop() {
  error_code error;
  while (!shared_ && acceptor_.is_open() && owner_.has_place()) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (error) break;
    owner_.take(std::move(socket));
  }
  acceptor_.close(error);
  pause_.cancel();
}

}  // namespace streampick::node
