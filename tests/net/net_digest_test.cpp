// Digests of the decisions of src/net: on random inputs, on a scripted clock, and for the listener by the
// order of its calls to its handler.
#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <string>
#include <vector>

#include "net/clock.h"
#include "net/listener.h"
#include "net/load_shedder.h"
#include "net/log.h"
#include "net/loop_stall_detector.h"
#include "net/socket_errors.h"
#include "net/tcp.h"
#include "net/upstream_resources.h"
#include "net/wall_clock.h"
#include "support/digest.h"
#include "support/draw.h"
#include "support/scripted_clock.h"

namespace streampick::test {
namespace {

constexpr std::uint64_t kSeed = 20261203;
constexpr std::int64_t kStart = 5'000'000'000;

TEST(NetDigest, ErrorCodes_AreClassifiedAsRecorded) {
  Digest digest;
  for (int value = 0; value < 140; ++value) {
    for (const auto* category : {&boost::system::system_category(), &boost::system::generic_category()}) {
      const boost::system::error_code error(value, *category);
      digest.add("error", value, net::is_resource_exhausted(error), net::is_transient(error),
                 net::is_connection_specific(error));
    }
  }
  EXPECT_TRUE(has_hash(digest, "d57a6bae856c3574"));
}

TEST(NetDigest, ValidAndInvalidAddresses_ParseResultsMatchTheRecordedDigest) {
  Digest digest;
  for (const char* text : {"",
                           ":",
                           "1.2.3.4",
                           "1.2.3.4:",
                           "1.2.3.4:0",
                           "1.2.3.4:80",
                           "1.2.3.4:65535",
                           "1.2.3.4:65536",
                           "1.2.3.4:-1",
                           "1.2.3.4: 80",
                           "1.2.3.4:80 ",
                           "1.2.3.4:80x",
                           "::1:80",
                           "[::1]:80",
                           "localhost:80",
                           "1.2.3:80",
                           "::1",
                           ":80",
                           "1.2.3.4:99999999999999999999",
                           "fe80::1:443"}) {
    const auto endpoint = net::parse_endpoint(text);
    digest.add("address", text,
               endpoint ? endpoint->address().to_string() + " " + std::to_string(endpoint->port()) : "none");
  }
  EXPECT_TRUE(has_hash(digest, "20ba81fbeb417869"));
}

Config random_config(Draw& draw) {
  Config config;
  config.max_retry_after = draw.chance(0.1) ? 0 : draw.between(1, 5'000'000);
  for (std::uint64_t count = draw.below(5); count > 0; --count) {
    RequestClass request_class;
    request_class.priority_weight = draw.chance(0.1) ? 0 : 10 * draw.unit();
    config.classes.push_back(request_class);
  }
  return config;
}

std::vector<bool> random_protected_classes(Draw& draw) {
  std::vector<bool> is_protected(draw.below(6));
  for (std::size_t i = 0; i < is_protected.size(); ++i) is_protected[i] = draw.chance(0.3);
  return is_protected;
}

TEST(NetDigest, ScriptedClock_LoadShedderDecidesAsRecorded) {
  Digest digest;
  Draw draw(kSeed);
  for (int trial = 0; trial < 40; ++trial) {
    ScriptedClock clock(kStart);
    boost::asio::io_context io{1};
    overload::Settings settings;
    settings.target_loop_lag = draw.chance(0.1) ? 0 : draw.between(1'000, 100'000);
    settings.saturated_cpu = 0.1 + 1.2 * draw.unit();
    const Config config = random_config(draw);
    const double cores = 2 * draw.unit();
    net::LoadShedder load_shedder(io, settings, config, cores, random_protected_classes(draw));
    for (int step = 0; step < 300; ++step) {
      if (draw.chance(0.01)) {
        const Config changed = random_config(draw);
        load_shedder.update(changed, random_protected_classes(draw));
      }
      load_shedder.on_client_activity();
      if (draw.chance(0.3)) load_shedder.on_client_activity();
      const long long lag = draw.chance(0.02) ? draw.between(0, 4'000'000)
                                              : draw.between(0, step % 150 < 75 ? 200'000 : 10'000);
      clock.advance(lag, static_cast<long long>(static_cast<double>(lag) * 1.5 * draw.unit()));
      const std::size_t probes = io.poll();
      io.restart();
      std::string decisions;
      for (int request = 0; request < 5; ++request) {
        const auto request_class = static_cast<std::uint32_t>(draw.below(6));
        const Time remaining = draw.between(0, 1'000'000);
        decisions += load_shedder.should_reject(request_class, remaining, draw.below(~0ULL)) ? 'r' : '.';
      }
      digest.add("step", probes, load_shedder.admits_all(), decisions, load_shedder.rejected(),
                 load_shedder.retry_after(draw.below(~0ULL)), load_shedder.controller().level(),
                 load_shedder.controller().mean_lag(), load_shedder.controller().overloaded_windows());
    }
  }
  EXPECT_TRUE(has_hash(digest, "8ebf8393c8405935"));
}

TEST(NetDigest, ScriptedClock_StallsAreDetectedAsRecorded) {
  Digest digest;
  Draw draw(kSeed + 1);
  ScriptedClock clock(kStart);
  net::LoopStallDetector stall_detector;
  for (int step = 0; step < 2'000; ++step) {
    clock.advance(draw.chance(0.03) ? draw.between(0, 600'000) : draw.between(0, 45'000));
    const bool before = stall_detector.was_stalled();
    if (draw.chance(0.7)) stall_detector.on_tick();
    digest.add("step", before, stall_detector.was_stalled(),
               stall_detector.next_tick().time_since_epoch().count());
  }
  EXPECT_TRUE(has_hash(digest, "d520e5fccebb0e65"));
}

TEST(NetDigest, ScriptedClock_LogDropsLinesAsRecorded) {
  Digest digest;
  Draw draw(kSeed + 2);
  ScriptedClock clock(kStart);
  const net::ScopedLogSink sink([&](std::string_view line) { digest.add("line", line); });
  for (int line = 0; line < 2'000; ++line) {
    clock.advance(draw.chance(0.01) ? draw.between(0, 2'000'000) : draw.between(0, 20'000));
    net::log(std::to_string(line) + std::string(draw.below(500), 'x'));
  }
  EXPECT_TRUE(has_hash(digest, "03b877eece628f96"));
}

TEST(NetDigest, ScriptedClock_ClockReadsAsRecorded) {
  Digest digest;
  Draw draw(kSeed + 3);
  ScriptedClock scripted(kStart);
  Time wall = 1'700'000'000'000'000;
  boost::asio::io_context io{1};
  net::Clock clock(io, [&] {
    if (draw.chance(0.3)) scripted.advance(draw.between(0, 500));
    return wall;
  });
  for (int step = 0; step < 500; ++step) {
    const long long passed = draw.between(0, 2'000'000);
    scripted.advance(passed);
    wall += passed + (draw.chance(0.1) ? draw.between(-5'000'000, 5'000'000) : 0);
    if (draw.chance(0.5)) clock.next_batch();
    digest.add("now", clock.now());
    digest.add("fresh", clock.fresh());
    digest.add("wall", clock.wall_time());
    digest.add("steady", clock.steady(clock.now() + 1'234).time_since_epoch().count());
  }
  EXPECT_TRUE(has_hash(digest, "7fd71fff840a6978"));
}

void add_counts(Digest& digest, const net::UpstreamResources& resources) {
  digest.add("links", resources.connections.open(), resources.connections.has_capacity(),
             resources.body_memory.reserved());
}

TEST(NetDigest, DrawnUse_UpstreamResourcesDecideAsRecorded) {
  Digest digest;
  Draw draw(kSeed + 4);
  for (int trial = 0; trial < 60; ++trial) {
    overload::DescriptorBudget descriptors({.total = 40, .downstream_minimum = 10, .upstream_minimum = 10});
    net::UpstreamResources resources;
    if (draw.chance(0.5)) {
      resources.connections.share_descriptors(descriptors);
    } else {
      resources.connections.set_limit(draw.below(30));
    }
    resources.body_memory.set_limit(draw.below(10'000));
    std::vector<engine::MemoryReservation> reserved;
    for (int step = 0; step < 100; ++step) {
      if (draw.chance(0.6)) {
        if (resources.connections.has_capacity()) resources.connections.on_opened();
      } else if (resources.connections.open() > 0) {
        resources.connections.on_closed();
      }
      if (draw.chance(0.5)) {
        auto reservation = resources.body_memory.reserve(draw.below(4'000));
        digest.add("reserved", reservation.has_value());
        if (reservation) reserved.push_back(std::move(*reservation));
      } else if (!reserved.empty()) {
        reserved.pop_back();
      }
      digest.add("servers", descriptors.used(overload::DescriptorBudget::Side::upstream));
      add_counts(digest, resources);
    }
  }
  const net::UpstreamResources defaults;
  const std::size_t default_memory = defaults.body_memory.limit();
  digest.add("defaults", defaults.read_buffer.size(), default_memory, defaults.streaming.max_buffered_body,
             defaults.streaming.max_body, defaults.streaming.max_buffering_time, defaults.connect_timeout);
  EXPECT_TRUE(has_hash(digest, "9ae31a4c873403cf"));
}

// A handler that gives random answers and records all calls.
struct RandomHandler final : net::Listener::Handler {
  RandomHandler(Digest& to, Draw& from) : digest(to), draw(from) {}
  bool can_accept() override {
    const bool answer = draw.chance(0.8);
    digest.add("has_place", answer);
    return answer;
  }
  void on_accepted(net::tcp::socket socket) override {
    digest.add("take");
    sockets.push_back(std::move(socket));
    if (listener != nullptr && draw.chance(0.3)) listener->resume();
  }
  void on_resource_exhausted() override { digest.add("out_of_descriptors"); }

  Digest& digest;
  Draw& draw;
  net::Listener* listener = nullptr;
  std::vector<net::tcp::socket> sockets;
};

TEST(NetDigest, DrawnCapacity_ListenerCallsItsHandlerAsRecorded) {
  Digest digest;
  Draw draw(kSeed + 5);
  for (int trial = 0; trial < 8; ++trial) {
    boost::asio::io_context io{1};
    RandomHandler handler(digest, draw);
    net::Listener listener(io, {boost::asio::ip::make_address("127.0.0.1"), 0}, handler);
    handler.listener = &listener;
    digest.add("world", listener.is_listening(), listener.is_shared());
    std::vector<net::tcp::socket> clients;
    const auto connect = [&](int count) {
      for (; count > 0; --count) clients.emplace_back(io).connect(listener.address());
    };
    connect(10);
    listener.resume();
    while (handler.sockets.size() < clients.size()) io.run_one();
    connect(5);
    listener.stop();
    digest.add("stopped", listener.is_listening(), handler.sockets.size());
    io.run();
  }
  EXPECT_TRUE(has_hash(digest, "b0602d1491270a0c"));
}

}  // namespace
}  // namespace streampick::test
