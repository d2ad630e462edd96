/// The total load of all routers of a fleet on one starting server, where each router decides independently.
/// The simulation runs thirty or more modules in virtual time, and applies the strict bound for small budgets
/// as well.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "slow_start_world.h"

namespace streampick::test {
namespace {

struct BudgetTally {
  int over = 0;
  double worst = -1e9;
  std::size_t sent = 0;
};

BudgetTally simulate(SlowStartScenario fleet, std::uint64_t seeds) {
  BudgetTally out;
  for (fleet.seed = 1; fleet.seed <= seeds; ++fleet.seed) {
    SlowStartSimulation simulation(fleet);
    out.sent += simulation.run();
    const double over = simulation.worst_window(strict_slow_start_bound).over;
    out.worst = std::max(out.worst, over);
    out.over += over > 0 ? 1 : 0;
  }
  return out;
}

TEST(SlowStartFleet, ThirtyRouters_StayWithinTheBudgetOfTheServer) {
  const std::vector<std::pair<const char*, SlowStartScenario>> scenarios = {
      {"usual", {}},
      {"one key with a quarter of all reads", {.hot_share = 0.25, .hot_after = 2 * kWorldSecond}},
      {"one key with half of all reads from the start", {.hot_share = 0.5}},
      {"connection resets",
       {.hot_share = 0.25, .hot_after = kWorldSecond, .failed_share = 0.3, .failures = {Outcome::reset}}},
      {"all routers restarted with the server", {.hot_share = 0.25, .routers_restart = true}},
  };
  for (const auto& [name, fleet] : scenarios) {
    const BudgetTally tally = simulate(fleet, 20);
    EXPECT_EQ(tally.over, 0) << name << ": worst by " << tally.worst;
    RecordProperty(name, std::to_string(tally.worst));
    std::printf("%s: %zu sent, worst %.1f\n", name, tally.sent, tally.worst);
  }
}

TEST(SlowStartFleet, RoutersWithLittleTraffic_StayWithinTheBudgetOfTheServer) {
  const SlowStartScenario little_traffic{
      .routers = 120, .servers = 80, .hot_share = 0.25, .hot_after = 2 * kWorldSecond};
  const BudgetTally tally = simulate(little_traffic, 3);
  EXPECT_EQ(tally.over, 0) << "worst by " << tally.worst;
}

// The routers must also use the budget: a server without load would not warm up.
TEST(SlowStartFleet, StartingServer_GetsMostOfTheLoadWithoutABudget) {
  const SlowStartScenario scenario;
  const BudgetTally bounded = simulate(scenario, 5);
  SlowStartScenario unbounded = scenario;
  unbounded.overload_factor = 0;
  EXPECT_GT(bounded.sent, simulate(unbounded, 5).sent * 6 / 10);
}

// Checks that the simulation can detect a violation: without an overload factor the budget is exceeded.
TEST(SlowStartFleet, WithoutABudget_APopularKeyOverloadsTheServer) {
  const BudgetTally tally = simulate({.overload_factor = 0, .hot_share = 0.25}, 10);
  EXPECT_EQ(tally.over, 10) << "worst by " << tally.worst;
}

}  // namespace
}  // namespace streampick::test
