// A listening socket: accepts while its owner has a place, and waits where trying again at once would spin.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/tcp.h"

namespace streampick::node {

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

  // Throws boost::system::system_error when the address can't be listened on. Accepts from go_on() on.
  Listener(asio::io_context& io, const tcp::endpoint& address, Owner& owner);
  // On a socket that listens already and that other processes hold too: what waits in its queue is theirs as
  // much as ours.
  Listener(asio::io_context& io, int listening, const tcp::endpoint& address, Owner& owner);

  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  // Accepts the next, if nothing stands against it. To be called when a place has come free.
  void go_on();
  bool shared() const { return shared_; }
  // Takes what the kernel has accepted, which counts as ours unless the socket is shared, as far as there is
  // room, and closes.
  void stop();

 private:
  void accepted(const error_code& error, tcp::socket socket);
  void try_again_soon();

  asio::io_context& io_;
  Owner& owner_;
  tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  bool accepting_ = false, pausing_ = false, shared_ = false;
};

}  // namespace streampick::node
