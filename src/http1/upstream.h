/// \file
/// The HTTP/1.1 connections to one server. Each carries one request at a time and is used again afterwards,
/// since establishing a connection costs the server more than a request does.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>
#include <unordered_set>

#include "engine/time.h"
#include "engine/upstream.h"
#include "http1/idle_connections.h"
#include "http1/response_time.h"
#include "http1/upstream_attempt.h"
#include "net/upstream_resources.h"

namespace streampick::http1 {

/// A connection pool with a queue: an attempt takes an idle connection, or waits for the first one that is
/// established or becomes idle.
class Upstream final : public engine::Upstream {
 public:
  /// `name` is the server's id, sent as Host. The references must outlive the upstream.
  Upstream(boost::asio::io_context& io, engine::TimeSource& clock, net::UpstreamResources& resources,
           engine::AttemptObserver& outcomes, std::string name);
  ~Upstream() override;
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  void set_address(const std::string& address) override;
  void send(engine::AttemptId attempt, std::shared_ptr<const engine::Message> message, Time expires,
            Time begin_by) override;
  void stop_sending_at(Time time) override;
  bool cancel_unsent(engine::AttemptId attempt) override;
  /// Drains the attempt's connection where overload::CancellationPolicy allows it, and closes it otherwise.
  void cancel(engine::AttemptId attempt, engine::CancelReason reason) override;
  void close_idle(Time unused_since) override;
  /// Closes a draining connection if there is one, otherwise the idle connection that was used least
  /// recently.
  bool close_oldest_idle() override;
  bool has_streaming_response() const override { return !streaming_.empty(); }

 private:
  friend class UpstreamConnection;
  using ConnectionPtr = std::shared_ptr<UpstreamConnection>;
  using ConnectionSet = std::unordered_set<ConnectionPtr>;

  // ---- Called by connections

  void on_connected(const ConnectionPtr& connection);
  void on_connect_failed(const ConnectionPtr& connection);
  /// The response has ended and the connection can be used again. `cancelled`: the response was drained.
  void on_response_ended(const ConnectionPtr& connection, bool cancelled);
  void on_streaming_started(const ConnectionPtr& connection);
  /// `connection` must not be an element of one of the sets below.
  void close_connection(const ConnectionPtr& connection);
  void report(engine::AttemptId attempt, Outcome outcome, engine::Answer answer);

  // ---- Attempts

  void dispatch_queued();
  bool may_begin(UpstreamAttempt& attempt);
  void start(const ConnectionPtr& connection, UpstreamAttempt attempt);
  void end_queued(Outcome outcome);
  void report_soon(engine::AttemptId attempt, Outcome outcome);

  // ---- Connections

  void connect_for_queued();
  bool should_connect() const;
  bool ensure_descriptor();
  void connect();
  void close_connecting();
  void make_idle(const ConnectionPtr& connection);
  void dispatch_when_settled();
  ConnectionPtr find_busy(engine::AttemptId attempt) const;
  Time max_drain_time(const UpstreamConnection& connection) const;
  void remove_draining(const ConnectionPtr& connection);
  void close_one_draining();

  boost::asio::io_context& io_;
  engine::TimeSource& clock_;
  net::UpstreamResources& resources_;
  engine::AttemptObserver& observer_;
  std::string name_;
  std::string address_text_;
  boost::asio::ip::tcp::endpoint address_;
  AttemptQueue queue_;
  ConnectionSet connecting_;
  IdleConnections idle_;
  ConnectionSet busy_;       // sending, or receiving a response that is not streamed
  ConnectionSet draining_;   // receiving the response to a cancelled attempt
  ConnectionSet streaming_;  // forwarding a response while it arrives
  ResponseTime response_time_;
  boost::asio::steady_timer settle_timer_;  // expires when the first idle connection has settled
  std::shared_ptr<bool> alive_;             // posted handlers hold a weak pointer, to notice the destruction
};

}  // namespace streampick::http1
