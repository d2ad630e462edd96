/// \file
/// A listening socket that accepts while its handler has capacity.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "net/tcp.h"

namespace streampick::net {

/// Accepts connections on one event loop. Connections beyond the handler's capacity wait in the kernel's
/// queue. Where an immediate retry would spin (no capacity, no descriptor left), accepting pauses for a short
/// time.
class Listener {
 public:
  class Handler {
   public:
    virtual ~Handler() = default;
    /// Whether one more connection may be accepted now. The handler may evict another one for it.
    virtual bool can_accept() = 0;
    virtual void on_accepted(tcp::socket socket) = 0;
    /// There is no descriptor or memory for the next connection; closing one would free some.
    virtual void on_resource_exhausted() = 0;
  };

  /// How long opening a socket is retried after transient errors. A router has to be ready within 30 s.
  static constexpr std::chrono::milliseconds kOpenTimeout{27'000};

  /// Opens a socket. After transient errors (no descriptor, no memory) it is retried with exponential backoff
  /// until `open_timeout` is over. Throws boost::system::system_error when the address can't be listened on:
  /// from this constructor at the first attempt, from the event loop later. Accepts from resume() on.
  Listener(asio::io_context& io, const tcp::endpoint& address, Handler& handler,
           std::chrono::milliseconds open_timeout = kOpenTimeout);
  /// Takes over the descriptor of a socket that listens already and that other processes share. Each
  /// connection in its queue is accepted by whichever process is first.
  Listener(asio::io_context& io, int listening_descriptor, const tcp::endpoint& address, Handler& handler);

  /// Throws boost::system::system_error while the socket is not open.
  [[nodiscard]] tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  [[nodiscard]] bool is_listening() const { return is_listening_; }
  /// Whether other processes listen on the socket too.
  [[nodiscard]] bool is_shared() const { return is_shared_; }

  /// Starts accepting, or resumes it after the handler has gained capacity.
  void resume();
  /// Closes the socket. If it is not shared, first accepts what the kernel has queued, as far as there is
  /// capacity: those clients would see a reset.
  void stop();

 private:
  using Steady = std::chrono::steady_clock;

  error_code open();
  error_code open_new();
  error_code open_shared();
  /// Opens the socket, or schedules a retry.
  void try_to_open();
  void schedule_open_retry();
  void on_opened();

  /// Whether the handler has capacity for one more; if not, pauses.
  bool is_ready_to_accept();
  void wait_for_connection();
  void accept_next();
  /// Accepts the next connection in a later turn of the event loop.
  void post_accept();
  void on_accept_error(const error_code& error);
  void accept_queued_connections();
  void pause();

  asio::io_context& io_;
  Handler& handler_;
  tcp::endpoint address_;
  tcp::acceptor acceptor_;
  asio::steady_timer timer_;  ///< of a pause, or of the next attempt to open
  Steady::time_point open_deadline_;
  std::chrono::milliseconds open_backoff_;
  int shared_descriptor_ = -1;
  unsigned consecutive_failures_ = 0;  ///< of accept()
  bool is_shared_ = false;
  bool is_listening_ = false;
  bool is_started_ = false;  ///< resume() was called
  bool is_stopped_ = false;
  bool is_accept_pending_ = false;  ///< a wait for a connection, or a posted accept
  bool is_paused_ = false;
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);  ///< expires with the listener
};

}  // namespace streampick::net
