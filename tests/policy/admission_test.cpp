// Load shedding: the limit on cache attempts, the admission queue and quotas.
#include <gtest/gtest.h>

#include <map>

#include "fake_host.h"

namespace streampick::test {
namespace {

// An origin that does not answer must not make the router reject reads that the caches can answer.
TEST(Admission, OriginThatDoesNotAnswer_CacheHitsAreAdmitted) {
  FakeHost host(FakeHost::hedging_config());
  RequestId id = 0;
  for (int round = 0; round < 300; ++round) {
    ++id;
    host.request(id, 0, id);
    host.result(host.sends.size() - 1, Outcome::miss);  // waits for the origin, which does not answer
    host.request(++id, 0, 7);
    ASSERT_FALSE(host.ended.contains(id)) << "a cache hit was rejected";
    host.result(host.sends.size() - 1, Outcome::served);
    host.advance(20 * kMs);
  }
}

// Where server queues are short, overloaded outcomes are common and the next server of the plan takes the
// request.
TEST(Admission, FirstAttemptsAnsweredOverloaded_DoNotCountAsCongestion) {
  FakeHost host(FakeHost::hedging_config());
  for (RequestId id = 1; id <= 500; ++id) {
    host.request(id, 0, id);
    host.result(host.sends.size() - 1, Outcome::overloaded);
    ASSERT_EQ(host.sends_of(id), 2U);
    host.result(host.sends.size() - 1, Outcome::served);
    host.advance(20 * kMs);
  }
}

// Guards against a fault in which the admission timeout sent reads to the origin that had already been
// admitted.
TEST(Admission, AdmissionTimeoutOfAnAdmittedRead_DoesNotSendItToTheOrigin) {
  FakeHost host(FakeHost::hedging_config());
  for (RequestId id = 1; id <= 40; ++id) host.request(id, 0, id);
  const std::size_t admitted = host.sends.size();
  ASSERT_LT(admitted, 40U);  // the others wait for capacity
  for (std::size_t i = 0; i < admitted; ++i) host.result(i, Outcome::served);
  ASSERT_GT(host.sends.size(), admitted);
  host.advance(350 * kMs);
  for (const Send& sent : host.sends) {
    // Only reads that were never admitted go to the origin, as their first attempt.
    if (sent.server == kOrigin) {
      EXPECT_EQ(sent.attempt, 0U);
    }
  }
}

// The time for which a read that is not admitted waits until it is rejected or sent to the origin, in
// microseconds.
Time time_in_queue(FakeHost& host, RequestId id) {
  const Time arrived_at = host.now;
  host.request(id, 0, id);
  while (host.sends_of(id) == 0 && !host.ended.contains(id)) host.advance(kMs);
  return host.now - arrived_at;
}

TEST(Admission, BurstWaitsUpToItsLimit_StandingQueueOnlyForTheMeanLatency) {
  FakeHost host;
  host.answer_reads(10 * kMs);
  RequestId next = 5'000;
  do {
    ++next;
    host.request(next, 0, next);
  } while (host.sends_of(next) == 1);  // until the capacity is used up
  EXPECT_GE(time_in_queue(host, 1), 150 * kMs);
  // From now on the queue is never empty.
  for (int i = 0; i < 300; ++i) {
    ++next;
    host.request(next, 0, next);
    host.advance(2 * kMs);
  }
  EXPECT_LE(time_in_queue(host, 2), 20 * kMs);
}

// Each time the only server may be tried again, another request tries it first and finds it overloaded.
TEST(Admission, AllEndpointsFull_ReadIsRejectedAfterHalfItsObjective) {
  FakeHost host(FakeHost::aside_config(), 1);
  host.answer_reads(10 * kMs);
  const Time arrived_at = host.now + 2 * kMs;
  for (RequestId other = 2'000; other < 2'400; ++other) {
    host.request(other, 0, other);
    ASSERT_EQ(host.sends_of(other), 1U);
    host.result(host.sends.size() - 1, Outcome::overloaded);
    host.advance(2 * kMs);
    if (other == 2'000) host.request(1, 0, 1);
    if (host.sends_of(1) > 0 || host.ended.contains(1)) break;
    host.advance(3 * kMs);
  }
  EXPECT_GE(host.now - arrived_at, 450 * kMs);
  EXPECT_LE(host.now - arrived_at, 550 * kMs);
  EXPECT_EQ(host.ended[1], "rejected");
}

TEST(Admission, Congestion_TenantOverItsQuotaIsRejectedFirst) {
  Config config = FakeHost::hedging_config();
  config.tenants = {{20}, {2'000}};
  config.can_hedge = false;
  FakeHost host(config);
  std::map<std::uint32_t, int> rejected;
  for (RequestId id = 1; id <= 400; ++id) {
    const std::uint32_t tenant = id % 2;
    host.request(id, 0, id, tenant);
    if (host.ended.contains(id)) {
      ++rejected[tenant];
      continue;
    }
    const std::size_t send = host.sends.size() - 1;
    host.advance(550 * kMs);
    host.result(send, Outcome::served);
    for (RequestId more = 0; more < 10; ++more) {
      host.request(10'000 + id * 10 + more, 0, more, 0);
      if (!host.ended.contains(10'000 + id * 10 + more)) host.result(host.sends.size() - 1, Outcome::served);
    }
  }
  EXPECT_GT(rejected[0] + 1, rejected[1]);
}

// A router with little traffic mostly has no attempt in flight at a tick. Slow answers must not reduce its
// limit to that number.
TEST(CacheLimit, LittleTrafficWithSlowAnswers_AllowsOneAttemptAtATime) {
  Config config = FakeHost::aside_config();
  config.routers = 300;
  FakeHost host(config, 150);
  for (RequestId id = 1; id <= 200; ++id) {
    host.request(id, 0, id);
    ASSERT_EQ(host.sends.size(), id) << "not admitted";
    host.advance(600 * kMs);  // of a latency objective of 1 s
    host.result(id - 1, Outcome::served);
    host.advance(50 * kMs);
  }
}

}  // namespace
}  // namespace streampick::test
