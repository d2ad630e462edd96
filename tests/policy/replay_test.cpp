// Regression tests of the module's actions on reproducible event streams, from a simulation with a fixed seed
// and with servers that answer, miss, stall, fail and leave. Refactoring must not change the digests. A
// change that modifies decisions on purpose also updates the digests here.
#include <gtest/gtest.h>

#include "world.h"

namespace streampick::test {
namespace {

constexpr Time kMs = kWorldMs;

struct Recorded {
  Scenario scenario;
  std::uint64_t sends, cancels, rejected, failed, digest;
};

void PrintTo(const Recorded& recorded, std::ostream* out) { *out << recorded.scenario.name; }

class Replay : public ::testing::TestWithParam<Recorded> {};

TEST_P(Replay, SameEvents_GiveTheRecordedActions) {
  const Recorded& recorded = GetParam();
  Simulation simulation(recorded.scenario);
  constexpr int kRequests = 6'000;
  const ActionCounts& counts = simulation.run(kRequests);
  EXPECT_EQ(simulation.unanswered(), 0U);
  EXPECT_EQ(counts.sends, recorded.sends);
  EXPECT_EQ(counts.cancels, recorded.cancels);
  EXPECT_EQ(counts.rejected, recorded.rejected);
  EXPECT_EQ(counts.failed, recorded.failed);
  EXPECT_EQ(counts.digest, recorded.digest) << std::hex << counts.digest;
}

// Equal settings that are applied again must not reset any statistics, so all decisions stay the same.
TEST_P(Replay, EqualSettingsAppliedAgain_ChangeNoAction) {
  Simulation simulation(GetParam().scenario);
  simulation.reapply_settings_every(50);
  EXPECT_EQ(simulation.run(6'000).digest, GetParam().digest);
}

INSTANTIATE_TEST_SUITE_P(
    Scenarios, Replay,
    ::testing::Values(
        Recorded{{"calm", 1, 12, 4 * kMs, 5 * kMs, 2, false}, 6751, 1, 0, 1, 858496981135532026U},
        Recorded{{"crowded", 2, 8, 400, 40 * kMs, 20, false}, 2427, 52, 3909, 5, 11098090637783249614U},
        Recorded{{"broken", 3, 12, 3 * kMs, 20 * kMs, 250, false}, 7825, 204, 484, 335, 7187445829489056272U},
        Recorded{{"changing", 4, 12, 2 * kMs, 15 * kMs, 30, true}, 6949, 66, 11, 29, 4243912813175842721U},
        Recorded{{"large", 5, 200, 500, 10 * kMs, 30, true}, 6913, 27, 10, 35, 12015519027665592372U}),
    [](const auto& info) { return info.param.scenario.name; });

// All caches stop answering for 2 s while requests continue to arrive, and then answer all waiting requests
// at once.
TEST(AfterAStall, WaitingRequests_CauseNoBurstOfAttempts) {
  constexpr Time kMeanInterval = 5 * kMs;
  Simulation simulation(
      {"stalled", 9, 12, kMeanInterval, 10 * kMs, 0, false, 2'000 * kMs, 4'000 * kMs, true});
  simulation.run(1'600);
  std::map<Time, int> sends;  // by tenth of a second, in simulated time
  for (const Time at : simulation.sent_at()) ++sends[at / (100 * kMs)];
  int most = 0, before = 0;
  for (const auto& [tenth, count] : sends) {
    if (tenth < 20) before = std::max(before, count);
    if (tenth >= 40 && tenth < 60) most = std::max(most, count);
  }
  EXPECT_EQ(simulation.unanswered(), 0U);
  EXPECT_LE(most, 2 * before);
}

// Five caches with a total capacity of 625 requests per second and a load of 500 per second, of which an
// eighth are writes, which go to the origin.
Scenario limited_capacity(const char* name) {
  Scenario out{name, 21, 5, 2'000, 16 * kMs, 0, false};
  out.clients_retry = true;
  out.slots = 2;
  out.queue_length = 8;
  out.origin_slots = 7;  // a capacity of 109 per second, 1.7 times the load of 64 per second
  return out;
}

TEST(Burst, FourTimesTheLoadForTenSeconds_OnlyTheExcessIsRejected) {
  Scenario scenario = limited_capacity("burst");
  scenario.burst_from = 5'000 * kMs;
  scenario.burst_to = 15'000 * kMs;
  scenario.burst_factor = 4;
  Simulation simulation(scenario);
  simulation.run(26'000);
  EXPECT_EQ(simulation.unanswered(), 0U);
  for (const auto& [second, counts] : simulation.seconds()) {
    const bool burst = second >= 6 && second < 15, after = second >= 18 && second < 23;
    EXPECT_TRUE(!burst || counts.in_time >= 560)
        << second << ": " << counts.in_time;  // nine tenths of the capacity
    EXPECT_TRUE(!after || counts.in_time >= counts.requests * 95 / 100) << second << ": " << counts.in_time;
  }
}

// While the caches are empty, writes including the retries of rejected clients exceed the capacity of the
// origin. If writes always had priority, no read would fill the caches again.
TEST(Flush, NineInTenCachedValuesLostAtOnce_DoNotOverloadTheOrigin) {
  Scenario scenario = limited_capacity("flush");
  scenario.flush_at = 5'000 * kMs;
  Simulation simulation(scenario);
  simulation.run(15'000);
  EXPECT_EQ(simulation.unanswered(), 0U);
  EXPECT_LE(simulation.max_at_origin(), 3 * scenario.origin_slots);
  for (const auto& [second, counts] : simulation.seconds())
    EXPECT_TRUE(second < 25 || second >= 30 || counts.in_time >= counts.requests * 85 / 100)
        << second << ": " << counts.in_time;
}

}  // namespace
}  // namespace streampick::test
