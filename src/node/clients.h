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
#include <vector>

#include "../settings.h"
#include "clock.h"
#include "upstream.h"

namespace streampick::node {

// A request that is well formed.
struct Incoming {
  std::shared_ptr<Forward> forward;
  std::uint32_t request_class = 0, tenant = kNone;
  std::uint64_t txn = 0, key = 0;
  bool has_key = false;
  Time remaining = 0, cost_hint = 0;
};

struct Reply {
  unsigned status = 200;
  std::string content_type, body;
  Time retry_after = 0;  // 0: no advice
  Lease lease = {};
};

// One client connection, as the host sees it.
class Client {
 public:
  virtual ~Client() = default;
  // The final answer to the request that is open on it; does nothing when the client has gone.
  virtual void reply(Reply reply) = 0;
};

class Requests {
 public:
  virtual ~Requests() = default;
  // Returns the id that the request is known by from here on; 0: one with its X-Txn is still open.
  virtual RequestId client_asked(const std::shared_ptr<Client>& client, Incoming incoming) = 0;
  virtual void client_gone(RequestId request) = 0;
};

class Clients {
 public:
  // Throws boost::system::system_error when the address can't be listened on.
  Clients(boost::asio::io_context& io, Clock& clock, const Names& names, Requests& requests,
          const boost::asio::ip::tcp::endpoint& listen, std::size_t most_open);
  ~Clients();
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  boost::asio::ip::tcp::endpoint address() const;
  // From now on every answer ends its connection, and idle connections are closed.
  void drain();
  void stop_accepting();
  std::size_t unanswered() const;  // connections with a request on them, or an answer not yet written
  std::size_t open() const { return open_; }

 private:
  class Session;
  using Queue = std::list<std::shared_ptr<Session>>;
  // What a connection is doing. Each has a queue, in the order in which they began it, so that what has
  // stood longest is found at once, however many there are.
  enum class State : std::uint8_t { fresh, idle, begun, asked, writing, lingering };

  Queue& queue(State state) { return queues_[static_cast<std::size_t>(state)]; }
  const Queue& queue(State state) const { return queues_[static_cast<std::size_t>(state)]; }
  void accept();
  void accepted(const boost::system::error_code& error, boost::asio::ip::tcp::socket socket);
  void take(boost::asio::ip::tcp::socket socket);
  void try_again_soon();
  bool make_room();
  void closed(Queue::iterator place, State state);
  void sweep();  // ends what has stood still for too long

  boost::asio::io_context& io_;
  Clock& clock_;
  const Names& names_;
  Requests& requests_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_, sweep_;
  std::size_t most_open_, open_ = 0;
  std::array<Queue, 6> queues_;
  std::vector<char> scratch_;  // what any of them reads goes here first: one that is idle holds no buffer
  bool draining_ = false, accepting_ = false, pausing_ = false;
};

}  // namespace streampick::node
