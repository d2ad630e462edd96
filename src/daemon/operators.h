/// What operators ask for, carried out on the engine and shared with the process that replaces this one. For
/// one thread, that of the event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "control/admin_overrides.h"
#include "engine/engine.h"
#include "management/command_server.h"
#include "management/metrics.h"
#include "net/clock.h"
#include "net/upstream_resources.h"
#include "takeover/override_store.h"
#include "takeover/process_presence.h"

namespace streampick::daemon {

class Operators final {
 public:
  /// `folder`: shared with the processes before and after this one; empty where there are none.
  /// `alone`: told several times a second whether no other process of this router runs.
  Operators(boost::asio::io_context& io, net::Clock& clock, engine::Engine& engine,
            net::UpstreamResources& resources, const std::string& folder,
            std::function<void(bool alone)> alone);

  /// Throws boost::system::system_error when the address can't be listened on.
  void listen(const boost::asio::ip::tcp::endpoint& address);
  [[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> address() const;
  /// None before listen().
  [[nodiscard]] const management::CommandServer* server() const { return server_.get(); }

  /// From now on the router can serve.
  void ready() { is_ready_ = true; }
  /// `listens`: whether the clients' address is open. Until it was, the router does not call itself serving.
  void set_listens(std::function<bool()> listens) { listens_ = std::move(listens); }
  /// A configuration was taken or rejected at SIGHUP.
  void reconfigured(bool ok) { ++(ok ? reconfig_ok_ : reconfig_failed_); }
  /// Reports on the fleet: in whole, in brief (JSON), and on shared limits. Unset where none is made.
  struct FleetReports {
    std::function<std::string()> view;
    std::function<std::string()> brief;
    std::function<std::string()> shares;
  };
  void set_fleet(FleetReports reports) { fleet_reports_ = std::move(reports); }

  /// Responds with the answer, with the ends of its lines: at once, or, where another process has the lock of
  /// the shared file, within OverrideStore::kMaxLockWait.
  void answer(const management::Command& command, const management::CommandServer::Respond& respond);
  /// The same for commands that change nothing.
  [[nodiscard]] std::string answer(const management::Command& command) const;
  [[nodiscard]] management::Metrics dump() const;

 private:
  using Respond = management::CommandServer::Respond;
  void poll_shared_state();
  void apply(const control::AdminOverrides& next);
  void note_first_seen(const control::AdminOverrides& before);
  /// The overrides that have stood for longer than their retention by the monotonic clock.
  control::AdminOverrides::Endpoints long_known() const;
  std::string health() const;
  void disable(const std::string& id, const Respond& respond);
  void enable(const std::string& id, const Respond& respond);
  void set_draining(bool draining, const Respond& respond);

  boost::asio::io_context& io_;
  net::Clock& clock_;
  engine::Engine& engine_;
  net::UpstreamResources& resources_;
  control::AdminOverrides applied_;         ///< what the engine has been told
  std::map<std::string, Time> first_seen_;  ///< monotonic time since which each override stands as it is
  takeover::OverrideStore store_;
  std::optional<takeover::ProcessPresence> presence_;
  std::function<void(bool)> alone_;
  boost::asio::steady_timer poll_timer_;
  std::unique_ptr<management::CommandServer> server_;
  FleetReports fleet_reports_;
  std::function<bool()> listens_ = [] { return true; };
  bool is_ready_ = false;
  mutable bool has_listened_ = false;  ///< once true it stays
  std::uint64_t reconfig_ok_ = 0;
  std::uint64_t reconfig_failed_ = 0;
};

}  // namespace streampick::daemon
