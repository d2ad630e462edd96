// A router's part in its fleet: the membership view and the leases on one socket, and their effect on the
// engine.
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
    std::function<void(std::uint32_t routers)>
        divide_by;                              // by how many routers totals are divided from now on
    std::function<std::uint32_t()> divided_by;  // ... and are
    std::function<void(std::string_view)> log;
    // Of shared limits: resets the counts of requests by tenant, reads them, reads the work at the origin,
    // and sets this router's allowances.
    std::function<void()> count_anew;
    std::function<const std::vector<std::uint64_t>&()> asked;
    std::function<OriginWork()> origin;
    std::function<void(Shares)> take;
  };
  struct Tenants {
    std::vector<std::string> names;
    std::vector<Tenant> all;
  };
  /// `constant`: the number of routers in the platform's settings.
  Fleet(boost::asio::io_context& io, engine::TimeSource& time, const Options& options, std::uint64_t seed,
        std::uint32_t constant, Hooks hooks);
  /// Starts the lease protocol for shared limits.
  void share(const ShareOptions& options, const Tenants& tenants, std::uint64_t seed);

  /// By how many routers totals are divided when the platform's settings have `constant`.
  std::uint32_t routers_with(std::uint32_t constant) const {
    return options_.count_routers && !left_ ? count_.with(constant) : constant;
  }
  void set_constant(std::uint32_t constant) { count_.set_constant(constant); }
  void set_tenants(const Tenants& tenants);
  /// Tells the peers that this router is draining.
  void draining();
  /// Leaves the fleet for good and closes the socket, so that a successor can open it. `process_ends`:
  /// whether this process ends as well.
  void leave(bool process_ends);

  /// One line of JSON each, without its end: the whole view, its counts for DUMP, and the answer to SHARES
  /// (empty: nothing is shared).
  std::string view() const;
  std::string brief() const;
  std::string shares() const;
  /// For the log line of every ten seconds.
  std::string summary() const;
  const membership::GossipSocket& shell() const { return shell_; }

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
  int lines_this_second_ = 0;          // in the log
  int suppressed_changes_ = 0;         // without a line of their own
  std::optional<std::string> roster_;  // as it was read last
  std::filesystem::file_time_type roster_time_{};
  std::string was_closed_;
  boost::asio::steady_timer second_;
  membership::GossipSocket shell_;
  std::unique_ptr<SharedLimits> limits_;
};

}  // namespace streampick::fleet
