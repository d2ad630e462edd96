#include "overload/descriptor_budget.h"

#include <gtest/gtest.h>

#include <random>

namespace streampick::overload::test {
namespace {

using Side = DescriptorBudget::Side;

TEST(DescriptorBudget, OneSideTakesAll_OtherSideKeepsItsMinimum) {
  DescriptorBudget budget({.total = 100, .downstream_minimum = 30, .upstream_minimum = 20});
  while (budget.has_capacity(Side::downstream)) budget.reserve(Side::downstream);
  EXPECT_EQ(budget.used(Side::downstream), 80U);
  EXPECT_TRUE(budget.exceeds_minimum(Side::downstream));
  while (budget.has_capacity(Side::upstream)) budget.reserve(Side::upstream);
  EXPECT_EQ(budget.used(Side::upstream), 20U);
  EXPECT_FALSE(budget.exceeds_minimum(Side::upstream));
  budget.release(Side::downstream);
  // Released capacity goes to whichever side needs it first.
  EXPECT_TRUE(budget.has_capacity(Side::upstream));
  budget.reserve(Side::upstream);
  EXPECT_FALSE(budget.has_capacity(Side::downstream));
  EXPECT_EQ(budget.peak(Side::downstream), 80U);
}

TEST(DescriptorBudget, DrawnReservations_SideBelowItsMinimumHasCapacityAndTheTotalHolds) {
  std::mt19937 random(7);
  for (int round = 0; round < 50; ++round) {
    const std::size_t total = 3 + random() % 200;
    const std::size_t downstream_minimum = random() % (total / 2 + 1);
    const std::size_t upstream_minimum = random() % (total - downstream_minimum + 1);
    DescriptorBudget budget(
        {.total = total, .downstream_minimum = downstream_minimum, .upstream_minimum = upstream_minimum});
    for (int step = 0; step < 2'000; ++step) {
      const Side side = random() % 2 == 0 ? Side::downstream : Side::upstream;
      if (random() % 5 < 3) {
        if (budget.used(side) < budget.minimum(side)) {
          ASSERT_TRUE(budget.has_capacity(side));
        }
        if (budget.has_capacity(side)) budget.reserve(side);
      } else {
        budget.release(side);
      }
      ASSERT_LE(budget.used(Side::downstream) + budget.used(Side::upstream), total);
    }
  }
}

TEST(DescriptorBudget, Halved_HasNoCapacityUntilTheExcessIsReleased) {
  DescriptorBudget budget({.total = 100, .downstream_minimum = 30, .upstream_minimum = 30});
  for (int i = 0; i < 70; ++i) budget.reserve(Side::downstream);
  EXPECT_EQ(budget.excess(), 0U);
  budget.set_halved(true);
  EXPECT_EQ(budget.total(), 50U);
  EXPECT_EQ(budget.excess(), 20U);
  EXPECT_FALSE(budget.has_capacity(Side::downstream));
  for (int i = 0; i < 36; ++i) budget.release(Side::downstream);
  EXPECT_EQ(budget.excess(), 0U);
  EXPECT_TRUE(budget.has_capacity(Side::downstream));
  budget.set_halved(false);
  EXPECT_EQ(budget.total(), 100U);
  EXPECT_EQ(budget.minimum(Side::upstream), 30U);
}

}  // namespace
}  // namespace streampick::overload::test
