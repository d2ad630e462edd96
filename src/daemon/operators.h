/// Executes operators' commands on the engine and shares the overrides with the process that replaces this
/// one. Used only on the event loop's thread.
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
  /// `folder`: shared with the previous and the next process of this router; empty: nothing is shared.
  /// `on_presence`: called several times a second with whether this is the router's only running process.
  Operators(boost::asio::io_context& io, net::Clock& clock, engine::Engine& engine,
            net::UpstreamResources& resources, const std::string& folder,
            std::function<void(bool is_only_process)> on_presence);

  /// Throws boost::system::system_error when the router cannot listen on `address`.
  void listen(const boost::asio::ip::tcp::endpoint& address);
  [[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> address() const;
  /// Null before listen().
  [[nodiscard]] const management::CommandServer* server() const { return server_.get(); }

  /// From this call on HEALTH reports the router as serving.
  void ready() { is_ready_ = true; }
  /// `is_listening`: whether the router listens on the clients' address. HEALTH does not report the router as
  /// serving before this has returned true once.
  void set_listening_check(std::function<bool()> is_listening) { is_listening_ = std::move(is_listening); }
  /// Counts a configuration that was applied or rejected at SIGHUP.
  void record_reload(bool applied) { ++(applied ? reconfig_ok_ : reconfig_failed_); }
  /// Reports on the fleet: the full view, a summary (JSON) and the shared limits. A member is empty where
  /// that report does not exist.
  struct FleetReports {
    std::function<std::string()> view;
    std::function<std::string()> summary;
    std::function<std::string()> shares;
  };
  void set_fleet(FleetReports reports) { fleet_reports_ = std::move(reports); }

  /// Calls `respond` with the answer, line ends included: before this returns, or, while another process
  /// holds the lock of the shared file, within OverrideStore::kMaxLockWait.
  void answer(const management::Command& command, const management::CommandServer::Respond& respond);
  /// The answer to a command that changes nothing.
  [[nodiscard]] std::string answer(const management::Command& command) const;
  [[nodiscard]] management::Metrics dump() const;

 private:
  using Respond = management::CommandServer::Respond;
  void poll_shared_state();
  void apply(const control::AdminOverrides& next);
  void note_first_seen(const control::AdminOverrides& before);
  /// The overrides that have been unchanged for longer than kRetention by the monotonic clock.
  control::AdminOverrides::Endpoints past_retention() const;
  std::string health() const;
  void disable(const std::string& id, const Respond& respond);
  void enable(const std::string& id, const Respond& respond);
  void set_draining(bool draining, const Respond& respond);

  boost::asio::io_context& io_;
  net::Clock& clock_;
  engine::Engine& engine_;
  net::UpstreamResources& resources_;
  control::AdminOverrides applied_;         ///< the overrides that the engine applies
  std::map<std::string, Time> first_seen_;  ///< monotonic time of the last change of each override
  takeover::OverrideStore store_;
  std::optional<takeover::ProcessPresence> presence_;
  std::function<void(bool)> on_presence_;
  boost::asio::steady_timer poll_timer_;
  std::unique_ptr<management::CommandServer> server_;
  FleetReports fleet_reports_;
  std::function<bool()> is_listening_ = [] { return true; };
  bool is_ready_ = false;
  mutable bool has_listened_ = false;  ///< is_listening_ has returned true once
  std::uint64_t reconfig_ok_ = 0;
  std::uint64_t reconfig_failed_ = 0;
};

}  // namespace streampick::daemon
