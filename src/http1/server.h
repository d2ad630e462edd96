/// \file
/// The HTTP/1.1 server towards clients: accepts connections, limits their number and duration, and drains
/// them.
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
  /// Opens the listening socket; connections are accepted only after start_accepting().
  /// `listening_descriptor`: a descriptor that already listens on `address` and is shared with other
  /// processes, or -1 to open a socket. The references must outlive the server. Throws
  /// boost::system::system_error if listening on the address fails.
  Server(boost::asio::io_context& io, net::Clock& clock, const Names& names,
         engine::RequestHandler& request_handler, const boost::asio::ip::tcp::endpoint& address,
         overload::DescriptorBudget& descriptors, const overload::Settings& overload_settings,
         net::LoadShedder& load_shedder, net::MessageMemory& body_memory, int listening_descriptor = -1);
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
  /// The number of sessions with a request or response in progress, plus those that have sent no request yet
  /// and those that linger, whose last response may not have reached the client. An unread request counts as
  /// in progress.
  std::size_t unanswered() const override;
  std::size_t open_connections() const override { return open_; }

  const ServerCounts& counts() const { return context_.counts; }
  /// The counts as one line, for the log and the operators.
  std::string summary() const;
  /// Closes the connection whose client loses least, to free a descriptor. Returns false if none may be
  /// closed.
  ///
  /// Hundreds of connections that never send a request must not displace clients that send requests. The
  /// order is: lingering connections first, then those that never sent a request, the oldest first. While
  /// many connections without a request are too new to be evicted, new connections wait. Only if few of them
  /// are open is a connection closed that is idle between requests.
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
