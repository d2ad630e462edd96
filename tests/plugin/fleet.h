// A small fleet of stand-in servers that run on their own thread, and settings for a client of the fleet.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "standin/http_cache.h"
#include "standin/platform.h"
#include "streampick/client.h"

namespace streampick::test {

class StandinFleet {
  boost::asio::io_context io_{1};  // outlives the servers

 public:
  explicit StandinFleet(std::size_t caches = 3, std::chrono::milliseconds delay = {},
                        std::string value = "tile") {
    for (std::size_t i = 0; i <= caches; ++i) {
      servers.push_back(std::make_unique<standin::HttpCache>(io_, value));
      servers.back()->delay = delay;
      members.push_back({"s-" + std::to_string(i), servers.back()->address(), i == caches});
    }
    discovery_ = std::make_unique<standin::StaticDiscovery>(io_, members);
    settings.config = standin::router_config("127.0.0.1:1", discovery_->address(), members, 256).dump();
    thread_ = std::thread([this] {
      while (!done_) {
        io_.restart();
        io_.run_for(std::chrono::milliseconds(50));
      }
    });
  }
  ~StandinFleet() {
    done_ = true;
    thread_.join();
  }
  // Runs `what` on the servers' thread.
  void on(const std::function<void()>& what) {
    std::promise<void> ran;
    boost::asio::post(io_, [&] {
      what();
      ran.set_value();
    });
    ran.get_future().wait();
  }
  std::uint64_t requests() {
    std::uint64_t all = 0;
    on([&] {
      for (const auto& server : servers)
        if (server) all += server->requests;
    });
    return all;
  }
  // Lists the server as terminating. Without a delay the open watches are told at once; with one only watches
  // that start later are told, after the delay.
  void tell_leaves(std::size_t server, std::chrono::milliseconds delay = {}) {
    on([&] {
      members.at(server).phase = "terminating";
      discovery_->delay = delay;
      discovery_->change(members, delay.count() > 0);
    });
  }
  // Sends the list to the open watches once more.
  void repeat_list() {
    on([&] { discovery_->change(members); });
  }
  // Removes the server from the list, which watches that start later receive after the delay.
  void unlist(std::size_t server, std::chrono::milliseconds delay) {
    on([&] {
      std::vector<standin::PlatformMember> others = members;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(server));
      discovery_->delay = delay;
      discovery_->change(others, true);
    });
  }
  std::size_t watches() {
    std::size_t all = 0;
    on([&] { all = discovery_->watches(); });
    return all;
  }
  std::uint64_t requests_at(std::size_t server) {
    std::uint64_t all = 0;
    on([&] { all = servers.at(server)->requests; });
    return all;
  }
  void delay(std::chrono::milliseconds time) {
    for (const auto& server : servers) server->delay = time;
  }

  ClientSettings settings;
  std::vector<standin::PlatformMember> members;
  std::vector<std::unique_ptr<standin::HttpCache>> servers;  // the last is the origin

 private:
  std::unique_ptr<standin::StaticDiscovery> discovery_;
  std::atomic<bool> done_{false};
  std::thread thread_;
};

}  // namespace streampick::test
