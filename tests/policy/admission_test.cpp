// Load shedding: the limit on cache work, the admission queue, quotas.
#include <gtest/gtest.h>

#include <map>

#include "fake_host.h"

namespace streampick::test {
namespace {

// A stuck origin must not make the router refuse reads that the caches can answer.
TEST(Admission, AStuckOriginDoesNotShedHits) {
  FakeHost host(FakeHost::hedging_config());
  RequestId id = 0;
  for (int round = 0; round < 300; ++round) {
    ++id;
    host.request(id, 0, id);
    host.result(host.sends.size() - 1, Outcome::miss);  // waits for an origin that stays silent
    host.request(++id, 0, 7);
    ASSERT_FALSE(host.ended.contains(id)) << "a hit was refused";
    host.result(host.sends.size() - 1, Outcome::served);
    host.advance(20 * kMs);
  }
}

// 'full' is an everyday answer where queues are short; the next server of the plan absorbs it.
TEST(Admission, FullEndpointsAloneAreNoCongestion) {
  FakeHost host(FakeHost::hedging_config());
  for (RequestId id = 1; id <= 500; ++id) {
    host.request(id, 0, id);
    host.result(host.sends.size() - 1, Outcome::overloaded);
    ASSERT_EQ(host.sends_of(id), 2U);
    host.result(host.sends.size() - 1, Outcome::served);
    host.advance(20 * kMs);
  }
}

// The timer of the wait for room once sent reads that had got in to the origin as well.
TEST(Admission, AnAdmittedReadIsNotSentToTheOriginByItsTimeout) {
  FakeHost host(FakeHost::hedging_config());
  for (RequestId id = 1; id <= 40; ++id) host.request(id, 0, id);
  const std::size_t in = host.sends.size();
  ASSERT_LT(in, 40U);  // the rest waits for room
  for (std::size_t i = 0; i < in; ++i) host.result(i, Outcome::served);
  ASSERT_GT(host.sends.size(), in);
  host.advance(350 * kMs);
  for (const Send& sent : host.sends) {
    // Only what waited in vain: it never got in.
    if (sent.server == kOrigin) {
      EXPECT_EQ(sent.attempt, 0U);
    }
  }
}

// How long a read that finds no room stands before it is turned away, or read at the origin.
Time stood(FakeHost& host, RequestId id) {
  const Time came = host.now;
  host.request(id, 0, id);
  while (host.sends_of(id) == 0 && !host.ended.contains(id)) host.advance(kMs);
  return host.now - came;
}

TEST(Admission, ABurstMayWaitAndAStandingQueueTimesOutWithinAnAnswersTime) {
  FakeHost host;
  host.answer_reads(10 * kMs);
  RequestId next = 5'000;
  do {
    ++next;
    host.request(next, 0, next);
  } while (host.sends_of(next) == 1);  // as many as there is room for
  EXPECT_GE(stood(host, 1), 150 * kMs);
  // From now on there is always one that waits.
  for (int i = 0; i < 300; ++i) {
    ++next;
    host.request(next, 0, next);
    host.advance(2 * kMs);
  }
  EXPECT_LE(stood(host, 2), 20 * kMs);
}

// Whenever the only server may be asked again, another asks it first and is told that it is full.
TEST(Admission, WhereAllEndpointsAreFullAReadIsNotQueuedBeyondHalfItsObjective) {
  FakeHost host(FakeHost::aside_config(), 1);
  host.answer_reads(10 * kMs);
  const Time came = host.now + 2 * kMs;
  for (RequestId other = 2'000; other < 2'400; ++other) {
    host.request(other, 0, other);
    ASSERT_EQ(host.sends_of(other), 1U);
    host.result(host.sends.size() - 1, Outcome::overloaded);
    host.advance(2 * kMs);
    if (other == 2'000) host.request(1, 0, 1);
    if (host.sends_of(1) > 0 || host.ended.contains(1)) break;
    host.advance(3 * kMs);
  }
  EXPECT_GE(host.now - came, 450 * kMs);
  EXPECT_LE(host.now - came, 550 * kMs);
  EXPECT_EQ(host.ended[1], "refused");
}

TEST(Admission, UnderCongestionTheTenantOverItsQuotaIsShedFirst) {
  Config config = FakeHost::hedging_config();
  config.tenants = {{20}, {2'000}};
  config.can_hedge = false;
  FakeHost host(config);
  std::map<std::uint32_t, int> refused;
  for (RequestId id = 1; id <= 400; ++id) {
    const std::uint32_t tenant = id % 2;
    host.request(id, 0, id, tenant);
    if (host.ended.contains(id)) {
      ++refused[tenant];
      continue;
    }
    const std::size_t mine = host.sends.size() - 1;
    host.advance(550 * kMs);
    host.result(mine, Outcome::served);
    for (RequestId more = 0; more < 10; ++more) {
      host.request(10'000 + id * 10 + more, 0, more, 0);
      if (!host.ended.contains(10'000 + id * 10 + more)) host.result(host.sends.size() - 1, Outcome::served);
    }
  }
  EXPECT_GT(refused[0] + 1, refused[1]);
}

// What a quiet router has in flight at a tick is mostly nothing: slow answers must not make a limit of that.
TEST(CacheLimit, AQuietRouterWithSlowAnswersGoesOnOneAtATime) {
  Config config = FakeHost::aside_config();
  config.routers = 300;
  FakeHost host(config, 150);
  for (RequestId id = 1; id <= 200; ++id) {
    host.request(id, 0, id);
    ASSERT_EQ(host.sends.size(), id) << "held at the entry";
    host.advance(600 * kMs);  // of an aim of 1 s
    host.result(id - 1, Outcome::served);
    host.advance(50 * kMs);
  }
}

}  // namespace
}  // namespace streampick::test
