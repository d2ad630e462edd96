// Outlier ejection, slow start, and reuse of ids in the endpoint list.
#include <gtest/gtest.h>

#include "fake_host.h"

namespace streampick::test {
namespace {

TEST(EndpointHealth, FailingEndpoint_IsEjectedAndReturnsAfterATrialAttempt) {
  FakeHost host(FakeHost::hedging_config());
  host.request(1, 0, 5);
  const ServerId endpoint = host.sends[0].server;
  host.result(0, Outcome::served);
  for (RequestId id = 2; id <= 4; ++id) {
    host.request(id, 0, 5);
    host.result(host.sends.size() - 1, Outcome::error);
    host.result(host.sends.size() - 1, Outcome::served);
  }
  host.request(9, 0, 5);
  EXPECT_NE(host.sends.back().server, endpoint);
  host.result(host.sends.size() - 1, Outcome::served);
  host.advance(10'000 * kMs);
  host.request(10, 0, 5);
  EXPECT_EQ(host.sends.back().server, endpoint);
}

TEST(EndpointHealth, EndpointInSlowStart_GetsASmallShare) {
  FakeHost host(FakeHost::hedging_config());
  host.list[0].started = host.now;
  host.router.on_members(host.now, Update::changes, std::span(host.list.data(), 1));
  int sent_to_cold = 0;
  for (RequestId id = 1; id <= 600; ++id) {
    host.request(id, 0, id);
    sent_to_cold += host.sends.back().server == 0 ? 1 : 0;
    host.result(host.sends.size() - 1, Outcome::served);
  }
  EXPECT_LT(sent_to_cold, 45);  // each of six warm servers would get about 100
  EXPECT_GT(sent_to_cold, 0);
}

// A router with little traffic rarely sees three consecutive failures of one server. It must detect an
// unreachable zone from failures of different servers in that zone.
TEST(EndpointHealth, UnreachableZone_IsEjectedAfterAFewFailures) {
  FakeHost host(FakeHost::connection_cost_config(200), 40);
  int failed = 0;
  for (RequestId id = 1; id <= 200; ++id) {
    host.request(id, 0, id * 77);
    const ServerId server = host.sends.back().server;
    host.advance(250 * kMs);
    const bool in_unreachable_zone = server % 2 == 1;
    failed += in_unreachable_zone ? 1 : 0;
    host.result(host.sends.size() - 1, in_unreachable_zone ? Outcome::connect_failed : Outcome::served);
    for (std::size_t i = 0; i < host.sends.size(); ++i)
      if (host.sends[i].in_flight) host.result(i, Outcome::served);
  }
  EXPECT_LT(failed, 30);  // about 100 if each server had to be detected separately
}

TEST(EndpointList, ReusedId_StartsWithoutStatistics) {
  FakeHost host(FakeHost::hedging_config());
  host.request(1, 0, 42);
  const ServerId id = host.sends[0].server;
  host.result(0, Outcome::served);
  for (RequestId next = 2; next < 6; ++next) {  // failures eject the server
    host.request(next, 0, 42);
    for (std::size_t send = 0; send < host.sends.size(); ++send)
      if (host.sends[send].in_flight)
        host.result(send, host.sends[send].server == id ? Outcome::error : Outcome::served);
  }
  host.request(90, 0, 42);
  EXPECT_NE(host.sends.back().server, id);
  host.result(host.sends.size() - 1, Outcome::served);
  Member next = host.list[id];
  host.list[id].phase = Phase::gone;
  host.router.on_members(host.now, Update::changes, std::span(&host.list[id], 1));
  next.identity ^= 1;
  host.router.on_members(host.now, Update::changes, std::span(&next, 1));
  std::size_t sent_to_id = 0;
  for (RequestId key = 100; key < 160; ++key) {
    host.request(key, 0, key);
    sent_to_id += host.sends.back().server == id ? 1 : 0;
    host.result(host.sends.size() - 1, Outcome::served);
  }
  EXPECT_GT(sent_to_id, 0U);
}

TEST(EndpointList, ReusedIdOfTheOrigin_IsNotTheOrigin) {
  FakeHost host(FakeHost::hedging_config());
  host.list.back().phase = Phase::gone;
  host.router.on_members(host.now, Update::changes, std::span(&host.list.back(), 1));
  Member next = FakeHost::cache(kOrigin);
  host.router.on_members(host.now, Update::changes, std::span(&next, 1));
  host.request(1, 1, 42);  // a write, which may only go to the origin
  EXPECT_TRUE(host.sends.empty());
}

}  // namespace
}  // namespace streampick::test
