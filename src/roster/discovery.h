// The watch on the list of servers: one long answer, one JSON object after another.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "engine/endpoint_discovery.h"
#include "roster/watch_times.h"
#include "settings/settings.h"

namespace streampick::discovery {

class Discovery final : public engine::EndpointDiscovery {
 public:
  // Watches from after `revision` on. With `again`, a watch that ended is set up anew by itself;
  // otherwise the next call of watch() does that.
  Discovery(boost::asio::io_context& io, const Names& names, const boost::asio::ip::tcp::endpoint& address,
            std::uint64_t revision, bool again, std::uint64_t seed, engine::EndpointListObserver& reader);
  ~Discovery() override;
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  void watch() override;
  // Another discovery, whose revisions may start anew: it is asked at once, for all it has.
  void move_to(const boost::asio::ip::tcp::endpoint& address);
  // Asks for the whole list now, whatever is known.
  void read_anew();
  // Ends the watch without a word, until the next watch() or read_anew().
  void pause();
  void stop();

 private:
  class Watch;
  void ended(const std::string& why);
  void take(const std::string& list);
  bool is_old(const engine::EndpointList& list);

  boost::asio::io_context& io_;
  const Names& names_;
  boost::asio::ip::tcp::endpoint address_;
  std::uint64_t revision_;
  bool again_, stopped_ = false;
  roster::WatchTimes times_;
  std::optional<std::chrono::steady_clock::time_point> lags_since_;  // since when whole lists are older
  std::uint64_t turn_ = 0;                                           // of addresses
  engine::EndpointListObserver& reader_;
  std::minstd_rand random_;
  std::shared_ptr<Watch> watch_;
  boost::asio::steady_timer retry_;
  std::chrono::milliseconds backoff_;
};

}  // namespace streampick::discovery
