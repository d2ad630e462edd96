// A listening socket: accepts while its owner has a place, and waits where trying again at once would spin.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "net/tcp.h"

namespace streampick::net {

class Listener {
 public:
  class Owner {
   public:
    virtual ~Owner() = default;
    // Whether one more may be accepted now; it may end another connection for that.
    virtual bool has_place() = 0;
    virtual void take(tcp::socket socket) = 0;
    // There is no descriptor for the next one: an ended connection would free one.
    virtual void out_of_descriptors() = 0;
  };

  /// For how long a socket that can't be opened for the moment is tried again. A router has to be ready
  /// within 30 s.
  static constexpr std::chrono::milliseconds kOpenWithin{27'000};

  /// Opens the socket. Where that fails for the moment (no descriptor, no memory), it is tried again with
  /// backoff until `open_within` is over. Throws boost::system::system_error when the address can't be
  /// listened on: from here at the first attempt, from the event loop later. Accepts from go_on() on.
  Listener(asio::io_context& io, const tcp::endpoint& address, Owner& owner,
           std::chrono::milliseconds open_within = kOpenWithin);
  /// On a socket that listens already and that other processes hold too: what waits in its queue is theirs
  /// as much as ours.
  Listener(asio::io_context& io, int listening, const tcp::endpoint& address, Owner& owner);

  /// Throws boost::system::system_error while the socket is not open.
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  /// Whether the socket is open and listens.
  bool listens() const { return listens_; }
  // Accepts the next, if nothing stands against it. To be called when a place has come free.
  void go_on();
  bool shared() const { return shared_; }
  // Takes what the kernel has accepted, which counts as ours unless the socket is shared, as far as there is
  // room, and closes.
  void stop();

 private:
  using Steady = std::chrono::steady_clock;

  error_code open();
  error_code open_own();
  error_code open_passed();
  /// Opens the socket, or plans the next attempt.
  void try_to_open();
  void opened();
  void accept_next();
  void accept_more();
  void accept_failed(const error_code& error);
  /// All that the kernel has accepted.
  void accept_queue();
  void try_again_soon();

  asio::io_context& io_;
  Owner& owner_;
  tcp::endpoint address_;
  tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  Steady::time_point give_up_at_;
  std::chrono::milliseconds backoff_;
  int passed_ = -1;                 // the descriptor of the socket that others hold too
  unsigned failures_in_a_row_ = 0;  // of accept()
  bool waiting_ = false, pausing_ = false, shared_ = false, listens_ = false;
  bool accepts_ = false;  // go_on() was called
  bool stopped_ = false;
  std::shared_ptr<const bool> alive_ = std::make_shared<const bool>(true);  // expires with the listener
};

}  // namespace streampick::net
