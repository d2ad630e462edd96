/// The slow start budget in fleets of 1 to 900 routers: in each window of time, all routers together send a
/// starting server at most its budget plus an allowance for chance, in all failure scenarios.
#include <gtest/gtest.h>

#include <cstdio>
#include <ostream>
#include <string>
#include <vector>

#include "slow_start_world.h"

namespace streampick::test {
namespace {

struct FleetSize {
  std::size_t routers;
  ServerId servers;
  double capacity;  // requests per second of one warm server
  std::uint64_t seeds;

  /// Used by GoogleTest to print the parameter; the default output is the bytes of the object.
  friend std::ostream& operator<<(std::ostream& out, const FleetSize& size) {
    return out << size.routers << " routers, " << size.servers << " servers";
  }
};

struct NamedScenario {
  const char* name;
  SlowStartScenario scenario;
};

// Result over all seeds: the number of runs that exceeded the bound, and the worst window.
struct BudgetResult {
  std::uint64_t exceeded = 0;
  SlowStartSimulation::Window worst;
};

BudgetResult simulate(SlowStartScenario scenario, std::uint64_t seeds) {
  BudgetResult out;
  for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed) {
    SlowStartSimulation simulation(scenario);
    simulation.run();
    const SlowStartSimulation::Window window = simulation.worst_window();
    if (window.over > 0) ++out.exceeded;
    if (window.over > out.worst.over) out.worst = window;
  }
  return out;
}

std::vector<NamedScenario> scenarios_of_load() {
  return {
      {"replaced", {}},
      {"hot key", {.hot_share = 0.25}},
      {"hot key after 2 s", {.hot_share = 0.25, .hot_after = 2 * kWorldSecond}},
      {"hot key after 8 s", {.hot_share = 0.25, .hot_after = 8 * kWorldSecond}},
      {"hot key with half of all requests", {.hot_share = 0.5}},
      {"hot key, uneven, burst", {.hot_share = 0.25, .uneven = true, .burst = 1.5}},
  };
}

std::vector<NamedScenario> scenarios_of_retries() {
  return {
      {"retries", {.hot_share = 0.25, .failed_share = 0.3}},
      {"cache fills", {.hot_share = 0.25, .fills = true}},
      {"cache fills and retries", {.hot_share = 0.25, .failed_share = 0.2, .fills = true}},
  };
}

std::vector<NamedScenario> scenarios_of_recovery() {
  return {
      {"crashed", {.hot_share = 0.25, .start = StartKind::crashed}},
      {"crashed, late notification",
       {.hot_share = 0.25, .start = StartKind::crashed, .max_notice_delay = kWorldSecond}},
      {"unhealthy", {.hot_share = 0.25, .start = StartKind::unhealthy}},
      {"flapping", {.hot_share = 0.25, .start = StartKind::flapping}},
      {"routers restart", {.hot_share = 0.25, .routers_restart = true}},
  };
}

class SlowStartBudget : public ::testing::TestWithParam<FleetSize> {
 protected:
  static void expect_within_budget(const std::vector<NamedScenario>& scenarios) {
    const FleetSize& size = GetParam();
    for (NamedScenario one : scenarios) {
      one.scenario.routers = size.routers;
      one.scenario.servers = size.servers;
      one.scenario.capacity = size.capacity;
      const auto [exceeded, worst] = simulate(one.scenario, size.seeds);
      EXPECT_EQ(exceeded, 0U) << one.name << ": " << worst.attempts << " attempts, at most " << worst.bound;
      std::printf("%zu routers, %s: %zu of %.1f in the worst window\n", size.routers, one.name,
                  worst.attempts, worst.bound);
    }
  }
};

TEST_P(SlowStartBudget, PopularKey_BudgetIsKept) { expect_within_budget(scenarios_of_load()); }
TEST_P(SlowStartBudget, RetriesAndCacheFills_BudgetIsKept) { expect_within_budget(scenarios_of_retries()); }
TEST_P(SlowStartBudget, RecoveredServer_BudgetIsKept) { expect_within_budget(scenarios_of_recovery()); }

// Each router gets 40 requests per second in a fleet of one, 20 in a fleet of two, and 13.5 in fleets of 5
// and 30. In the large fleets it gets less, or the servers have more capacity.
INSTANTIATE_TEST_SUITE_P(Fleets, SlowStartBudget,
                         ::testing::Values(FleetSize{1, 6, 15, 10}, FleetSize{2, 6, 15, 10},
                                           FleetSize{5, 10, 15, 10}, FleetSize{30, 60, 15, 4},
                                           FleetSize{300, 60, 45, 1}, FleetSize{900, 120, 15, 1}),
                         [](const auto& size) { return "Of" + std::to_string(size.param.routers); });

}  // namespace
}  // namespace streampick::test
