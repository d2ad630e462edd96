/// Where discovery has to be polled: only what discovery itself does may end or postpone the polls, whatever
/// else changes the endpoints.
#include "engine/engine_fixture.h"

namespace streampick::test {
namespace {

constexpr Time kMaxFirstPoll = kSecond;    // from the start to the first poll
constexpr Time kMaxPollRetry = 450 * kMs;  // from a failure to the next poll (roster/watch_times.h, kAsked)

class DiscoveryPollingTest : public EngineTest {
 protected:
  DiscoveryPollingTest() {
    build([](Config& config) { config.polls_discovery = true; });
  }
  void disable(const std::string& name) { engine->set_override(name, true, 0); }
  void enable(const std::string& name) { engine->set_override(name, false, time.wall_time()); }
  void forget_override(const std::string& name) { engine->set_override(name, false, 0); }
  static engine::EndpointList both_caches(std::uint64_t revision) {
    return list(revision, true, {{"c-1", Phase::ready}, {"c-2", Phase::ready}}, true);
  }
};

// Guards against a process that starts with a stored ban, never asks discovery and uses servers that left.
TEST_F(DiscoveryPollingTest, OverrideBeforeTheFirstAnswer_DiscoveryIsPolled) {
  disable("c-1");
  time.advance(kMaxFirstPoll);
  EXPECT_EQ(discovery.watches, 1);
}

TEST_F(DiscoveryPollingTest, OverrideLiftedBeforeTheFirstAnswer_DiscoveryIsPolled) {
  disable("c-1");
  time.advance(10 * kMs);
  enable("c-1");
  time.advance(10 * kMs);
  forget_override("c-1");
  time.advance(kMaxFirstPoll);
  EXPECT_EQ(discovery.watches, 1);
}

TEST_F(DiscoveryPollingTest, OverrideOfAServerThatIsNotListedYet_DiscoveryIsPolledAndTheOverrideHolds) {
  disable("c-3");
  time.advance(kMaxFirstPoll);
  ASSERT_EQ(discovery.watches, 1);
  engine->on_endpoint_list(list(2, false, {{"c-3", Phase::ready}}));
  EXPECT_EQ(fleet.sending_stops_at("c-3"), time.now());
  EXPECT_EQ(engine->endpoint_counts().down, 1U);
}

// Guards against operators' commands that postpone the next poll each time.
TEST_F(DiscoveryPollingTest, OverridesAfterAFailedPoll_DoNotPostponeTheNextOne) {
  time.advance(kMaxFirstPoll);
  for (int failure = 1; failure <= 20; ++failure) {
    engine->on_discovery_failed();
    for (Time waited = 0; waited < kMaxPollRetry; waited += 50 * kMs) {
      waited % (100 * kMs) == 0 ? disable("c-1") : enable("c-1");
      time.advance(50 * kMs);
    }
    ASSERT_EQ(discovery.watches, 1 + failure);
  }
}

TEST_F(DiscoveryPollingTest, OverrideWhileAPollIsOut_FailureIsStillFollowedByAPoll) {
  time.advance(kMaxFirstPoll);
  disable("c-1");
  time.advance(kSecond);
  EXPECT_EQ(discovery.watches, 1);  // the poll's answer is awaited
  engine->on_discovery_failed();
  enable("c-1");
  time.advance(kMaxPollRetry);
  EXPECT_EQ(discovery.watches, 2);
}

TEST_F(DiscoveryPollingTest, OverridesAfterAnAnswer_CauseNoPoll) {
  time.advance(kMaxFirstPoll);
  engine->on_endpoint_list(both_caches(2));
  disable("c-1");
  enable("c-1");
  time.advance(10 * kSecond);
  EXPECT_EQ(discovery.watches, 1);
}

TEST_F(DiscoveryPollingTest, SettingsAndSharesBeforeTheFirstAnswer_DiscoveryIsPolled) {
  engine->set_routers(7);
  engine->set_shares({});
  engine->set_draining(true);
  time.advance(kMaxFirstPoll);
  EXPECT_EQ(discovery.watches, 1);
}

TEST_F(DiscoveryPollingTest, PushedLists_AreNeverPolledFor) {
  build([](Config& config) { config.polls_discovery = false; });
  const int before = discovery.watches;
  disable("c-1");
  time.advance(kMaxFirstPoll);
  engine->on_discovery_failed();
  enable("c-1");
  time.advance(10 * kSecond);
  EXPECT_EQ(discovery.watches, before);
}

}  // namespace
}  // namespace streampick::test
