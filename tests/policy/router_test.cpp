// Tests of the whole module: discovery, settings, and invariants under reproducible random events.
#include <gtest/gtest.h>

#include <random>
#include <stdexcept>
#include <string>
#include <vector>

#include "fake_host.h"

namespace streampick::test {
namespace {

// Guards against a streamed upload that its router ends while the client is still sending, or never ends.
TEST(Deadline, ExtendedWhileNoServerIsAvailable_EndsTheRequestAtTheLaterTime) {
  FakeHost host;
  host.router.on_members(host.now, Update::full, {});
  const Time arrived = host.now;
  host.request(1, 2, 7);  // its deadline is after 4 s
  host.advance(3'000 * kMs);
  host.router.on_deadline_extended(host.now, 1, arrived + 6'000 * kMs);
  host.router.on_deadline_extended(host.now, 1, arrived + 5'000 * kMs);  // not later: without effect
  host.advance(2'990 * kMs);
  EXPECT_TRUE(host.ended.empty());
  host.advance(10 * kMs);
  EXPECT_EQ(host.ended[1], "rejected");
}

// A change of the endpoint list must reach the routers within 6 s even if polls of discovery fail, so the
// intervals between polls must not grow. Jitter keeps the routers of a fleet from polling at the same time.
TEST(Discovery, FailedPolls_AreRepeatedAtShortIntervalsWithJitter) {
  Config config = FakeHost::hedging_config();
  config.polls_discovery = true;
  FakeHost host(config);
  host.router.on_discovery(host.now, DiscoveryStatus::not_polled);
  std::vector<Time> intervals;
  for (int i = 0; i < 40; ++i) {
    const std::size_t polls_before = host.polls.size();
    while (host.polls.size() == polls_before) host.advance(10 * kMs);
    if (i > 0) intervals.push_back(host.polls[polls_before] - host.polls[polls_before - 1]);
    host.router.on_discovery(host.now, DiscoveryStatus::failed);
  }
  const auto [least, most] = std::minmax_element(intervals.begin(), intervals.end());
  EXPECT_GE(*least, 150 * kMs);
  EXPECT_LE(*most,
            450 * kMs + 10 * kMs);  // at most 450 ms by roster/watch_times.h; the test polls every 10 ms
  EXPECT_GT(*most - *least, 150 * kMs);
}

TEST(Discovery, EmptyListOnlyAnOriginOrNoRouters_EachRequestEnds) {
  for (const std::uint32_t routers : {0U, 1U, 500U}) {
    Config config = FakeHost::hedging_config();
    config.routers = routers;
    FakeHost host(config, 0);
    host.request(1, 0, 5);
    host.request(2, 1, 5);
    host.router.on_members(host.now, Update::full, {});
    host.request(3, 0, 6);
    host.advance(5'000 * kMs);
    for (std::size_t i = 0; i < host.sends.size(); ++i)
      if (host.sends[i].in_flight) host.result(i, Outcome::timeout);
    host.advance(100 * kMs);
    EXPECT_EQ(host.ended.size(), 3U);
  }
}

TEST(Configuration, InvalidSettings_AreRejectedWithAMessage) {
  const auto reason = [](auto change) -> std::string {
    Config config = FakeHost::hedging_config();
    change(config);
    try {
      validate(config);
    } catch (const std::invalid_argument& error) {
      return error.what();
    }
    return "";
  };
  EXPECT_EQ(reason([](Config&) {}), "");
  EXPECT_NE(reason([](Config& c) { c.classes.clear(); }).find("no request class"), std::string::npos);
  EXPECT_NE(reason([](Config& c) {
              c.classes[1].latency_objective = 0;
            }).find("class 1: latency objective (AimUs)"),
            std::string::npos);
  EXPECT_NE(reason([](Config& c) { c.classes[0].deadline = -1; }).find("deadline"), std::string::npos);
  EXPECT_NE(reason([](Config& c) { c.max_attempts = 0; }).find("MaxAttempts"), std::string::npos);
  EXPECT_NE(reason([](Config& c) { c.slow_start_initial_share = 1.5; }).find("slow-start share (ColdShare)"),
            std::string::npos);
  EXPECT_NE(reason([](Config& c) { c.keep_alive = -1; }).find("negative"), std::string::npos);
  EXPECT_NE(reason([](Config& c) { c.origin_kind = kNone; }).find("origin kind (OriginKind)"),
            std::string::npos);
  Config none;
  EXPECT_THROW(FakeHost host(none), std::invalid_argument);
}

TEST(Invariants, RandomOutcomes_EachRequestEndsOnceWithinItsAttempts) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    Config config = FakeHost::hedging_config();
    config.routers = seed % 2 == 0 ? 2 : 300;
    FakeHost host(config, 5, seed);
    std::mt19937_64 random(seed);
    RequestId next = 0;
    for (int step = 0; step < 3'000; ++step) {
      if (random() % 2 == 0) host.request(++next, random() % 4, random() % 30);
      std::vector<std::size_t> in_flight;
      for (std::size_t i = host.sends.size() > 60 ? host.sends.size() - 60 : 0; i < host.sends.size(); ++i)
        if (host.sends[i].in_flight) in_flight.push_back(i);
      if (!in_flight.empty()) {
        const std::size_t index = in_flight[random() % in_flight.size()];
        const bool sent_to_cache = host.sends[index].server != kOrigin;
        const auto outcome = static_cast<Outcome>(random() % (sent_to_cache ? 9 : 8));
        if (random() % 3 != 0)
          host.result(index, outcome);
        else
          host.result(index, Outcome::served);
      }
      host.advance(static_cast<Time>(random() % 20) * kMs);
    }
    host.advance(2'000 * kMs);
    for (std::size_t i = 0; i < host.sends.size(); ++i)
      if (host.sends[i].in_flight && !host.ended.contains(host.sends[i].request))
        host.result(i, Outcome::timeout);
    host.advance(6'000 * kMs);
    for (std::size_t i = 0; i < host.sends.size(); ++i)
      if (host.sends[i].in_flight) host.result(i, Outcome::timeout);
    EXPECT_EQ(host.ended.size(), next) << "a request did not end";
    EXPECT_FALSE(host.ended_twice);
    EXPECT_FALSE(host.sent_after_end);
    for (const auto& [request, attempts] : host.attempts) EXPECT_LE(attempts, 4U);
  }
}

TEST(Invariants, SameEvents_GiveTheSameActions) {
  auto run = [] {
    FakeHost host(FakeHost::hedging_config(), 6, 3);
    std::mt19937_64 random(5);
    for (RequestId id = 1; id < 800; ++id) {
      host.request(id, random() % 2, random() % 50);
      if (random() % 4 != 0) host.result(random() % host.sends.size(), Outcome::served);
      host.advance(static_cast<Time>(random() % 40) * kMs);
    }
    std::vector<ServerId> servers;
    for (const Send& sent : host.sends) servers.push_back(sent.server);
    return servers;
  };
  EXPECT_EQ(run(), run());
}

}  // namespace
}  // namespace streampick::test
