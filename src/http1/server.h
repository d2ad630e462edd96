/// \file
/// The HTTP/1.1 server towards clients: accepts connections, bounds their number and their time, and drains.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <string>

#include "engine/downstream.h"
#include "http1/server_context.h"
#include "net/listener.h"
#include "overload/descriptor_budget.h"

namespace streampick::http1 {

/// Owns the client sessions. Used on the event loop's thread only.
class Server final : public engine::Downstream, private net::Listener::Handler {
 public:
  /// Opens the listening socket and accepts from start_accepting() on. `passed`: a descriptor that listens on
  /// `address` already and that other processes hold too; -1: none. The references must outlive the server.
  /// Throws boost::system::system_error if the address cannot be listened on.
  Server(boost::asio::io_context& io, net::Clock& clock, const Names& names,
         engine::RequestHandler& request_handler, const boost::asio::ip::tcp::endpoint& address,
         overload::DescriptorBudget& descriptors, const overload::Settings& overload_settings,
         net::LoadShedder& load_shedder, net::MemoryBudget& body_memory, int passed = -1);
  ~Server() override;
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return listener_.address(); }
  bool listens() const { return listener_.is_listening(); }
  void start_accepting() { listener_.resume(); }

  // ---- engine::Downstream
  void on_drain_started() override;
  void on_shutdown_started() override;
  void on_drain_ended() override;
  void stop_accepting() override;
  /// Sessions with a request or response in progress, and for a short time also those that were just accepted
  /// and those whose last response may still be on its way. An unread request counts as in progress.
  std::size_t unanswered() const override;
  std::size_t open_connections() const override { return open_; }

  const ServerCounts& counts() const { return context_.counts; }
  /// The counts, for the log and the operators.
  std::string summary() const;
  /// Closes the connection whose client loses least, to free a descriptor. Returns false if there is none.
  ///
  /// Connections without a request may come by hundreds and must not displace clients that send some: first
  /// lingering connections, then those that never sent a request, the oldest first. While some of those are
  /// too young to tell, new connections wait; only if there are few does a client between requests lose its
  /// own.
  bool evict_connection();

 private:
  // ---- net::Listener::Handler
  bool can_accept() override;
  void on_accepted(boost::asio::ip::tcp::socket socket) override;
  void on_resource_exhausted() override { evict_connection(); }

  bool evict_oldest(SessionState state);
  bool evict_lingering(Time min_age);
  bool has_aged(SessionState state, Time min_age) const;
  void on_session_closed();
  void close_idle();
  void close_idle_longer_than(SessionState state, Time min_age);

  /// Enforces the time limits, periodically.
  void sweep();
  void time_out_sessions();
  void close_disconnected();
  void schedule_sweep();

  static constexpr auto kSide = overload::DescriptorBudget::Side::downstream;

  ServerContext context_;
  net::Listener listener_;
  boost::asio::steady_timer sweep_timer_;
  overload::DescriptorBudget& descriptors_;
  std::size_t open_ = 0;
  bool allows_last_request_ = false;  // while draining, idle connections stay open for one more request
};

}  // namespace streampick::http1
