// The module's actions on event streams that are the same every time: a world drawn from a seed, with servers
// that answer, miss, stall, break and leave. A change of the text alone must leave every digest as it is; a
// change of what is decided changes them, and whoever makes it puts the new ones here on purpose.
#include <gtest/gtest.h>

#include "world.h"

namespace streampick::test {
namespace {

constexpr Time kMs = kWorldMs;

struct Recorded {
  Shape shape;
  std::uint64_t sends, cancels, refused, failed, digest;
};

void PrintTo(const Recorded& recorded, std::ostream* out) { *out << recorded.shape.name; }

class Replay : public ::testing::TestWithParam<Recorded> {};

TEST_P(Replay, TheSameEventsHaveTheSameActions) {
  const Recorded& recorded = GetParam();
  World world(recorded.shape);
  constexpr int kRequests = 6'000;
  const Tally& tally = world.run(kRequests);
  EXPECT_EQ(world.unanswered(), 0U);
  EXPECT_EQ(tally.sends, recorded.sends);
  EXPECT_EQ(tally.cancels, recorded.cancels);
  EXPECT_EQ(tally.refused, recorded.refused);
  EXPECT_EQ(tally.failed, recorded.failed);
  EXPECT_EQ(tally.digest, recorded.digest) << std::hex << tally.digest;
}

// All that was learned stays: the decisions are the very same.
TEST_P(Replay, SettingsGivenAnewChangeNothing) {
  World world(GetParam().shape);
  world.give_settings_each(50);
  EXPECT_EQ(world.run(6'000).digest, GetParam().digest);
}

INSTANTIATE_TEST_SUITE_P(
    Worlds, Replay,
    ::testing::Values(
        Recorded{{"calm", 1, 12, 4 * kMs, 5 * kMs, 2, false}, 6751, 1, 0, 1, 858496981135532026U},
        Recorded{{"crowded", 2, 8, 400, 40 * kMs, 20, false}, 2427, 52, 3909, 5, 11098090637783249614U},
        Recorded{{"broken", 3, 12, 3 * kMs, 20 * kMs, 250, false}, 7825, 204, 484, 335, 7187445829489056272U},
        Recorded{{"changing", 4, 12, 2 * kMs, 15 * kMs, 30, true}, 6949, 66, 11, 29, 4243912813175842721U},
        Recorded{{"large", 5, 200, 500, 10 * kMs, 30, true}, 6913, 27, 10, 35, 12015519027665592372U}),
    [](const auto& info) { return info.param.shape.name; });

// All caches stand still for 2 s while requests go on, and then answer all that waited at once.
TEST(AfterAStall, NothingComesAsAWave) {
  constexpr Time kEvery = 5 * kMs;
  World world({"stalled", 9, 12, kEvery, 10 * kMs, 0, false, 2'000 * kMs, 4'000 * kMs, true});
  world.run(1'600);
  std::map<Time, int> sends;  // by tenths of a second
  for (const Time at : world.sent_at()) ++sends[at / (100 * kMs)];
  int most = 0, before = 0;
  for (const auto& [tenth, count] : sends) {
    if (tenth < 20) before = std::max(before, count);
    if (tenth >= 40 && tenth < 60) most = std::max(most, count);
  }
  EXPECT_EQ(world.unanswered(), 0U);
  EXPECT_LE(most, 2 * before);
}

// Five caches that can do 625 requests a second together, asked 500; an eighth are writes, for the origin.
Shape bounded(const char* name) {
  Shape out{name, 21, 5, 2'000, 16 * kMs, 0, false};
  out.come_back = true;
  out.slots = 2;
  out.line = 8;
  out.origin_slots = 7;  // 109 a second where 64 are asked: 1.7 times that
  return out;
}

TEST(Burst, FourTimesTheLoadForTenSecondsAndBackCostsOnlyWhatIsTooMuch) {
  Shape shape = bounded("burst");
  shape.burst_from = 5'000 * kMs;
  shape.burst_to = 15'000 * kMs;
  shape.burst = 4;
  World world(shape);
  world.run(26'000);
  EXPECT_EQ(world.unanswered(), 0U);
  for (const auto& [second, is] : world.seconds()) {
    const bool burst = second >= 6 && second < 15, after = second >= 18 && second < 23;
    EXPECT_TRUE(!burst || is.good >= 560) << second << ": " << is.good;  // nine tenths of what can be done
    EXPECT_TRUE(!after || is.good >= is.asked * 95 / 100) << second << ": " << is.good;
  }
}

// With the refused who come back more is written than the origin can do, for as long as the caches are empty:
// were writes always first, no read would ever fill them again.
TEST(Flush, NineInTenCopiesVoidAtOnceDoNotPushTheOriginOver) {
  Shape shape = bounded("flush");
  shape.flush_at = 5'000 * kMs;
  World world(shape);
  world.run(15'000);
  EXPECT_EQ(world.unanswered(), 0U);
  EXPECT_LE(world.most_at_origin(), 3 * shape.origin_slots);
  for (const auto& [second, is] : world.seconds())
    EXPECT_TRUE(second < 25 || second >= 30 || is.good >= is.asked * 85 / 100) << second << ": " << is.good;
}

}  // namespace
}  // namespace streampick::test
