// Unit tests of budgets, concurrency limits and quotas.
#include <gtest/gtest.h>

#include "policy/cache_limit.h"
#include "policy/concurrency_limit.h"
#include "policy/origin_limit.h"
#include "policy/retry_budget.h"
#include "policy/tenant_quotas.h"
#include "policy/token_bucket.h"

namespace streampick::policy::test {
namespace {

TEST(TokenBucket, Refill_AddsTokensUpToTheCapacityAndOnlyWholeTokensAreTaken) {
  TokenBucket bucket(2);
  bucket.refill(5);
  EXPECT_TRUE(bucket.try_take());
  EXPECT_TRUE(bucket.try_take());
  EXPECT_FALSE(bucket.try_take());
  bucket.refill(0.5);
  EXPECT_FALSE(bucket.try_take());
  bucket.refill(0.5);
  EXPECT_TRUE(bucket.try_take());
}

TEST(RetryBudgetUnit, RetryAfterAnAttemptThatMayHaveRun_TakesAToken) {
  RetryBudget budget;
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(budget.try_retry(Outcome::error));
  }
  EXPECT_FALSE(budget.try_retry(Outcome::timeout));
  for (const Outcome outcome :
       {Outcome::overloaded, Outcome::connect_failed, Outcome::not_sent, Outcome::miss}) {
    EXPECT_TRUE(budget.try_retry(outcome));
  }
  budget.on_first_attempt();
  budget.on_first_attempt();
  EXPECT_TRUE(budget.try_retry(Outcome::reset));
  EXPECT_FALSE(budget.try_retry(Outcome::reset));
}

TEST(ConcurrencyLimitUnit, LimitBelowOne_PausesInProportionToTheDuration) {
  ConcurrencyLimit limit;
  limit.set_value(0.25);
  EXPECT_TRUE(limit.has_capacity(0, 0));
  limit.pause_after(100, 40, 1'000);
  EXPECT_EQ(limit.resumes_at(), 100 + 3 * 40);
  EXPECT_FALSE(limit.has_capacity(219, 0));
  EXPECT_TRUE(limit.has_capacity(220, 0));
  limit.pause_after(300, 40, 50);
  EXPECT_EQ(limit.resumes_at(), 350);
  limit.set_value(1);
  limit.pause_after(1'000, 40, 50);
  EXPECT_EQ(limit.resumes_at(), 350);
}

TEST(CacheLimitUnit, LimitInUseOrCongestion_IncreasesOrDecreasesTheLimit) {
  CongestionEstimate congestion;
  CacheLimit limit(congestion);
  EXPECT_TRUE(limit.initialize(1));
  EXPECT_FALSE(limit.initialize(5));
  EXPECT_TRUE(limit.try_admit(0, 2.9));
  EXPECT_FALSE(limit.try_admit(0, 3));
  limit.adjust({.in_flight = 0, .per_router_share = 1});  // in use, because it shed a request: 3.6
  EXPECT_TRUE(limit.try_admit(0, 3.5));
  limit.adjust({.in_flight = 0, .per_router_share = 1});  // not in use
  EXPECT_FALSE(limit.try_admit(0, 3.6));
  congestion.record_latency_share(10 * kSecond, 1);
  limit.adjust(
      {.in_flight = 0, .per_router_share = 1});  // nine tenths of one, but at least one attempt at a time
  EXPECT_TRUE(limit.try_admit(0, 0.9));
  EXPECT_FALSE(limit.try_admit(0, 1));
}

TEST(OriginLimitUnit, LimitInUse_GrowsAndIsDecreasedOncePerRoundTrip) {
  constexpr Time kObjective = 1'000'000;
  OriginLimit limit;
  limit.initialize(1);
  EXPECT_EQ(limit.value(), 4);
  AttemptState attempt;
  attempt.sent_at = 1'000;
  AttemptResult result;
  result.outcome = Outcome::served;
  limit.record_answer(attempt, result, kObjective, {.in_flight = 3, .has_queued_reads = false}, 2'000);
  EXPECT_EQ(limit.value(), 4.25);
  EXPECT_EQ(limit.mean_latency(), 1'000);
  limit.record_answer(attempt, result, kObjective, {.in_flight = 1, .has_queued_reads = false}, 2'000);
  EXPECT_EQ(limit.value(), 4.25);  // not in use
  result.outcome = Outcome::overloaded;
  limit.record_answer(attempt, result, kObjective, {.in_flight = 3, .has_queued_reads = false}, 3'000);
  limit.record_answer(attempt, result, kObjective, {.in_flight = 3, .has_queued_reads = false}, 3'100);
  EXPECT_DOUBLE_EQ(limit.value(), 4.25 * 0.8);
}

TEST(OriginLimitUnit, WritesInFlight_LeaveAShareOfTheLimitToReads) {
  OriginLimit limit;
  limit.initialize(1);
  EXPECT_TRUE(limit.allows_read_beside_writes(0, 9, 8));
  EXPECT_FALSE(limit.allows_read_beside_writes(0, 9, 7));
  EXPECT_TRUE(limit.allows_write(4));
  EXPECT_FALSE(limit.allows_write(5));
}

TEST(OriginLimitUnit, LeaseThatHasEnded_AllowsOnlyTheReservedAttempts) {
  OriginLimit limit;
  EXPECT_TRUE(limit.lease_allows(0, 1'000'000));
  Shares shares;
  shares.origin_reserved = 1;
  shares.origin_leased = 2;
  shares.origin_lease_end = 100;
  limit.set_lease(shares);
  EXPECT_TRUE(limit.lease_allows(99, 2));
  EXPECT_FALSE(limit.lease_allows(99, 3));
  EXPECT_FALSE(limit.lease_allows(100, 1));
}

TEST(TenantQuotasUnit, WithoutASharedRate_TheShareIsEven) {
  Config config;
  config.routers = 10;
  config.tenants = {{100}, {0}};
  TenantQuotas quotas(config);
  quotas.configure(config, config);
  const auto admitted = [&quotas](std::uint32_t tenant, Time now) {
    Request request;
    request.tenant = tenant;
    int count = 0;
    while (count < 200 && !quotas.is_over_quota(request, now)) {
      ++count;
    }
    return count;
  };
  EXPECT_EQ(admitted(0, 100 * kSecond), 22);  // 10 per second: the tokens of two seconds, plus two
  EXPECT_EQ(admitted(0, 101 * kSecond), 10);
  EXPECT_EQ(admitted(1, 101 * kSecond), 200);      // has no quota
  EXPECT_EQ(admitted(kNone, 101 * kSecond), 200);  // no tenant
  quotas.set_rates({30});
  EXPECT_EQ(admitted(0, 102 * kSecond), 30);
}

}  // namespace
}  // namespace streampick::policy::test
