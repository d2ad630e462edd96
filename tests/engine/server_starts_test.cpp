// How starts that are told as Unix time are dated, on a clock whose wall time steps.
#include "engine/server_starts.h"

#include <gtest/gtest.h>

#include "engine/engine_fakes.h"

namespace streampick::test {
namespace {

constexpr Time kSecond = 1'000'000, kHour = 3'600 * kSecond;

engine::EndpointList list_of(std::vector<std::pair<std::string, Time>> servers, bool complete = false) {
  engine::EndpointList out;
  out.complete = complete;
  for (const auto& [id, started] : servers) {
    engine::ListedEndpoint listed{id, "127.0.0.1:1", {}};
    listed.member.started = started;
    out.members.push_back(listed);
  }
  return out;
}

// A process that runs for a minute and knows three servers that started an hour before it.
struct ServerStartsTest : ::testing::TestWithParam<Time> {
  ServerStartsTest() {
    const Time long_ago = time.wall_time() - kHour;
    const engine::EndpointList known = list_of({{"a", long_ago}, {"b", long_ago}, {"c", long_ago}}, true);
    starts.known_at_start(known);
    starts.on_endpoint_list(known);
    time.advance(60 * kSecond);
  }
  void tell(const std::string& id, Time started) { starts.on_endpoint_list(list_of({{id, started}})); }
  Time age_of(const std::string& id) { return time.now() - starts.start_of(id); }

  ManualTime time;
  engine::ServerStarts starts{time};
};
using ServerStartsSteps = ServerStartsTest;

TEST_F(ServerStartsTest, SteadyClock_KeepsListedStarts) {
  EXPECT_EQ(age_of("a"), kHour + 60 * kSecond);
  tell("new", time.now() - 3 * kSecond);
  EXPECT_EQ(age_of("new"), 3 * kSecond);
  tell("late", time.now() - 29 * kSecond);
  EXPECT_EQ(age_of("late"), 29 * kSecond);
  time.advance(3 * kHour);
  tell("after a quiet time", time.now() - kHour);
  EXPECT_EQ(age_of("after a quiet time"), kHour);
  EXPECT_EQ(age_of("new"), 3 * kHour + 3 * kSecond);
}

TEST_F(ServerStartsTest, StartOfZero_MeansLongAgo) {
  tell("new", 0);
  EXPECT_EQ(starts.start_of("new"), 0);
  EXPECT_EQ(starts.start_of("never listed"), 0);
}

TEST_F(ServerStartsTest, FutureStart_IsNow) {
  tell("new", time.wall_time() + kHour);
  EXPECT_EQ(age_of("new"), 0);
  time.advance(5 * kSecond);
  tell("new", time.wall_time() + kHour - 5 * kSecond);
  EXPECT_EQ(age_of("new"), 5 * kSecond);
}

TEST_F(ServerStartsTest, OldStartOfANewServer_IsNow) {
  time.advance(10 * kSecond);
  tell("known before", time.wall_time());
  tell("new", time.wall_time() - kHour);
  EXPECT_EQ(age_of("new"), 0);
}

TEST_F(ServerStartsTest, ServerListedAgainWithTheSameStart_KeepsIt) {
  engine::EndpointList gone = list_of({{"a", 0}});
  gone.members[0].member.phase = Phase::gone;
  starts.on_endpoint_list(gone);
  time.advance(10 * kSecond);
  tell("other", time.wall_time());
  tell("a", time.wall_time() - kHour - 70 * kSecond);
  EXPECT_EQ(age_of("a"), kHour + 70 * kSecond);
}

TEST_F(ServerStartsTest, ListOfAnotherSource_TrustsTheWallClock) {
  const Time long_ago = time.wall_time() - kHour;
  starts.on_endpoint_list(
      list_of({{"p", long_ago}, {"q", long_ago}, {"r", long_ago}, {"s", long_ago}}, true));
  EXPECT_EQ(age_of("p"), kHour);
}

TEST_F(ServerStartsTest, DepartedServers_AreRemovedBeyondABound) {
  const Time started = time.wall_time();
  tell("first", started);
  engine::EndpointList gone = list_of({{"first", started}});
  gone.members[0].member.phase = Phase::gone;
  starts.on_endpoint_list(gone);
  EXPECT_EQ(starts.start_of("first"), started);
  for (std::size_t i = 0; i <= engine::ServerStarts::kMaxDeparted; ++i) {
    const std::string id = "s-" + std::to_string(i);
    tell(id, started);
    engine::EndpointList list = list_of({{id, started}});
    list.members[0].member.phase = Phase::gone;
    starts.on_endpoint_list(list);
  }
  EXPECT_EQ(starts.start_of("first"), 0);
  EXPECT_NE(starts.start_of("a"), 0);
}

TEST_P(ServerStartsSteps, StartAfterTheStep_HasItsRealAge) {
  time.step_wall_clock(GetParam());
  time.advance(2 * kSecond);
  const Time started = time.wall_time();
  time.advance(kSecond);
  tell("new", started);
  EXPECT_EQ(age_of("new"), kSecond);
}

// Two readings of two clocks differ by some microseconds.
TEST_P(ServerStartsSteps, StartSlightlyInTheFuture_IsNow) {
  time.step_wall_clock(GetParam());
  for (const Time ahead : {Time{0}, Time{1}, engine::WallClockHistory::kMinStep})
    EXPECT_EQ(starts.start_at(time.wall_time() + ahead), time.now());
}

TEST_P(ServerStartsSteps, StartBeforeTheStep_IsNotOlderThanReal) {
  const Time started = time.wall_time();
  time.advance(3 * kSecond);
  time.step_wall_clock(GetParam());
  tell("new", started);
  EXPECT_GE(age_of("new"), 0);
  EXPECT_LE(age_of("new"), 3 * kSecond);
}

TEST_P(ServerStartsSteps, ConvertedStart_IsNotMovedByAStep) {
  const Time started = time.wall_time();
  tell("new", started);
  time.advance(kSecond);
  time.step_wall_clock(GetParam());
  tell("other", time.wall_time());
  tell("new", started);
  EXPECT_EQ(age_of("new"), kSecond);
}

TEST_P(ServerStartsSteps, StepForwardAndBack_MakesNoServerOlder) {
  time.step_wall_clock(GetParam());
  tell("first", time.wall_time());
  time.advance(2 * kSecond);
  const Time started = time.wall_time();
  time.advance(kSecond);
  time.step_wall_clock(-GetParam());
  tell("new", started);
  EXPECT_GE(age_of("new"), 0);
  EXPECT_LE(age_of("new"), kSecond);
}

// It may have been read in none of the times that the clock ran as it ran then.
TEST_P(ServerStartsSteps, ReadingUnderAFormerOffset_CountsOnlyForItsPeriod) {
  tell("before", time.wall_time());
  time.step_wall_clock(GetParam());
  tell("first", time.wall_time());
  time.advance(kSecond);
  time.step_wall_clock(-GetParam());
  tell("second", time.wall_time());
  tell("new", time.wall_time() + 2 * kSecond);
  EXPECT_EQ(age_of("new"), 0);
}

// What a process that begins after the step can know.
TEST_P(ServerStartsSteps, StepBeforeTheProcess_LeavesNewServersWithTheirSlowStart) {
  const Time before_the_step = time.wall_time();
  time.step_wall_clock(GetParam());
  engine::ServerStarts fresh(time);
  const Time after_the_step = time.wall_time();
  const engine::EndpointList known = list_of({{"a", 0}, {"after", after_the_step}}, true);
  fresh.known_at_start(known);
  fresh.on_endpoint_list(known);
  EXPECT_EQ(time.now() - fresh.start_of("after"), 0);
  time.advance(40 * kSecond);
  fresh.on_endpoint_list(list_of({{"other", time.wall_time()}}));
  fresh.on_endpoint_list(list_of({{"new", before_the_step}}));
  const Time age = time.now() - fresh.start_of("new");
  EXPECT_GE(age, 0);
  EXPECT_LE(age, 40 * kSecond);
}

TEST_P(ServerStartsSteps, EnabledServer_CountsFromThatMoment) {
  const Time called_back = time.wall_time();
  time.advance(kSecond);
  time.step_wall_clock(GetParam());
  const Time age = time.now() - starts.start_at(called_back);
  EXPECT_GE(age, 0);
  EXPECT_LE(age, kSecond);
  EXPECT_EQ(starts.start_at(time.wall_time()), time.now());
}

INSTANTIATE_TEST_SUITE_P(By, ServerStartsSteps, ::testing::Values(5 * kSecond, -5 * kSecond, kHour, -kHour),
                         [](const auto& info) {
                           const Time seconds = info.param / kSecond;
                           return (seconds < 0 ? "Back" : "Forth") + std::to_string(std::abs(seconds)) + "s";
                         });

}  // namespace
}  // namespace streampick::test
