// The connections to one RESP server: a few, each with a short pipeline. Pipeline tracks the commands on one
// connection; the transport assigns attempts to connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "engine/time.h"
#include "engine/upstream.h"
#include "net/upstream_resources.h"
#include "resp/pipeline.h"

namespace streampick::resp {

struct ServerSettings {
  ServerRules rules;
  std::size_t connections = 4;   // limit of connections to one server
  std::size_t pipeline = 8;      // limit of unanswered commands on one connection
  bool writes_alone = true;      // a write shares its connection with no other command
  std::size_t waiting = 256;     // limit of attempts for one server that wait for a connection
  std::size_t store_queue = 64;  // limit of cache fills queued for one server; 0: no cache fill
  std::size_t max_fill_bytes = 64 * 1024;
};

// Counters over all RESP servers.
struct ServerCounts {
  std::uint64_t pushes = 0;                  // pushes that servers sent
  std::uint64_t ignored_replies = 0;         // replies to cancelled attempts
  std::uint64_t shared = 0;                  // attempts that were sent behind another on the same connection
  std::uint64_t stored = 0, not_stored = 0;  // cache fills
  std::uint64_t invalidated = 0, not_invalidated = 0;  // invalidations of copies
  std::uint64_t broken = 0;  // connections that ended because of a protocol error or a cancelled write

  std::string summary() const;  // as text for the log
};

class RespTransport final : public engine::Upstream {
 public:
  // `settings` and `counts` must outlive the transport. `on_push` is called for each push, and may be empty.
  using PushHook = std::function<void(const std::string& server, const Value& push)>;
  RespTransport(boost::asio::io_context& io, engine::TimeSource& time, net::UpstreamResources& resources,
                engine::AttemptObserver& outcomes, const ServerSettings& settings, ServerCounts& counts,
                std::string name, bool null_is_miss, PushHook on_push = {});
  ~RespTransport() override;
  RespTransport(const RespTransport&) = delete;
  RespTransport& operator=(const RespTransport&) = delete;

  void set_address(const std::string& address) override;
  void send(engine::AttemptId attempt, std::shared_ptr<const engine::Message> message, Time expires,
            Time begin_by) override;
  void stop_sending_at(Time at) override;
  bool cancel_unsent(engine::AttemptId attempt) override;
  // Keeps the connection, unless the command is partly written.
  void cancel(engine::AttemptId attempt, engine::CancelReason reason) override;
  void close_idle(Time unused_since) override;
  bool close_oldest_idle() override;
  bool wants_cache_fills() const override { return null_is_miss_ && settings_.store_queue > 0; }
  void fill_cache(const std::string& key, const std::string& value) override;
  void invalidate(const std::string& key) override;

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct WaitingAttempt {
    engine::AttemptId attempt;
    std::shared_ptr<const engine::Message> message;
    Time expires = 0, begin_by = kNever;
  };
  struct CacheUpdate {
    std::string key, value;
    bool drop = false;  // removes the copy instead of storing the value
  };

  void dispatch();
  ConnectionPtr choose(bool write) const;
  bool dial();
  std::size_t dialling() const;
  bool may_send(WaitingAttempt& waiting);
  void send_on(const ConnectionPtr& connection, const WaitingAttempt& waiting);
  void send_cache_updates();
  void schedule_cache_updates();
  void on_change(const ConnectionPtr& connection);
  void on_cancelled(const ConnectionPtr& connection);
  void drop(const ConnectionPtr& connection);
  void post_outcome(engine::AttemptId attempt, Outcome outcome);

  boost::asio::io_context& io_;
  engine::TimeSource& time_;
  net::UpstreamResources& resources_;
  engine::AttemptObserver& outcomes_;
  const ServerSettings& settings_;
  ServerCounts& counts_;
  std::string name_, address_text_;
  bool null_is_miss_;
  PushHook on_push_;
  boost::asio::ip::tcp::endpoint address_;
  std::vector<ConnectionPtr> connections_;
  std::deque<WaitingAttempt> waiting_;
  std::deque<CacheUpdate> cache_updates_;
  std::shared_ptr<bool> alive_;  // posted handlers hold a weak reference, to detect destruction
};

}  // namespace streampick::resp
