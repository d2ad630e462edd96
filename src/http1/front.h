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

#include "engine/downstream.h"
#include "engine/message_pool.h"
#include "net/clock.h"
#include "net/listener.h"
#include "net/load_shedder.h"
#include "net/loop_stall_detector.h"
#include "net/memory_budget.h"
#include "overload/descriptor_budget.h"
#include "overload/keep_alive_policy.h"
#include "settings/settings.h"

namespace streampick::http1 {

class Clients final : public engine::Downstream, private net::Listener::Handler {
 public:
  // Since the start.
  struct Counts {
    std::uint64_t accepted = 0;
    std::uint64_t spared = 0;   // connections ended to make room for others
    std::uint64_t expired = 0;  // ... and that stood still for too long
    std::uint64_t waited = 0;   // times that the next connection had to wait for a place
    std::uint64_t unread = 0;   // answers 4xx: what can't be read or is not allowed
    std::uint64_t once = 0;     // ended behind their first answer, in a crowd
    std::uint64_t shed = 0;     // turned away unread, the loop being behind
    std::uint64_t left = 0;     // clients that ended a connection with a request in work
  };

  // Throws boost::system::system_error when the address can't be listened on. `passed`: a descriptor that
  // listens there already, held by other processes too; -1: none. Accepts from open_doors() on.
  Clients(boost::asio::io_context& io, net::Clock& clock, const Names& names,
          engine::RequestHandler& requests, const boost::asio::ip::tcp::endpoint& listen,
          overload::DescriptorBudget& descriptors, const overload::Settings& limits,
          net::LoadShedder& load_shedder, net::MemoryBudget& body_memory, int passed = -1);
  ~Clients() override;
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return listener_.address(); }
  bool listens() const { return listener_.is_listening(); }
  void open_doors() { listener_.resume(); }
  // From now on every answer ends its connection, and idle connections are closed.
  void on_drain_started() override;
  void on_shutdown_started() override;
  void on_drain_ended() override;
  void stop_accepting() override;
  std::size_t unanswered() const override;
  std::size_t open_connections() const override { return open_; }
  const Counts& counts() const { return counts_; }
  std::string summary() const;  // the counts, for the log
  // Ends a connection that can best be spared, for one that is wanted elsewhere; false: there is none.
  bool give_one_back() { return spare_one(); }

 private:
  class Session;
  using Queue = std::list<std::shared_ptr<Session>>;
  // What a connection is doing. Each has a queue, in the order in which they began it, so that what has
  // stood longest is found at once, however many there are.
  // `receiving`: the head is read, the body is not; `uploading`: it is asked already, and goes on as it
  // comes.
  enum class State : std::uint8_t { fresh, idle, begun, receiving, uploading, asked, writing, lingering };

  Queue& queue(State state) { return queues_[static_cast<std::size_t>(state)]; }
  const Queue& queue(State state) const { return queues_[static_cast<std::size_t>(state)]; }
  bool can_accept() override;
  bool is_full() const { return !descriptors_.has_capacity(kSide); }
  void on_accepted(boost::asio::ip::tcp::socket socket) override;
  void on_resource_exhausted() override { spare_one(); }
  bool spare_one();
  // Connections with a request in work, or between two.
  std::size_t held() const;
  void closed(Queue::iterator place, State state);
  void leave_idle();
  void sweep();  // ends what has stood still for too long

  net::Clock& clock_;
  const Names& names_;
  engine::RequestHandler& requests_;
  net::Listener listener_;
  boost::asio::steady_timer sweep_;
  net::LoopStallDetector stall_detector_;  // ticks with each sweep
  static constexpr auto kSide = overload::DescriptorBudget::Side::downstream;
  overload::DescriptorBudget& descriptors_;
  overload::KeepAlivePolicy keep_alive_;
  net::LoadShedder& load_shedder_;
  net::MemoryBudget& body_memory_;  // for long bodies
  std::size_t open_ = 0;
  Counts counts_;
  engine::MessagePool messages_;
  std::array<Queue, 8> queues_;
  bool draining_ = false;
  bool gentle_ = false;  // clients' connections may ask once more, though we drain
};

}  // namespace streampick::http1
