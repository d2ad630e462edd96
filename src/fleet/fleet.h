// A router's place in its fleet: the view on its socket, what the engine is told of it, figures and log
// lines.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "fleet/options.h"
#include "fleet/router_count.h"
#include "membership/udp.h"

namespace streampick::fleet {

class Fleet {
 public:
  struct Hooks {
    std::function<void(std::uint32_t routers)> routers;  // by how many totals are divided from now on
    std::function<void(std::string_view)> log;
  };
  // `constant`: the number of routers in the platform's settings.
  Fleet(boost::asio::io_context& io, node::TimeSource& time, const Options& options, std::uint64_t seed,
        std::uint32_t constant, Hooks hooks);

  // New settings of the platform, or of the options file.
  void set_constant(std::uint32_t constant);
  std::uint32_t routers() const { return count_.value(); }
  // This router drains, and then leaves: the socket is free for its successor.
  void draining();
  void leave() { shell_.leave(); }

  // One line of JSON each, without its end: all of the view, and the part of it for DUMP.
  std::string view() const;
  std::string brief() const;
  // For the ten seconds' line.
  std::string summary() const;
  const membership::UdpShell& shell() const { return shell_; }

 private:
  void heard(const membership::Change& change);
  void each_second();
  void look_at_roster();
  membership::Facts facts(bool draining) const;

  node::TimeSource& time_;
  Options options_;
  Hooks hooks_;
  RouterCount count_;
  std::uint32_t told_ = 0;
  int lines_ = 0, unsaid_ = 0;  // log lines of this second, and changes that had none
  std::string roster_seen_, was_closed_;
  boost::asio::steady_timer second_;
  membership::UdpShell shell_;
};

}  // namespace streampick::fleet
