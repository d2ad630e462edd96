// A router's participation in its fleet: runs membership and leases over one socket and applies the results
// to the engine.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>

#include "fleet/options.h"
#include "fleet/router_count.h"
#include "fleet/shared_limits.h"
#include "membership/gossip_socket.h"

namespace streampick::fleet {

class Fleet {
 public:
  struct Hooks {
    std::function<void(std::uint32_t routers)> set_divisor;  // divide totals by `routers` from now on
    std::function<std::uint32_t()> divisor;                  // number of routers that totals are divided by
    std::function<void(std::string_view)> log;
    // For shared limits: reset the request counts by tenant, read them, read the work at the origin, and set
    // this router's allowances.
    std::function<void()> reset_request_counts;
    std::function<const std::vector<std::uint64_t>&()> request_counts;
    std::function<OriginWork()> origin_work;
    std::function<void(Shares)> apply_allowances;
  };
  struct Tenants {
    std::vector<std::string> names;
    std::vector<Tenant> all;
  };
  /// `configured_routers`: number of routers that the platform's settings state.
  Fleet(boost::asio::io_context& io, engine::TimeSource& time, const Options& options, std::uint64_t seed,
        std::uint32_t configured_routers, Hooks hooks);
  /// Starts the lease protocol for shared limits.
  void start_shared_limits(const ShareOptions& options, const Tenants& tenants, std::uint64_t seed);

  /// Number of routers that totals are divided by if the platform's settings state `configured_routers`.
  std::uint32_t routers_with(std::uint32_t configured_routers) const {
    return options_.count_routers && !left_ ? count_.with(configured_routers) : configured_routers;
  }
  void set_configured_routers(std::uint32_t configured_routers) {
    count_.set_configured_routers(configured_routers);
  }
  void set_tenants(const Tenants& tenants);
  /// Tells the peers that this router is draining.
  void draining();
  /// Leaves the fleet permanently and closes the socket, so that a successor process can open it.
  /// `process_ends`: whether this process ends as well.
  void leave(bool process_ends);

  /// Each returns one line of JSON without a line end: the whole view, the view's counts for DUMP, and the
  /// answer to SHARES (an empty string if no limits are shared).
  std::string view() const;
  std::string brief() const;
  std::string shares() const;
  /// Text for the statistics line, which is logged every ten seconds.
  std::string summary() const;
  const membership::GossipSocket& socket() const { return socket_; }

 private:
  void on_change(const membership::Change& change);
  void each_second();
  void reload_roster();
  membership::Facts facts(bool draining) const;

  engine::TimeSource& time_;
  Options options_;
  Hooks hooks_;
  RouterCount count_;
  bool left_ = false;
  int lines_this_second_ = 0;          // changes logged
  int suppressed_changes_ = 0;         // changes of this second that were not logged
  std::optional<std::string> roster_;  // text of the roster file when it was last read
  std::filesystem::file_time_type roster_time_{};
  std::string last_open_error_;
  boost::asio::steady_timer second_timer_;
  membership::GossipSocket socket_;
  std::unique_ptr<SharedLimits> limits_;
};

}  // namespace streampick::fleet
