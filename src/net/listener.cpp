#include "net/listener.h"

#include <fcntl.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "net/log.h"
#include "net/socket_errors.h"

namespace streampick::net {

namespace {
constexpr std::chrono::milliseconds kAcceptPause{20};
constexpr std::chrono::milliseconds kInitialOpenBackoff{20};
constexpr std::chrono::milliseconds kMaxOpenBackoff{500};
/// Maximum number of consecutive failed accept() calls that are skipped without a pause. More indicate a
/// fault of the system.
constexpr unsigned kMaxSkippedFailures = 16;

std::string to_string(const tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}
}  // namespace

Listener::Listener(asio::io_context& io, const tcp::endpoint& address, Handler& handler,
                   std::chrono::milliseconds open_timeout)
    : io_(io),
      handler_(handler),
      address_(address),
      acceptor_(io),
      timer_(io),
      open_deadline_(Steady::now() + open_timeout),
      open_backoff_(kInitialOpenBackoff) {
  try_to_open();
}

Listener::Listener(asio::io_context& io, int listening_descriptor, const tcp::endpoint& address,
                   Handler& handler)
    : io_(io),
      handler_(handler),
      address_(address),
      acceptor_(io),
      timer_(io),
      open_deadline_(Steady::now() + kOpenTimeout),
      open_backoff_(kInitialOpenBackoff),
      shared_descriptor_(listening_descriptor),
      is_shared_(true) {
  ::fcntl(listening_descriptor, F_SETFD, FD_CLOEXEC);
  try_to_open();
}

void Listener::try_to_open() {
  const error_code error = open();
  if (!error) {
    on_opened();
    return;
  }
  if (!is_transient(error) || Steady::now() >= open_deadline_) {
    // Asio attaches a source location to the error, which would become part of the message: it is removed.
    const error_code reason(error.value(), error.category());
    throw boost::system::system_error(reason, "listen on " + to_string(address_));
  }
  log("listen on " + to_string(address_) + ": " + error.message() + "; trying again");
  schedule_open_retry();
}

void Listener::schedule_open_retry() {
  timer_.expires_after(open_backoff_);
  open_backoff_ = std::min(open_backoff_ * 2, kMaxOpenBackoff);
  timer_.async_wait([this](error_code cancelled) {
    if (!cancelled && !is_stopped_) {
      try_to_open();
    }
  });
}

error_code Listener::open() {
  const error_code error = is_shared_ ? open_shared() : open_new();
  if (!error) {
    return error;
  }
  // A half-open socket would keep the address from the next attempt.
  if (acceptor_.is_open()) {
    error_code ignored;
    acceptor_.close(ignored);
  }
  return error;
}

error_code Listener::open_new() {
  error_code error;
  acceptor_.open(address_.protocol(), error);
  if (!error) {
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(address_, error);
  }
  if (!error) {
    acceptor_.listen(tcp::acceptor::max_listen_connections, error);
  }
  return error;
}

error_code Listener::open_shared() {
  error_code error;
  acceptor_.assign(address_.protocol(), shared_descriptor_, error);
  return error;
}

void Listener::on_opened() {
  acceptor_.non_blocking(true);
  // By default Asio skips a connection that failed in the queue without a report, and those behind it would
  // wait until another one arrives.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  is_listening_ = true;
  if (is_started_) {
    resume();
  }
}

bool Listener::is_ready_to_accept() {
  if (!is_listening_ || is_accept_pending_ || is_paused_) {
    return false;
  }
  if (!handler_.can_accept()) {
    pause();
    return false;
  }
  // The handler may have evicted a connection, and closing that connection may have resumed accepting.
  return !is_accept_pending_;
}

void Listener::resume() {
  is_started_ = true;
  if (is_ready_to_accept()) {
    wait_for_connection();
  }
}

void Listener::wait_for_connection() {
  is_accept_pending_ = true;
  // Waits for readiness only, and accepts after that: a connection that Asio had accepted but not yet
  // reported would be lost in stop(), while one in the kernel's queue is found there.
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    is_accept_pending_ = false;
    if (is_listening_) {
      accept_next();
    }
  });
}

void Listener::accept_next() {
  error_code error;
  tcp::socket socket(io_);
  acceptor_.accept(socket, error);
  if (error) {
    on_accept_error(error);
    return;
  }
  consecutive_failures_ = 0;
  handler_.on_accepted(std::move(socket));
  if (is_ready_to_accept()) {
    post_accept();
  }
}

// Queued connections are accepted one in each turn of the event loop. Waiting for readiness before each would
// accept only one for each poll of all sockets, and starve the queue under load.
void Listener::post_accept() {
  is_accept_pending_ = true;
  asio::post(io_, [this, alive = std::weak_ptr<const bool>(alive_)] {
    if (alive.expired()) {
      return;
    }
    is_accept_pending_ = false;
    if (is_listening_) {
      accept_next();
    }
  });
}

void Listener::on_accept_error(const error_code& error) {
  // The queue is empty, or another process that shares the socket was first.
  if (error == asio::error::would_block) {
    resume();
    return;
  }
  ++consecutive_failures_;
  if (is_connection_specific(error) && consecutive_failures_ <= kMaxSkippedFailures) {
    resume();
    return;
  }
  if (consecutive_failures_ == 1) {
    log("accept: " + error.message());
  }
  if (is_resource_exhausted(error)) {
    handler_.on_resource_exhausted();
  }
  // The socket stays readable: without a pause the loop would spin.
  pause();
}

void Listener::pause() {
  if (is_paused_) {
    return;
  }
  is_paused_ = true;
  timer_.expires_after(kAcceptPause);
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled) {
      return;
    }
    is_paused_ = false;
    resume();
  });
}

void Listener::accept_queued_connections() {
  unsigned failures = 0;
  while (handler_.can_accept()) {
    error_code error;
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) {
      failures = 0;
      handler_.on_accepted(std::move(socket));
      continue;
    }
    if (error == asio::error::would_block) {
      return;  // the queue is empty
    }
    ++failures;
    if (failures > kMaxSkippedFailures) {
      return;
    }
    if (is_resource_exhausted(error)) {
      handler_.on_resource_exhausted();
    }
  }
}

void Listener::stop() {
  if (is_listening_ && !is_shared_) {
    accept_queued_connections();
  }
  is_listening_ = false;
  is_stopped_ = true;
  timer_.cancel();
  error_code ignored;
  acceptor_.close(ignored);
}

}  // namespace streampick::net
