// Which endpoint an attempt goes to: placement of keys, load bounds and stalled attempts.
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "fake_host.h"

namespace streampick::test {
namespace {

TEST(EndpointPicker, SameKeyAtTwoRouters_GoesToTheSameEndpoint) {
  FakeHost one(FakeHost::hedging_config(), 6, 1), other(FakeHost::hedging_config(), 6, 2);
  for (std::uint64_t key = 1; key < 200; ++key) {
    one.request(key, 0, key);
    one.result(one.sends.size() - 1, Outcome::served);
    other.request(key, 0, key);
    other.result(other.sends.size() - 1, Outcome::served);
    EXPECT_EQ(one.sends.back().server, other.sends.back().server);
  }
}

TEST(EndpointPicker, EndpointThatLeaves_MovesOnlyItsOwnKeys) {
  FakeHost before, after;
  after.list[2].phase = Phase::gone;
  after.router.on_members(after.now, Update::changes, std::span(&after.list[2], 1));
  for (std::uint64_t key = 1; key < 200; ++key) {
    before.request(key, 0, key);
    before.result(before.sends.size() - 1, Outcome::served);
    after.request(key, 0, key);
    after.result(after.sends.size() - 1, Outcome::served);
    if (before.sends.back().server != 2)
      EXPECT_EQ(before.sends.back().server, after.sends.back().server);
    else
      EXPECT_NE(after.sends.back().server, 2U);
  }
}

TEST(EndpointPicker, PopularKey_IsSpreadOverEndpointsByTheLoadBound) {
  FakeHost host(FakeHost::hedging_config());
  for (RequestId id = 1; id <= 24; ++id) host.request(id, 0, 42);
  std::map<ServerId, int> count;
  for (const Send& sent : host.sends) ++count[sent.server];
  EXPECT_GE(count.size(), 3U);
  EXPECT_FALSE(count.contains(kOrigin));
  for (const auto& [server, sent] : count) EXPECT_LE(sent, 4);
}

// A few attempts may coincide at one server by chance. Where answers are much faster than the latency
// objective, skipping the server would only send its keys to servers that do not have them cached.
TEST(EndpointPicker, FewConcurrentReadsOfAKey_AreSpreadOnlyWhereAnswersAreSlow) {
  for (const bool quick : {true, false}) {
    FakeHost host;
    host.answer_reads(quick ? 10 * kMs : 200 * kMs);
    const std::size_t before = host.sends.size();
    for (RequestId id = 1; id <= 5; ++id) host.request(id, 0, 42);
    std::map<ServerId, int> count;
    for (std::size_t i = before; i < host.sends.size(); ++i) ++count[host.sends[i].server];
    EXPECT_EQ(count.size() == 1, quick);
  }
}

// An attempt is stalled when its server has answered four later attempts: it does not wait for work of that
// server.
TEST(EndpointPicker, StalledAttempt_DoesNotMoveTheKeysOfItsEndpoint) {
  FakeHost host(FakeHost::hedging_config());
  host.answer_reads(200 * kMs);
  host.request(1, 0, 42);
  const ServerId server = host.sends.back().server;
  for (RequestId id = 2; id <= 5; ++id) {
    host.request(id, 0, 42);
    ASSERT_EQ(host.sends.back().server, server);
    host.result(host.sends.size() - 1, Outcome::served);
  }
  host.advance(450 * kMs);  // the hedged request is sent
  ASSERT_EQ(host.sends_of(1), 2U);
  for (RequestId id = 6; id <= 7; ++id) {
    host.request(id, 0, 42);
    EXPECT_EQ(host.sends.back().server, server);
  }
  host.request(8, 0, 42);
  EXPECT_NE(host.sends.back().server, server);  // the two attempts that are not stalled count
}

TEST(EndpointPicker, DrainingOrUnlistedEndpoint_GetsNoAttempts) {
  FakeHost host(FakeHost::hedging_config());
  host.list[0].phase = Phase::draining;
  host.router.on_members(host.now, Update::changes, std::span(host.list.data(), 1));
  std::vector<Member> full(host.list.begin() + 2, host.list.end());  // 0 is draining, 1 is not in the list
  full.push_back(host.list[0]);
  host.router.on_members(host.now, Update::full, full);
  for (RequestId id = 1; id <= 100; ++id) host.request(id, 0, id);
  host.advance(900 * kMs);
  for (const Send& sent : host.sends) EXPECT_GT(sent.server, 1U);
}

}  // namespace
}  // namespace streampick::test
