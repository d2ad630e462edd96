// Conversion of server starts from Unix time to monotonic time while the wall clock steps.
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

// A process that has run for a minute and knows three servers that started an hour before it.
struct ServerStartsTest : ::testing::TestWithParam<Time> {
  ServerStartsTest() {
    const Time long_ago = time.wall_time() - kHour;
    const engine::EndpointList known = list_of({{"a", long_ago}, {"b", long_ago}, {"c", long_ago}}, true);
    starts.known_at_start(known);
    starts.on_endpoint_list(known);
    time.advance(60 * kSecond);
  }
  void list_server(const std::string& id, Time started) { starts.on_endpoint_list(list_of({{id, started}})); }
  Time age_of(const std::string& id) { return time.now() - starts.start_of(id); }

  ManualTime time;
  engine::ServerStarts starts{time};
};
using ServerStartsSteps = ServerStartsTest;

TEST_F(ServerStartsTest, SteadyClock_KeepsListedStarts) {
  EXPECT_EQ(age_of("a"), kHour + 60 * kSecond);
  list_server("new", time.now() - 3 * kSecond);
  EXPECT_EQ(age_of("new"), 3 * kSecond);
  list_server("late", time.now() - 29 * kSecond);
  EXPECT_EQ(age_of("late"), 29 * kSecond);
  time.advance(3 * kHour);
  list_server("after an idle period", time.now() - kHour);
  EXPECT_EQ(age_of("after an idle period"), kHour);
  EXPECT_EQ(age_of("new"), 3 * kHour + 3 * kSecond);
}

TEST_F(ServerStartsTest, StartOfZero_MeansLongAgo) {
  list_server("new", 0);
  EXPECT_EQ(starts.start_of("new"), 0);
  EXPECT_EQ(starts.start_of("never listed"), 0);
}

TEST_F(ServerStartsTest, FutureStart_IsNow) {
  list_server("new", time.wall_time() + kHour);
  EXPECT_EQ(age_of("new"), 0);
  time.advance(5 * kSecond);
  list_server("new", time.wall_time() + kHour - 5 * kSecond);
  EXPECT_EQ(age_of("new"), 5 * kSecond);
}

TEST_F(ServerStartsTest, OldStartOfANewServer_IsNow) {
  time.advance(10 * kSecond);
  list_server("known before", time.wall_time());
  list_server("new", time.wall_time() - kHour);
  EXPECT_EQ(age_of("new"), 0);
}

TEST_F(ServerStartsTest, ServerListedAgainWithTheSameStart_KeepsIt) {
  engine::EndpointList gone = list_of({{"a", 0}});
  gone.members[0].member.phase = Phase::gone;
  starts.on_endpoint_list(gone);
  time.advance(10 * kSecond);
  list_server("other", time.wall_time());
  list_server("a", time.wall_time() - kHour - 70 * kSecond);
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
  list_server("first", started);
  engine::EndpointList gone = list_of({{"first", started}});
  gone.members[0].member.phase = Phase::gone;
  starts.on_endpoint_list(gone);
  EXPECT_EQ(starts.start_of("first"), started);
  for (std::size_t i = 0; i <= engine::ServerStarts::kMaxDeparted; ++i) {
    const std::string id = "s-" + std::to_string(i);
    list_server(id, started);
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
  list_server("new", started);
  EXPECT_EQ(age_of("new"), kSecond);
}

// Readings of two clocks at nearly the same time differ by some microseconds.
TEST_P(ServerStartsSteps, StartSlightlyInTheFuture_IsNow) {
  time.step_wall_clock(GetParam());
  for (const Time ahead : {Time{0}, Time{1}, engine::WallClockHistory::kMinStep})
    EXPECT_EQ(starts.start_at(time.wall_time() + ahead), time.now());
}

TEST_P(ServerStartsSteps, StartBeforeTheStep_IsNotOlderThanReal) {
  const Time started = time.wall_time();
  time.advance(3 * kSecond);
  time.step_wall_clock(GetParam());
  list_server("new", started);
  EXPECT_GE(age_of("new"), 0);
  EXPECT_LE(age_of("new"), 3 * kSecond);
}

TEST_P(ServerStartsSteps, ConvertedStart_IsNotMovedByAStep) {
  const Time started = time.wall_time();
  list_server("new", started);
  time.advance(kSecond);
  time.step_wall_clock(GetParam());
  list_server("other", time.wall_time());
  list_server("new", started);
  EXPECT_EQ(age_of("new"), kSecond);
}

TEST_P(ServerStartsSteps, StepForwardAndBack_MakesNoServerOlder) {
  time.step_wall_clock(GetParam());
  list_server("first", time.wall_time());
  time.advance(2 * kSecond);
  const Time started = time.wall_time();
  time.advance(kSecond);
  time.step_wall_clock(-GetParam());
  list_server("new", started);
  EXPECT_GE(age_of("new"), 0);
  EXPECT_LE(age_of("new"), kSecond);
}

// The wall clock reads a start during an earlier offset only if that offset was in force at that time.
TEST_P(ServerStartsSteps, ReadingUnderAFormerOffset_CountsOnlyForItsPeriod) {
  list_server("before", time.wall_time());
  time.step_wall_clock(GetParam());
  list_server("first", time.wall_time());
  time.advance(kSecond);
  time.step_wall_clock(-GetParam());
  list_server("second", time.wall_time());
  list_server("new", time.wall_time() + 2 * kSecond);
  EXPECT_EQ(age_of("new"), 0);
}

// A process that began after the step cannot know the step.
TEST_P(ServerStartsSteps, StepBeforeTheProcess_LeavesNewServersWithTheirSlowStart) {
  const Time before_step = time.wall_time();
  time.step_wall_clock(GetParam());
  engine::ServerStarts fresh(time);
  const Time after_step = time.wall_time();
  const engine::EndpointList known = list_of({{"a", 0}, {"after", after_step}}, true);
  fresh.known_at_start(known);
  fresh.on_endpoint_list(known);
  EXPECT_EQ(time.now() - fresh.start_of("after"), 0);
  time.advance(40 * kSecond);
  fresh.on_endpoint_list(list_of({{"other", time.wall_time()}}));
  fresh.on_endpoint_list(list_of({{"new", before_step}}));
  const Time age = time.now() - fresh.start_of("new");
  EXPECT_GE(age, 0);
  EXPECT_LE(age, 40 * kSecond);
}

TEST_P(ServerStartsSteps, EnabledServer_CountsFromThatMoment) {
  const Time enabled_at = time.wall_time();
  time.advance(kSecond);
  time.step_wall_clock(GetParam());
  const Time age = time.now() - starts.start_at(enabled_at);
  EXPECT_GE(age, 0);
  EXPECT_LE(age, kSecond);
  EXPECT_EQ(starts.start_at(time.wall_time()), time.now());
}

INSTANTIATE_TEST_SUITE_P(By, ServerStartsSteps, ::testing::Values(5 * kSecond, -5 * kSecond, kHour, -kHour),
                         [](const auto& info) {
                           const Time seconds = info.param / kSecond;
                           return (seconds < 0 ? "Backward" : "Forward") + std::to_string(std::abs(seconds)) +
                                  "s";
                         });

}  // namespace
}  // namespace streampick::test
