// The side that clients see: the listener, their connections, HTTP in and out.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "engine/front.h"
#include "net/clock.h"
#include "net/listener.h"
#include "settings.h"

namespace streampick::node {

class Clients final : public Front, private Listener::Owner {
 public:
  // Throws boost::system::system_error when the address can't be listened on.
  Clients(boost::asio::io_context& io, Clock& clock, const Names& names, Requests& requests,
          const boost::asio::ip::tcp::endpoint& listen, std::size_t most_open);
  ~Clients() override;
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return listener_.address(); }
  // From now on every answer ends its connection, and idle connections are closed.
  void drain() override;
  void stop_accepting() override;
  std::size_t unanswered() const override;
  std::size_t open() const override { return open_; }

 private:
  class Session;
  using Queue = std::list<std::shared_ptr<Session>>;
  // What a connection is doing. Each has a queue, in the order in which they began it, so that what has
  // stood longest is found at once, however many there are.
  enum class State : std::uint8_t { fresh, idle, begun, asked, writing, lingering };

  Queue& queue(State state) { return queues_[static_cast<std::size_t>(state)]; }
  const Queue& queue(State state) const { return queues_[static_cast<std::size_t>(state)]; }
  bool has_place() override { return !is_full() || make_room(); }
  bool is_full() const override { return open_ >= most_open_; }
  void take(boost::asio::ip::tcp::socket socket) override;
  void out_of_descriptors() override { make_room(); }
  bool make_room();
  void closed(Queue::iterator place, State state);
  void sweep();  // ends what has stood still for too long

  Clock& clock_;
  const Names& names_;
  Requests& requests_;
  Listener listener_;
  boost::asio::steady_timer sweep_;
  std::size_t most_open_, open_ = 0;
  std::array<Queue, 6> queues_;
  bool draining_ = false;
};

}  // namespace streampick::node
