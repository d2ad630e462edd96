#include "overload/cancelled.h"

#include <gtest/gtest.h>

namespace streampick::overload {
namespace {

constexpr long long kMs = 1'000;

CancelRules::Attempt young() {
  return {.waited = 5 * kMs, .usual = 10 * kMs, .draining = 0, .connections = 40};
}

TEST(CancelledAttempt, IsWaitedForWhileItsAnswerIsNear) {
  const CancelRules rules;
  EXPECT_EQ(rules.wait(young()), 40 * kMs);  // four times the usual
  auto old = young();
  old.waited = 39 * kMs;
  EXPECT_GT(rules.wait(old), 0);
  old.waited = 40 * kMs;  // stuck on something else than its work
  EXPECT_EQ(rules.wait(old), 0);
}

TEST(CancelledAttempt, OfAServerThatNeverAnsweredIsNotWaitedFor) {
  auto unknown = young();
  unknown.usual = 0;
  EXPECT_EQ(CancelRules().wait(unknown), 0);
}

TEST(CancelledAttempt, IsNeverWaitedForLongerThanWasSet) {
  Settings settings;
  settings.drain_wait = 15 * kMs;
  EXPECT_EQ(CancelRules(settings).wait(young()), 15 * kMs);
  settings.drain_wait = 0;
  EXPECT_EQ(CancelRules(settings).wait(young()), 0);
}

TEST(CancelledAttempt, ACrowdThatLeavesHoldsAShareOfTheConnectionsAndFewAtOneServer) {
  const CancelRules rules;
  auto crowd = young();
  std::size_t held = 0;
  while (rules.wait(crowd) > 0 && held < 1000) crowd.draining = ++held;
  EXPECT_EQ(held, 10U);  // a quarter of 40
  auto at_one = young();
  at_one.here = Settings{}.drain_here;
  EXPECT_EQ(rules.wait(at_one), 0);
  auto first = young();
  first.connections = 1;
  EXPECT_GT(rules.wait(first), 0);  // the only connection there is may be kept
}

}  // namespace
}  // namespace streampick::overload
