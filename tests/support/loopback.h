/// \file
/// The test fixture with a router between stand-in servers and clients, all on one event loop.
#pragma once

#include <gtest/gtest.h>

#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "daemon/host.h"
#include "support/http_messages.h"
#include "support/loop_load.h"
#include "support/router_config.h"
#include "support/stand_ins.h"

namespace streampick::test {

/// Owns the event loop, the clock, a cache server, an origin and the socket that discovery listens on. A test
/// calls start(), then connects clients and waits for what should happen, not for a time.
class Loopback : public ::testing::Test {
 protected:
  /// Starts the router with the endpoint list `known`; without one, with the cache server and the origin.
  void start(const nlohmann::json& known) {
    settings = platform::parse_settings(config_json(text_of(discovery.local_endpoint()), known).dump());
    host = std::make_unique<daemon::Host>(io, clock, settings);
  }
  void start() {
    start(list_json(1, true, {{"s-cache", cache.address()}, {"s-origin", origin.address(), "origin"}}));
  }

  /// Runs the event loop until `holds` returns true. Returns false if it does not within 20 s.
  [[nodiscard]] bool wait_for(const std::function<bool()>& holds) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!holds()) {
      if (std::chrono::steady_clock::now() > until) return false;
      clock.next_batch();
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }
  /// Runs the event loop for a time, so that everything in transit arrives.
  void quiet(int milliseconds = 100) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
    while (std::chrono::steady_clock::now() < until) {
      clock.next_batch();
      io.restart();
      io.run_one_for(std::chrono::milliseconds(10));
    }
  }
  /// Accepts the router's watch connection to discovery, as `agent`.
  void accept_watch() {
    tcp::socket socket(io);
    bool came = false;
    discovery.async_accept(socket, [&](error_code error) { came = !error; });
    ASSERT_TRUE(wait_for([&] { return came; }));
    agent = std::make_shared<Peer>(std::move(socket));
    agent->read([](Peer&) {});
    ASSERT_TRUE(wait_for([&] { return agent->got.find("\r\n\r\n") != std::string::npos; }));
  }
  /// Answers the watch with the head of a chunked response.
  void begin_watch() { agent->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); }
  /// Sends one chunk of the watch's response.
  void chunk(const std::string& text) {
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    agent->write(size.data() + text + "\r\n");
  }
  /// Connects a client to the router.
  std::unique_ptr<FakeClient> client() { return std::make_unique<FakeClient>(io, host->address()); }

  asio::io_context io{1};
  Time wall_steps = 0;  ///< microseconds by which the wall clock was stepped, forward or back
  net::Clock clock{io, [this] { return net::system_wall_time() + wall_steps; }};
  FakeServer cache{io}, origin{io};
  tcp::acceptor discovery{io, any_port()};
  platform::NodeSettings settings;
  std::unique_ptr<daemon::Host> host;
  std::shared_ptr<Peer> agent;
};

}  // namespace streampick::test
