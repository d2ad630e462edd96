// A router's place in its fleet: the view on its socket, what the engine is told of it, figures and log
// lines.
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
    // Of limits that are shared: what was asked for by tenant since the last count_anew, what is at the
    // origin, and what of it all is this router's.
    std::function<void()> count_anew;
    std::function<const std::vector<std::uint64_t>&()> asked;
    std::function<OriginWork()> origin;
    std::function<void(Shares)> take;
  };
  struct Tenants {
    std::vector<std::string> names;
    std::vector<Tenant> all;
  };
  // `constant`: the number of routers in the platform's settings.
  Fleet(boost::asio::io_context& io, engine::TimeSource& time, const Options& options, std::uint64_t seed,
        std::uint32_t constant, Hooks hooks);
  // SharedLimits that are shared, from now on.
  void share(const ShareOptions& options, const Tenants& tenants, std::uint64_t seed);

  // By how many totals are to be divided where the platform's settings say so many routers; and those
  // settings taken.
  std::uint32_t routers_with(std::uint32_t constant) const {
    return options_.count_routers && !left_ ? count_.with(constant) : constant;
  }
  void set_constant(std::uint32_t constant) { count_.set_constant(constant); }
  void set_tenants(const Tenants& tenants);
  // This router drains, and then leaves: the socket is free for its successor. It does not come back. `ends`:
  // the process does.
  void draining();
  void leave(bool ends);

  // One line of JSON each, without its end: all of the view, and the part of it for DUMP.
  std::string view() const;
  std::string brief() const;
  std::string shares() const;  // empty: nothing is shared
  // For the ten seconds' line.
  std::string summary() const;
  const membership::GossipSocket& shell() const { return shell_; }

 private:
  void heard(const membership::Change& change);
  void each_second();
  void look_at_roster();
  membership::Facts facts(bool draining) const;

  engine::TimeSource& time_;
  Options options_;
  Hooks hooks_;
  RouterCount count_;
  bool left_ = false;
  int lines_ = 0, unsaid_ = 0;         // log lines of this second, and changes that had none
  std::optional<std::string> roster_;  // as it was read last
  std::filesystem::file_time_type roster_time_{};
  std::string was_closed_;
  boost::asio::steady_timer second_;
  membership::GossipSocket shell_;
  std::unique_ptr<SharedLimits> limits_;
};

}  // namespace streampick::fleet
