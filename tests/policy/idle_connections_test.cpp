// Unit tests of IdleConnections.
#include "policy/idle_connections.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace streampick::policy::test {
namespace {

struct NullSink final : ActionSink {
  void send(RequestId, ServerId, Time) override {}
  void cancel(RequestId, std::uint32_t) override {}
  void reject(RequestId, Time) override {}
  void fail(RequestId) override {}
  void poll_discovery() override {}
};

// Guards against unbounded growth of the queues: if connections never expire, an entry that is never used
// again stays at the front, and stale entries behind it must be removed.
TEST(IdleConnections, ConnectionsUsedOften_QueuesStayBounded) {
  Config config;
  config.classes = {{200'000, 1'000'000, 1, Effect::safe, Group::all, 0}};
  NullSink sink;
  RequestTable requests;
  TimerQueue timers(requests);
  const ArrivalInterval arrivals;
  const SlowStart slow_start(config, arrivals);
  EndpointTable endpoints;
  endpoints.ensure(2);
  const ReadyEndpoints ready(config, endpoints, slow_start);
  IdleConnections connections(config, endpoints, ready, arrivals, timers, sink);
  AttemptResult result;
  result.outcome = Outcome::served;
  std::size_t most = 0;
  Time now = 0;
  for (int use = 0; use < 20'000; ++use) {
    now += 1'000;
    AttemptState attempt;
    attempt.endpoint = use == 0 ? 0 : static_cast<ServerId>(1 + use % 2);
    connections.on_attempt_ended(attempt, result, now);
    most = std::max(most, connections.queued());
  }
  EXPECT_LE(most, 2 * 3 + 64 + 1U);
  EXPECT_GE(connections.queued(), 3U);  // at least the last use of each endpoint
}

}  // namespace
}  // namespace streampick::policy::test
