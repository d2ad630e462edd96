#include "overload/cancellation_policy.h"

#include <gtest/gtest.h>

namespace streampick::overload::test {
namespace {

constexpr Time kMs = 1'000;

CancellationPolicy::CancelledAttempt recent_attempt() {
  return {.elapsed = 5 * kMs, .usual_latency = 10 * kMs, .draining = 0, .open_connections = 40};
}

TEST(CancellationPolicy, RecentAttempt_IsDrainedForFourUsualLatenciesAndOlderOneIsClosed) {
  const CancellationPolicy policy;
  EXPECT_EQ(policy.drain_timeout(recent_attempt()), 40 * kMs);
  auto old_attempt = recent_attempt();
  old_attempt.elapsed = 39 * kMs;
  EXPECT_GT(policy.drain_timeout(old_attempt), 0);
  old_attempt.elapsed = 40 * kMs;  // delayed by something else than its work
  EXPECT_EQ(policy.drain_timeout(old_attempt), 0);
}

TEST(CancellationPolicy, EndpointWithoutResponses_ConnectionIsClosed) {
  auto unknown = recent_attempt();
  unknown.usual_latency = 0;
  EXPECT_EQ(CancellationPolicy().drain_timeout(unknown), 0);
}

TEST(CancellationPolicy, MaxDrainTimeSet_TimeoutNeverExceedsIt) {
  Settings settings;
  settings.max_drain_time = 15 * kMs;
  EXPECT_EQ(CancellationPolicy(settings).drain_timeout(recent_attempt()), 15 * kMs);
  settings.max_drain_time = 0;
  EXPECT_EQ(CancellationPolicy(settings).drain_timeout(recent_attempt()), 0);
}

TEST(CancellationPolicy, ManyAttemptsCancelledAtOnce_DrainingIsBoundedInAllAndForEachEndpoint) {
  const CancellationPolicy policy;
  auto attempt = recent_attempt();
  std::size_t draining = 0;
  while (policy.drain_timeout(attempt) > 0 && draining < 1000) {
    ++draining;
    attempt.draining = draining;
  }
  EXPECT_EQ(draining, 10U);  // a quarter of 40

  auto at_one_endpoint = recent_attempt();
  at_one_endpoint.draining_at_endpoint = Settings{}.max_draining_per_endpoint;
  EXPECT_EQ(policy.drain_timeout(at_one_endpoint), 0);

  auto only_connection = recent_attempt();
  only_connection.open_connections = 1;
  EXPECT_GT(policy.drain_timeout(only_connection), 0);
}

}  // namespace
}  // namespace streampick::overload::test
