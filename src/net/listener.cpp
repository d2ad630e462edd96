#include "net/listener.h"

#include <fcntl.h>

#include <algorithm>
#include <utility>

#include "net/log.h"
#include "net/transient.h"

namespace streampick::net {

namespace {
constexpr std::chrono::milliseconds kPause{20};
constexpr std::chrono::milliseconds kFirstBackoff{20}, kMaxBackoff{500};
// So many failed connections are passed over at once; a longer row of them looks like a fault of the system.
constexpr unsigned kMaxFailuresInARow = 16;

std::string text_of(const tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}
}  // namespace

Listener::Listener(asio::io_context& io, const tcp::endpoint& address, Owner& owner,
                   std::chrono::milliseconds open_within)
    : io_(io),
      owner_(owner),
      address_(address),
      acceptor_(io),
      pause_(io),
      give_up_at_(Steady::now() + open_within),
      backoff_(kFirstBackoff) {
  try_to_open();
}

Listener::Listener(asio::io_context& io, int listening, const tcp::endpoint& address, Owner& owner)
    : io_(io),
      owner_(owner),
      address_(address),
      acceptor_(io),
      pause_(io),
      give_up_at_(Steady::now() + kOpenWithin),
      backoff_(kFirstBackoff),
      passed_(listening),
      shared_(true) {
  ::fcntl(listening, F_SETFD, FD_CLOEXEC);
  try_to_open();
}

void Listener::try_to_open() {
  const error_code error = open();
  if (!error) return opened();
  if (!is_transient(error) || Steady::now() >= give_up_at_) {
    // Without the place in asio's sources, which would be a part of the message.
    const error_code reason(error.value(), error.category());
    throw boost::system::system_error(reason, "listen on " + text_of(address_));
  }
  log("listen on " + text_of(address_) + ": " + error.message() + "; trying again");
  pause_.expires_after(backoff_);
  backoff_ = std::min(backoff_ * 2, kMaxBackoff);
  pause_.async_wait([this](error_code cancelled) {
    if (!cancelled && !stopped_) try_to_open();
  });
}

error_code Listener::open() {
  const error_code error = shared_ ? open_passed() : open_own();
  if (!error) return error;
  // A socket that is half open would keep the next attempt from its address.
  error_code ignored;
  if (acceptor_.is_open()) acceptor_.close(ignored);
  return error;
}

error_code Listener::open_own() {
  error_code error;
  acceptor_.open(address_.protocol(), error);
  if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(address_, error);
  if (!error) acceptor_.listen(tcp::acceptor::max_listen_connections, error);
  return error;
}

error_code Listener::open_passed() {
  error_code error;
  acceptor_.assign(address_.protocol(), passed_, error);
  return error;
}

void Listener::opened() {
  acceptor_.non_blocking(true);
  // Otherwise a connection that failed in the queue would be passed over without a word, and those behind it
  // would wait until one more comes.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  listens_ = true;
  if (accepts_) go_on();
}

void Listener::go_on() {
  accepts_ = true;
  if (!listens_ || waiting_ || pausing_) return;
  // At the limit the next ones wait in the listener's queue until there is room.
  if (!owner_.has_place()) return try_again_soon();
  if (waiting_) return;  // the connection that had to go has set the next wait going itself
  waiting_ = true;
  // What waits stays in the kernel's queue until it is taken: stop() finds it there. An accept that was
  // complete and not yet told of would be lost.
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (error == asio::error::operation_aborted) return;
    waiting_ = false;
    if (listens_) accept_next();
  });
}

void Listener::accept_next() {
  error_code error;
  tcp::socket socket(io_);
  acceptor_.accept(socket, error);
  if (error) return accept_failed(error);
  failures_in_a_row_ = 0;
  owner_.take(std::move(socket));
  accept_more();
}

// Those behind it in the queue take turns with whatever else is ready, one a turn of the loop's handlers: to
// wait for the socket anew each time would let one in for each look at all sockets, and starve the queue in a
// crowd.
void Listener::accept_more() {
  if (!listens_ || waiting_ || pausing_) return;
  if (!owner_.has_place()) return try_again_soon();
  if (waiting_) return;  // the connection that had to go has set the next accept going itself
  waiting_ = true;
  asio::post(io_, [this, alive = std::weak_ptr<const bool>(alive_)] {
    if (alive.expired()) return;
    waiting_ = false;
    if (listens_) accept_next();
  });
}

void Listener::accept_failed(const error_code& error) {
  // Another process that holds the socket was first.
  if (error == asio::error::would_block) return go_on();
  ++failures_in_a_row_;
  if (is_of_one_connection(error) && failures_in_a_row_ <= kMaxFailuresInARow) return go_on();
  // Out of descriptors: the listener stays readable, and to try again at once would only spin.
  if (failures_in_a_row_ == 1) log("accept: " + error.message());
  if (is_shortage(error)) owner_.out_of_descriptors();
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

void Listener::accept_queue() {
  unsigned failures = 0;
  while (owner_.has_place()) {
    error_code error;
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) {
      failures = 0;
      owner_.take(std::move(socket));
      continue;
    }
    if (error == asio::error::would_block) return;  // the queue is empty
    if (++failures > kMaxFailuresInARow) return;
    if (is_shortage(error)) owner_.out_of_descriptors();
  }
}

void Listener::stop() {
  if (listens_ && !shared_) accept_queue();
  listens_ = false;
  stopped_ = true;
  pause_.cancel();
  error_code ignored;
  acceptor_.close(ignored);
}

}  // namespace streampick::net
