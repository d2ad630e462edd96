// Two sources of endpoint lists before an engine that has to poll the platform's discovery: what the second
// source sends is no answer of the platform.
#include "engine/engine_fixture.h"
#include "roster/sources.h"

namespace streampick::roster {
namespace {

using test::kMs;
using test::kSecond;

constexpr Time kMaxFirstPoll = kSecond;
constexpr Time kMaxPollRetry = 450 * kMs;  // roster/watch_times.h, kAsked

class SourcesPolling : public test::EngineTest {
 protected:
  SourcesPolling() {
    build([](Config& config) { config.polls_discovery = true; });
  }
  static engine::EndpointList both_caches() {
    return list(2, true, {{"c-1", Phase::ready}, {"c-2", Phase::ready}}, true);
  }
  void let_second_source_lead(Sources& sources) {
    sources.platform().on_endpoint_list(both_caches());
    sources.secondary().on_endpoint_list(both_caches());
  }
};

// Guards against a router that learns its servers from etcd and then never asks the platform which of them
// drain.
TEST_F(SourcesPolling, SecondSourceAnswersFirst_PlatformIsPolled) {
  Sources sources(*engine);
  sources.secondary().on_endpoint_list(both_caches());
  time.advance(kMaxFirstPoll);
  EXPECT_EQ(discovery.watches, 1);
}

TEST_F(SourcesPolling, PlatformFailsWhileTheSecondSourceLeads_IsPolledAgain) {
  Sources sources(*engine);
  let_second_source_lead(sources);
  sources.platform().on_discovery_failed();
  sources.secondary().on_endpoint_list(list(3, false, {{"c-2", Phase::ready}}));
  time.advance(kMaxPollRetry);
  EXPECT_EQ(discovery.watches, 1);
  sources.platform().on_endpoint_list(list(3, false, {{"c-1", Phase::draining}}));
  EXPECT_EQ(fleet.sending_stops_at("c-1"), time.now());
}

TEST_F(SourcesPolling, SecondSourceFailsWhileItLeads_PlatformIsNotPolled) {
  Sources sources(*engine);
  let_second_source_lead(sources);
  sources.secondary().on_discovery_failed();
  time.advance(10 * kSecond);
  EXPECT_EQ(discovery.watches, 0);
}

}  // namespace
}  // namespace streampick::roster
