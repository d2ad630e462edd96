// The budget of descriptors: floors hold whatever is asked for, and in whatever order.
#include "overload/descriptors.h"

#include <gtest/gtest.h>

#include <random>

namespace streampick::overload::test {
namespace {

using Side = Descriptors::Side;

TEST(Descriptors, OneSideMayHoldAllButTheOthersFloor) {
  Descriptors budget({100, 30, 20});
  while (budget.has_room(Side::clients)) budget.take(Side::clients);
  EXPECT_EQ(budget.used(Side::clients), 80U);
  EXPECT_TRUE(budget.borrows(Side::clients));
  while (budget.has_room(Side::servers)) budget.take(Side::servers);
  EXPECT_EQ(budget.used(Side::servers), 20U);
  EXPECT_FALSE(budget.borrows(Side::servers));
  budget.give(Side::clients);
  EXPECT_TRUE(budget.has_room(Side::servers));  // what is given back is lent to whoever asks first
  budget.take(Side::servers);
  EXPECT_FALSE(budget.has_room(Side::clients));
  EXPECT_EQ(budget.peak(Side::clients), 80U);
}

TEST(Descriptors, ASideBelowItsFloorAlwaysHasRoomAndTheTotalHolds) {
  std::mt19937 random(7);
  for (int round = 0; round < 50; ++round) {
    const std::size_t total = 3 + random() % 200, clients = random() % (total / 2 + 1),
                      servers = random() % (total - clients + 1);
    Descriptors budget({total, clients, servers});
    for (int step = 0; step < 2'000; ++step) {
      const Side side = random() % 2 == 0 ? Side::clients : Side::servers;
      if (random() % 5 < 3) {
        if (budget.used(side) < budget.floor(side)) {
          ASSERT_TRUE(budget.has_room(side));
        }
        if (budget.has_room(side)) budget.take(side);
      } else {
        budget.give(side);
      }
      ASSERT_LE(budget.used(Side::clients) + budget.used(Side::servers), total);
    }
  }
}

TEST(Descriptors, HalvedTheyTakeNoMoreUntilWhatIsOverIsGivenBack) {
  Descriptors all(Descriptors::Limits{100, 30, 30});
  for (int i = 0; i < 70; ++i) all.take(Descriptors::Side::clients);
  EXPECT_EQ(all.over(), 0U);
  all.halve(true);
  EXPECT_EQ(all.total(), 50U);
  EXPECT_EQ(all.over(), 20U);
  EXPECT_FALSE(all.has_room(Descriptors::Side::clients));
  for (int i = 0; i < 36; ++i) all.give(Descriptors::Side::clients);
  EXPECT_EQ(all.over(), 0U);
  EXPECT_TRUE(all.has_room(Descriptors::Side::clients));
  all.halve(false);
  EXPECT_EQ(all.total(), 100U);
  EXPECT_EQ(all.floor(Descriptors::Side::servers), 30U);
}

}  // namespace
}  // namespace streampick::overload::test
