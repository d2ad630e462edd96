// The connections to one RESP server: a few, each with a short pipeline. What stands on a connection is
// Pipeline's; which connection takes what is decided here.
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
  std::size_t connections = 4;   // to one server
  std::size_t pipeline = 8;      // reads on one connection
  bool writes_alone = true;      // a write shares its connection with nothing
  std::size_t waiting = 256;     // attempts for one server that wait for a connection
  std::size_t store_queue = 64;  // values for one server that wait to be stored; 0: none is stored
  std::size_t longest_stored = 64 * 1024;
};

// Of all RESP servers together.
struct ServerCounts {
  std::uint64_t pushes = 0;                  // that servers sent between replies
  std::uint64_t passed_over = 0;             // replies that came when nobody waited for them any more
  std::uint64_t shared = 0;                  // attempts that began behind another on their connection
  std::uint64_t stored = 0, not_stored = 0;  // values that a server had missed
  std::uint64_t voided = 0, not_voided = 0;  // copies that a write may have made old
  std::uint64_t broken = 0;                  // connections whose order of replies was lost

  std::string summary() const;  // for the log
};

class RespTransport final : public engine::Upstream {
 public:
  // `settings` and `counts` outlive it. `on_push` hears of each push; it may be empty.
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
  // Costs no connection, unless a part of the command is written.
  void cancel(engine::AttemptId attempt, engine::CancelReason reason) override;
  void close_idle(Time unused_since) override;
  bool close_oldest_idle() override;
  bool wants_cache_fills() const override { return null_is_miss_ && settings_.store_queue > 0; }
  void fill_cache(const std::string& key, const std::string& value) override;
  void invalidate(const std::string& key) override;

 private:
  class Connection;
  using Link = std::shared_ptr<Connection>;
  struct Job {
    engine::AttemptId attempt;
    std::shared_ptr<const engine::Message> message;
    Time expires = 0, begin_by = kNever;
  };
  struct Stored {
    std::string key, value;
    bool drop = false;  // the copy, in place of storing one
  };

  void dispatch();
  Link choose(bool write) const;
  bool dial();
  std::size_t dialling() const;
  bool may_begin(Job& job);
  void start(const Link& link, const Job& job);
  void store_some();
  void store_soon();
  void changed(const Link& link);
  void gave_up(const Link& link);
  void drop(const Link& link);
  void end_soon(engine::AttemptId attempt, Outcome outcome);

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
  std::vector<Link> connections_;
  std::deque<Job> waiting_;
  std::deque<Stored> to_store_;
  std::shared_ptr<bool> alive_;  // posted handlers hold it weakly
};

}  // namespace streampick::resp
