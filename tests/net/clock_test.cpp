// net::Clock while the wall clock steps: monotonic time and timers are unaffected, and wall_time() follows.
#include "net/clock.h"

#include <gtest/gtest.h>

#include "engine/server_starts.h"

namespace streampick::test {
namespace {

constexpr Time kMs = 1'000, kSecond = 1'000'000, kHour = 3'600 * kSecond;

struct WallClockStep : ::testing::TestWithParam<Time> {
  // Tolerance of the comparisons, below the size of any step.
  static constexpr Time kNear = kSecond;
  void step() { steps += GetParam(); }
  Time now() {
    clock.next_batch();
    return clock.now();
  }

  Time steps = 0;
  boost::asio::io_context io{1};
  net::Clock clock{io, [this] { return net::system_wall_time() + steps; }};
};

TEST_P(WallClockStep, Clock_MonotonicTimeContinuesAndWallTimeFollows) {
  const Time before = now();
  EXPECT_NEAR(static_cast<double>(clock.wall_time() - before), 0, kNear);
  step();
  const Time after = now();
  EXPECT_GE(after, before);
  EXPECT_LT(after - before, kNear);
  EXPECT_NEAR(static_cast<double>(clock.wall_time() - after - GetParam()), 0, kNear);
}

TEST_P(WallClockStep, Timer_ExpiresInRealTime) {
  bool due = false;
  const auto timer = clock.timer([&] { due = true; });
  const auto start = net::Clock::Steady::now();
  step();
  timer->set(now() + 50 * kMs);
  while (!due) io.run_one();
  const auto took = net::Clock::Steady::now() - start;
  EXPECT_GE(took, std::chrono::milliseconds(50));
  EXPECT_LT(took, std::chrono::seconds(4));  // less than any step
}

TEST_P(WallClockStep, ServerStart_IsConvertedToMonotonicTime) {
  engine::ServerStarts starts(clock);
  step();
  const Time started = clock.wall_time();
  EXPECT_NEAR(static_cast<double>(now() - starts.start_at(started)), 0, kNear);
}

INSTANTIATE_TEST_SUITE_P(By, WallClockStep, ::testing::Values(5 * kSecond, -5 * kSecond, kHour, -kHour),
                         [](const auto& info) {
                           const Time seconds = info.param / kSecond;
                           return (seconds < 0 ? "Backward" : "Forward") + std::to_string(std::abs(seconds)) +
                                  "s";
                         });

TEST(WallOffset, ThreadSuspendedBetweenReadings_OffsetIsUnchanged) {
  Time monotonic = 0, wall = 1'000'000;
  int readings = 0;
  const auto offset = net::wall_offset(
      [&] {
        // The thread is suspended for a minute within the first sample.
        if (++readings == 1) monotonic += 60 * kSecond, wall += 60 * kSecond;
        return wall;
      },
      [&] { return monotonic; });
  EXPECT_EQ(offset, 1'000'000);
  EXPECT_EQ(readings, 2);
}

}  // namespace
}  // namespace streampick::test
