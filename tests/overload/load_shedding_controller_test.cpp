#include "overload/load_shedding_controller.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

#include "overload/retry_after.h"

namespace streampick::overload::test {
namespace {

constexpr Time kMs = 1'000;
constexpr Time kSecond = 1'000 * kMs;

// A simulated event loop: requests arrive at fixed intervals, each costs `work` us to serve and a fifth of
// that to reject. The probe waits behind all work that is queued.
struct SimulatedLoop {
  LoadSheddingController controller;
  Time now = 1;
  Time cpu_time = 0;
  Time max_queued_work = 0;
  double queued_work = 0;  // us
  std::uint64_t id = 0;
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;
  std::uint64_t low_weight_rejected = 0;
  std::uint64_t high_weight_rejected = 0;
  std::uint64_t protected_rejected = 0;

  // Returns the number of requests served.
  std::uint64_t run(Time duration, Time interval, Time work) {
    const std::uint64_t served_before = served;
    max_queued_work = 0;
    for (const Time end = now + duration; now < end; now += interval) {
      queued_work = std::max(0.0, queued_work - static_cast<double>(interval));
      controller.on_probe_run(now, static_cast<Time>(queued_work), [this] { return cpu_time; });
      ++id;
      const bool is_rejected = reject_next();
      const Time cost = is_rejected ? work / 5 : work;
      queued_work += static_cast<double>(cost);
      cpu_time += cost;
      max_queued_work = std::max(max_queued_work, static_cast<Time>(queued_work));
    }
    return served - served_before;
  }

 private:
  bool reject_next() {
    const bool has_low_weight = id % 2 == 0;
    const bool is_protected = id % 20 == 1;
    const bool is_rejected = controller.should_reject(
        {.weight = has_low_weight ? 0.2 : 1.0, .time_left = kSecond, .is_protected = is_protected, .id = id});
    if (!is_rejected) {
      ++served;
      return false;
    }
    ++rejected;
    ++(has_low_weight ? low_weight_rejected : high_weight_rejected);
    if (is_protected) ++protected_rejected;
    return true;
  }
};

TEST(LoadSheddingController, BusyLoopThatKeepsUp_RejectsNothing) {
  SimulatedLoop loop;
  loop.run(20 * kSecond, 100, 95);
  EXPECT_EQ(loop.rejected, 0U);
  EXPECT_EQ(loop.controller.level(), 0);
}

TEST(LoadSheddingController, ThreeTimesTheLoad_LagIsBoundedAndMostOfTheCapacityServes) {
  SimulatedLoop loop;
  loop.run(4 * kSecond, 33, 100);  // until the level is steady
  const std::uint64_t served = loop.run(20 * kSecond, 33, 100);
  // Without load shedding the queue would have grown by 40 s.
  EXPECT_LT(loop.max_queued_work, 1 * kSecond);
  // 200,000 would use all CPU time; each rejection costs a fifth of a request.
  EXPECT_GT(served, 90'000U);
  EXPECT_GT(loop.low_weight_rejected, loop.high_weight_rejected);
  EXPECT_EQ(loop.protected_rejected, 0U);
}

TEST(LoadSheddingController, LoadFalls_AllRequestsAreAdmittedAgain) {
  SimulatedLoop loop;
  loop.run(10 * kSecond, 33, 100);
  ASSERT_GT(loop.controller.level(), 0.3);
  loop.run(10 * kSecond, 200, 100);
  EXPECT_EQ(loop.controller.level(), 0);
  const std::uint64_t rejected = loop.rejected;
  loop.run(5 * kSecond, 200, 100);
  EXPECT_EQ(loop.rejected, rejected);
}

TEST(LoadSheddingController, OverloadEnds_EveryClassIsAdmittedAgainWithinThreeSeconds) {
  for (const double weight : {0.0, 0.2, 0.5, 1.0}) {
    LoadSheddingController controller;
    Time now = 1;
    for (int i = 0; i < 100; ++i)
      controller.on_probe_run(now += 100 * kMs, 2 * kSecond, [] { return Time{0}; });
    ASSERT_GT(controller.level(), 0.9);
    const Time overload_ended_at = now;
    std::uint64_t id = 0;
    do {
      controller.on_probe_run(now += 50 * kMs, 0, [] { return Time{0}; });
      ++id;
    } while (controller.should_reject({.weight = weight, .time_left = 400 * kMs, .id = id}));
    // The requirement: no class is rejected for 4 s.
    EXPECT_LT(now - overload_ended_at, 3 * kSecond) << weight;
  }
}

TEST(LoadSheddingController, RequestThatCannotBeAnsweredInTime_IsRejectedFirst) {
  LoadSheddingController controller;
  Time now = 1;
  for (int i = 0; i < 30; ++i) controller.on_probe_run(now += 10 * kMs, 100 * kMs, [] { return Time{0}; });
  ASSERT_GT(controller.level(), 0);
  EXPECT_TRUE(controller.should_reject({.weight = 1, .time_left = 200 * kMs, .id = ~0ULL / 3}));
  // Of those with enough time left and the highest weight, most are admitted.
  int admitted = 0;
  for (std::uint64_t id = 0; id < 1000; ++id)
    admitted += controller.should_reject({.weight = 1, .time_left = 10 * kSecond, .id = id}) ? 0 : 1;
  EXPECT_GT(admitted, 500);
}

TEST(LoadSheddingController, LongTimeWithoutProbes_LevelIsReset) {
  LoadSheddingController controller;
  Time now = 1;
  for (int i = 0; i < 30; ++i) controller.on_probe_run(now += 10 * kMs, 100 * kMs, [] { return Time{0}; });
  ASSERT_GT(controller.level(), 0);
  controller.on_probe_queued(now + 100 * kMs);
  EXPECT_GT(controller.level(), 0);
  controller.on_probe_queued(now + 3 * kSecond);
  EXPECT_EQ(controller.level(), 0);
}

TEST(LoadSheddingController, TargetLagZero_IsDisabledAndRejectsNothing) {
  Settings settings;
  settings.target_loop_lag = 0;
  LoadSheddingController controller(settings);
  EXPECT_TRUE(controller.is_disabled());
  EXPECT_FALSE(controller.should_reject({.weight = 0, .time_left = 1, .id = 1}));
}

TEST(LoadSheddingController, SaturatedCpu_CountsAsOverloadOnlyNearTheTargetLag) {
  Settings settings;
  LoadSheddingController low_lag(settings, 0.5);
  LoadSheddingController high_lag(settings, 0.5);
  Time now = 1;
  Time cpu_time = 0;
  for (int i = 0; i < 100; ++i) {
    now += 10 * kMs;
    cpu_time += 5 * kMs;  // all of half a core
    low_lag.on_probe_run(now, 1 * kMs, [&] { return cpu_time; });
    high_lag.on_probe_run(now, 50 * kMs, [&] { return cpu_time; });
  }
  EXPECT_EQ(low_lag.level(), 0);
  EXPECT_GT(high_lag.level(), 0);
}

TEST(RetryAfterJitter, ManyRejectedClients_GetTimesSpreadWithinTheMaximum) {
  const RetryAfterJitter jitter(2 * kSecond);
  std::array<int, 20> histogram{};
  for (int i = 0; i < 1000; ++i) {
    const Time retry_after = jitter.at_level(0.5, i / 1000.0);
    ASSERT_GE(retry_after, kMs);
    ASSERT_LE(retry_after, 2 * kSecond);
    ++histogram[static_cast<std::size_t>(std::min<Time>(19, retry_after / (100 * kMs)))];
  }
  // No tenth of a second gets more than a fifth of them.
  EXPECT_LE(*std::max_element(histogram.begin(), histogram.end()), 200);
  EXPECT_EQ(RetryAfterJitter(0).around(kSecond, 0.5), 0);  // none is allowed
}

}  // namespace
}  // namespace streampick::overload::test
