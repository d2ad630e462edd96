// The execution of one request: hedged requests, retries after each outcome, and the retry budget.
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "fake_host.h"

namespace streampick::test {
namespace {

TEST(RequestExecution, SlowRead_IsHedgedAtAConstantIntervalAndTheLosersAreCancelled) {
  FakeHost host(FakeHost::hedging_config());
  host.request(1, 0, 5);
  host.advance(4'000 * kMs - 1);
  ASSERT_EQ(host.sends.size(), 3U);
  EXPECT_EQ(host.sends[1].at - host.sends[0].at, host.sends[2].at - host.sends[1].at);
  EXPECT_NE(host.sends[0].server, host.sends[1].server);
  host.result(1, Outcome::served);
  const std::vector<std::pair<RequestId, std::uint32_t>> losers = {{1, 0}, {1, 2}};
  EXPECT_EQ(host.cancels, losers);
}

TEST(RequestExecution, HedgingDisabled_NoHedgedRequests) {
  Config config = FakeHost::hedging_config();
  config.can_hedge = false;
  FakeHost host(config);
  host.request(1, 0, 5);
  host.advance(3'000 * kMs);
  EXPECT_EQ(host.sends.size(), 1U);
}

TEST(RequestExecution, UnsafeRequest_IsNeverHedged) {
  FakeHost host(FakeHost::hedging_config());
  host.request(1, 2, 5);
  host.request(2, 3, 6);
  host.advance(3'000 * kMs);
  EXPECT_EQ(host.sends_of(1), 1U);
  EXPECT_EQ(host.sends_of(2), 1U);
}

TEST(RequestExecution, UnsafeRequest_IsRetriedOnlyIfNoAttemptRan) {
  FakeHost host(FakeHost::hedging_config());
  host.request(1, 3, 5);
  host.result(0, Outcome::overloaded);
  EXPECT_EQ(host.sends_of(1), 2U);
  host.result(1, Outcome::reset);
  EXPECT_EQ(host.sends_of(1), 2U);
  EXPECT_EQ(host.ended[1],
            "failed");  // it may have run, so it is not rejected: a rejection invites the client to repeat it
}

TEST(RequestExecution, CacheMiss_IsReadFromTheOriginOnce) {
  FakeHost host(FakeHost::hedging_config());
  host.request(1, 0, 5);
  host.result(0, Outcome::miss);
  ASSERT_EQ(host.sends.size(), 2U);
  EXPECT_EQ(host.sends[1].server, kOrigin);
  host.advance(3'000 * kMs);
  EXPECT_EQ(host.sends.size(), 2U);
}

TEST(RequestExecution, Write_GoesToTheOrigin) {
  FakeHost host(FakeHost::hedging_config());
  host.request(1, 1, 5);
  EXPECT_EQ(host.sends.back().server, kOrigin);
}

TEST(RequestExecution, WriteAfterItsIdempotencyWindow_FailsAndIsNotRejected) {
  FakeHost host(FakeHost::hedging_config());
  host.request(1, 1, 5);
  host.advance(2'500 * kMs);
  host.result(0, Outcome::error);
  EXPECT_EQ(host.sends_of(1), 1U);
  EXPECT_EQ(host.ended[1], "failed");
}

TEST(RequestExecution, QueuedRequest_EndsAtItsDeadline) {
  FakeHost host(FakeHost::hedging_config(), 0);
  host.router.on_members(host.now, Update::full, {});
  host.request(1, 0, 5);
  host.request(2, 2, 5);
  host.advance(4'000 * kMs);
  EXPECT_EQ(host.ended.size(), 2U);
}

TEST(RequestExecution, CancelledRequest_CausesNoFurtherActions) {
  FakeHost host(FakeHost::hedging_config());
  host.request(1, 0, 5);
  host.router.on_cancelled(host.now, 1);
  host.result(0, Outcome::cancelled);
  host.advance(5'000 * kMs);
  EXPECT_EQ(host.sends.size(), 1U);
  EXPECT_TRUE(host.ended.empty());
}

TEST(BrokenAnswers, SomeBrokenAnswersOfEachEndpoint_CauseNoEjection) {
  FakeHost host(FakeHost::hedging_config());
  RequestId id = 0;
  std::map<ServerId, int> attempts_by_server;
  for (int round = 0; round < 40; ++round) {
    host.request(++id, 0, 42);
    const std::size_t first = host.sends.size() - 1;
    host.result(first, Outcome::malformed);
    ASSERT_EQ(host.sends.size(), first + 2);
    EXPECT_EQ(host.sends[first + 1].server, host.sends[first].server);
    ++attempts_by_server[host.sends[first].server];
    host.result(first + 1, Outcome::served);
    host.advance(10 * kMs);
  }
  EXPECT_EQ(attempts_by_server.size(), 1U);
}

TEST(BrokenAnswers, SingleConnectionResets_CauseNoEjection) {
  FakeHost host(FakeHost::hedging_config());
  std::map<ServerId, int> attempts_by_server;
  for (RequestId id = 1; id <= 40; ++id) {
    host.request(id, 0, 42);
    const std::size_t first = host.sends.size() - 1;
    host.result(first, Outcome::reset);
    ASSERT_EQ(host.sends.size(), first + 2);
    ++attempts_by_server[host.sends[first].server];
    ++attempts_by_server[host.sends[first + 1].server];
    host.result(first + 1, Outcome::served);
    host.advance(10 * kMs);
  }
  EXPECT_EQ(attempts_by_server.size(), 1U);
}

TEST(BrokenAnswers, EndpointWithOnlyBrokenAnswers_IsEjected) {
  FakeHost host(FakeHost::hedging_config());
  host.request(1, 0, 42);
  const ServerId bad = host.sends[0].server;
  RequestId id = 1;
  for (int i = 0; i < 30; ++i) {
    for (std::size_t send = 0; send < host.sends.size(); ++send)
      if (host.sends[send].in_flight)
        host.result(send, host.sends[send].server == bad ? Outcome::malformed : Outcome::served);
    host.request(++id, 0, 42);
  }
  EXPECT_NE(host.sends.back().server, bad);
}

TEST(BrokenAnswers, UnsafeRequest_FailsAndOneWithAnIdempotencyKeyIsRetriedWithinItsWindow) {
  for (const Outcome outcome : {Outcome::malformed, Outcome::reset}) {
    FakeHost host(FakeHost::hedging_config());
    for (const std::uint32_t request_class : {2U, 3U}) {
      host.request(request_class, request_class, 42);
      host.result(host.sends.size() - 1, outcome);
      EXPECT_EQ(host.sends_of(request_class), 1U);
      EXPECT_EQ(host.ended[request_class], "failed");
    }
    host.request(1, 1, 42);
    host.result(host.sends.size() - 1, outcome);
    EXPECT_EQ(host.sends_of(1), 2U);
    host.request(4, 1, 43);
    const std::size_t late = host.sends.size() - 1;
    host.advance(1'900 * kMs);
    host.result(late, outcome);
    EXPECT_EQ(host.sends_of(4), 1U);
    EXPECT_EQ(host.ended[4], "failed");
  }
}

TEST(BrokenAnswers, InvalidRequest_FailsWithoutAFailureOfItsEndpoint) {
  FakeHost host(FakeHost::hedging_config());
  for (RequestId id = 1; id <= 10; ++id) {
    host.request(id, 0, 42);
    host.result(host.sends.size() - 1, Outcome::invalid_request);
    EXPECT_EQ(host.ended[id], "failed");
    EXPECT_EQ(host.sends.back().server, host.sends.front().server);
  }
  EXPECT_EQ(host.sends.size(), 10U);
}

TEST(RetryBudget, AllAttemptsFail_RetriesStayWithinTheBudget) {
  FakeHost host(FakeHost::hedging_config());
  for (RequestId id = 1; id <= 100; ++id) {
    host.request(id, 0, id * 7919);
    for (std::size_t i = 0; i < host.sends.size(); ++i)
      if (host.sends[i].in_flight) host.result(i, Outcome::error);
    host.advance(5 * kMs);
  }
  std::size_t sends = 0;
  for (RequestId id = 1; id <= 100; ++id) sends += host.sends_of(id);
  EXPECT_LE(sends, 100U + 10U + 50U);
}

}  // namespace
}  // namespace streampick::test
