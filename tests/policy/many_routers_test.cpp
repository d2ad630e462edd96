// Many routers that share a fleet: the tests check the total load on the endpoints.
#include <gtest/gtest.h>

#include "fake_host.h"

namespace streampick::test {
namespace {

// With one popular key, a server in slow start must not get more than its share of the reads of that key.
TEST(ManyRouters, PopularKey_DoesNotOverloadAnEndpointInSlowStart) {
  FakeHost warm;
  warm.request(1, 0, 42);
  const ServerId endpoint = warm.sends[0].server;
  int sent_to_cold = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Config config = FakeHost::hedging_config();
    config.routers = 200;
    FakeHost host(config, 6, seed);
    host.list[endpoint].started = host.now;
    host.router.on_members(host.now, Update::changes, std::span(&host.list[endpoint], 1));
    host.request(1, 0, 42);
    sent_to_cold += host.sends[0].server == endpoint ? 1 : 0;
  }
  EXPECT_GT(sent_to_cold, 0);
  EXPECT_LT(sent_to_cold, 80);  // the capacity share is a fifth: 40 of 200 are expected
}

TEST(ManyRouters, EndpointInSlowStart_GetsNoRetriesAndNoHedgedRequests) {
  FakeHost host(FakeHost::hedging_config());
  for (ServerId id = 0; id < 5; ++id) host.list[id].started = host.now;
  host.router.on_members(host.now, Update::changes, host.list);
  for (RequestId id = 1; id <= 100; ++id) {
    host.request(id, 0, id);
    if (host.ended.contains(id) || host.sends.empty() || host.sends.back().request != id) continue;
    host.result(host.sends.size() - 1, Outcome::reset);
    host.advance(5 * kMs);
  }
  for (const Send& sent : host.sends) EXPECT_TRUE(sent.server >= 5 || sent.attempt == 0);
}

// With a minimum limit of one read for each of hundreds of routers, the origin would be overloaded.
TEST(ManyRouters, SlowOrigin_ReadsOfAllRoutersTogetherStayLimited) {
  constexpr int kRouters = 60;
  int at_origin = 0;
  for (std::uint64_t seed = 1; seed <= kRouters; ++seed) {
    Config config = FakeHost::hedging_config();
    config.routers = kRouters;
    FakeHost host(config, 6, seed);
    RequestId id = 0;
    for (int step = 0; step < 300;
         ++step) {  // each read misses; the origin answers fast for two seconds, then slowly
      ++id;
      host.request(id, 0, id);
      const bool sent_to_cache = !host.sends.empty() && host.sends.back().request == id;
      if (sent_to_cache && host.sends.back().server != kOrigin)
        host.result(host.sends.size() - 1, Outcome::miss);
      host.advance(100 * kMs);
      for (std::size_t i = 0; i < host.sends.size(); ++i)
        if (host.sends[i].in_flight && host.sends[i].server == kOrigin &&
            host.now - host.sends[i].at >= (step < 20 ? 1 : 700) * kMs)
          host.result(i, Outcome::served);
    }
    for (const Send& sent : host.sends)
      at_origin += sent.server == kOrigin && host.now - sent.at < 3'000 * kMs ? 1 : 0;
  }
  // One read at a time would be 4 per router in these three seconds, 240 in total.
  EXPECT_GT(at_origin, 0);
  EXPECT_LT(at_origin, 160);
}

TEST(ManyRouters, FirstHedgedRequestsOfAllRouters_StayWithinTheSharedBudget) {
  int hedges = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Config config = FakeHost::hedging_config();
    config.routers = 200;
    FakeHost host(config, 6, seed);
    host.request(1, 0, seed);
    host.advance(900 * kMs);
    hedges += static_cast<int>(host.sends.size()) - 1;
  }
  EXPECT_LT(hedges, 20);
}

}  // namespace
}  // namespace streampick::test
