// Watches the platform's list of servers: one long-lived HTTP response that carries a sequence of JSON
// objects.
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
  // Asks for the changes after `revision`. With `reconnect`, a watch that ended is restarted after a
  // back-off; otherwise the next call of watch() restarts it.
  Discovery(boost::asio::io_context& io, const Names& names, const boost::asio::ip::tcp::endpoint& address,
            std::uint64_t revision, bool reconnect, std::uint64_t seed,
            engine::EndpointListObserver& observer);
  ~Discovery() override;
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  void watch() override;
  // Switches to another discovery service. Its revisions are independent of the former one's, so the complete
  // list is requested at once.
  void set_address(const boost::asio::ip::tcp::endpoint& address);
  // Requests the complete list now, whatever revision is known. Returns the request's number: lists that
  // answer it or a later one have been sent after this call.
  engine::ListRequestId refetch();
  // Closes the watch without reporting a failure, until the next watch() or refetch().
  void pause();
  void stop();

 private:
  class Watch;
  void on_watch_ended(const std::string& reason);
  void apply_list(const std::string& text, engine::ListRequestId request);
  bool is_outdated(const engine::EndpointList& list);

  boost::asio::io_context& io_;
  const Names& names_;
  boost::asio::ip::tcp::endpoint address_;
  std::uint64_t revision_;
  bool reconnect_, stopped_ = false;
  roster::WatchTimes times_;
  std::optional<std::chrono::steady_clock::time_point> outdated_since_;  // first outdated complete list
  std::uint64_t retry_generation_ = 0;  // a retry scheduled in an earlier one is ignored
  engine::EndpointListObserver& observer_;
  std::minstd_rand random_;
  std::shared_ptr<Watch> watch_;
  engine::ListRequestId last_request_{};  // that of watch_
  boost::asio::steady_timer retry_;
  std::chrono::milliseconds backoff_;
};

}  // namespace streampick::discovery
