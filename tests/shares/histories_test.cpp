// Simulated fleets of 3 to 300 routers that share limits, on virtual time, each with its own membership view.
// Datagrams are lost, duplicated, delayed by seconds and cut off; processes are killed, suspended and
// restarted; clocks differ in speed. At every event the use of a hard limit must be within its total, and
// after the faults end, all demand must be leased within the recovery bound.
#include <gtest/gtest.h>

#include "emulator/simulated_network.h"
#include "membership/bounds.h"
#include "occupancy.h"
#include "shares/bounds.h"

namespace streampick::leases::test {
namespace {

constexpr LimitId kPlaces = 8, kQuota = 9;

// Upper bound, in seconds, on the time until all views agree, for a gossip period of one second.
double membership_settle_seconds(std::size_t size) { return membership::settle_periods(size, 1'200); }

struct Fleet {
  Fleet(std::size_t size, std::uint64_t seed, double total, double quota = 600,
        const membership::Settings& view = {}, const std::string& name = {})
      : net(seed), random(seed) {
    net.settings = view;
    settings.expected_routers = static_cast<std::uint32_t>(size);
    for (std::uint32_t i = 0; i < std::min<std::size_t>(size, 5); ++i)
      settings.voters.push_back(membership::numbered(i * static_cast<std::uint32_t>(size) / 5));
    if (size < 5) settings.voters.resize(size < 3 ? 1 : 3);
    if (size < 5)
      for (std::uint32_t i = 0; i < settings.voters.size(); ++i) settings.voters[i] = membership::numbered(i);
    settings.max_work_duration = 2 * kSecond;
    settings.limits = {{"places", kPlaces, LimitKind::hard, total},
                       {"quota", kQuota, LimitKind::soft, quota}};
    net.shares = [this](std::size_t) { return std::optional(settings); };
    std::vector<std::size_t> all(size);
    for (std::size_t i = 0; i < size; ++i) all[i] = i;
    for (std::size_t i = 0; i < size; ++i) net.add(all, name.empty() ? "" : name + std::to_string(i));
    occupancies.resize(size);
    max_in_use.resize(size);
    rates.assign(size, 1);
    places_demand.assign(size, total);
    quota_demand.assign(size, quota / static_cast<double>(size));
    net.after_event = [this](std::size_t node) { observe(node); };
  }
  void start_all() {
    for (std::size_t i = 0; i < net.size(); ++i) start(i);
  }
  void start(std::size_t node) {
    if (net.is_up(node)) kill(node);
    net.start(node);
    report_demand(node);
  }
  void kill(std::size_t node) {
    net.kill(node);
    observe(node);
  }
  void report_demand(std::size_t node) {
    if (!net.is_up(node)) return;
    net.share(node).set_demand(net.now(node), kPlaces, places_demand[node], max_in_use[node]);
    net.share(node).set_demand(net.now(node), kQuota, quota_demand[node], 0);
  }
  // Each router starts as much work as it may, and the sum is checked at each event. A router's use can fall
  // without an event at that router, so the sum of the last observations is never too low; before a violation
  // is recorded, all routers are observed again.
  void observe(std::size_t node) {
    const bool up = net.is_up(node);
    if (up) {
      occupancies[node].observe(net.now(), net.share(node).allowance(kPlaces), net.now(node), rates[node],
                                settings.max_work_duration);
    } else {
      occupancies[node].process_ended();
    }
    sum_in_use -= max_in_use[node];
    sum_in_use += max_in_use[node] =
        occupancies[node].max_in_use(net.now(), settings.max_work_duration, rates[node]);
    if (up && !net.is_paused(node)) report_demand(node);
    if (sum_in_use <= settings.limits[0].total) return;
    for (std::size_t i = 0; i < net.size(); ++i)
      max_in_use[i] = occupancies[i].max_in_use(net.now(), settings.max_work_duration, rates[i]);
    sum_in_use = 0;
    for (const double one : max_in_use) sum_in_use += one;
    if (sum_in_use > settings.limits[0].total) max_violation = std::max(max_violation, sum_in_use);
  }
  double usable(LimitId limit) const {
    double out = 0;
    for (std::size_t i = 0; i < net.size(); ++i)
      if (net.is_up(i)) out += net.share(i).allowance(limit).usable(net.now(i));
    return out;
  }
  bool wait_until_leased(double share, double seconds) {
    const double required = share * settings.limits[0].total;
    std::size_t events = 0;
    const std::size_t each = net.size() > 20 ? 50 : 1;
    return net.run_until([&] { return ++events % each == 0 && usable(kPlaces) >= required; },
                         static_cast<Time>(seconds * kSecond));
  }
  void end_faults() {
    net.link = {};
    net.is_cut = [](std::size_t, std::size_t) { return false; };
    for (std::size_t i = 0; i < net.size(); ++i) {
      if (!net.is_up(i)) start(i);
      if (net.is_paused(i)) net.resume(i);
      places_demand[i] = settings.limits[0].total;
      report_demand(i);
      net.flush(i);
    }
  }

  Settings settings;
  emulator::SimulatedNetwork net;
  std::mt19937_64 random;
  std::vector<Occupancy> occupancies;
  std::vector<double> max_in_use, rates, places_demand, quota_demand;
  double sum_in_use = 0, max_violation = 0;
};

void run_random_faults(std::size_t size, std::uint64_t seed) {
  Fleet fleet(size, seed, static_cast<double>(1 + seed % (3 * size)));
  const auto draw = [&](std::uint64_t below) { return fleet.random() % below; };
  for (std::size_t i = 0; i < size; ++i) {
    fleet.rates[i] = 1 + 0.05 * static_cast<double>(draw(3));
    fleet.net.set_rate(i, fleet.rates[i]);
  }
  fleet.start_all();
  fleet.net.run_for(15 * kSecond);
  for (int fault = 0; fault < 12; ++fault) {
    const std::size_t node = draw(size), other = draw(size);
    switch (draw(9)) {
      case 0: fleet.net.link.loss = 0.3; break;
      case 1: fleet.net.link = {}; break;
      case 2: fleet.net.link.max_delay = 5 * kSecond; break;
      case 3: fleet.net.link.duplication = 0.2; break;
      case 4:
        if (fleet.net.is_up(node)) fleet.kill(node);
        break;
      case 5:
        for (std::size_t i = 0; i < size; ++i)
          if (!fleet.net.is_up(i) || draw(size) == 0) fleet.start(i);
        break;
      case 6:
        if (fleet.net.is_up(node) && !fleet.net.is_paused(node)) fleet.net.pause(node);
        break;
      case 7:
        fleet.net.is_cut = [node, other](std::size_t from, std::size_t to) {
          const std::size_t low = std::min(node, other), high = std::max(node, other);
          return (from >= low && from < high) != (to >= low && to < high);
        };
        break;
      default:
        for (std::size_t i = 0; i < size; ++i) {
          if (fleet.net.is_paused(i)) fleet.net.resume(i);
          fleet.places_demand[i] =
              static_cast<double>(draw(static_cast<std::uint64_t>(fleet.settings.limits[0].total) + 2));
        }
    }
    fleet.net.run_for(static_cast<Time>(draw(6 * kSecond)));
    ASSERT_EQ(fleet.max_violation, 0) << "in use, of a total of " << fleet.settings.limits[0].total << ", "
                                      << size << " routers, seed " << seed;
  }
  fleet.end_faults();
  EXPECT_TRUE(
      fleet.wait_until_leased(0.95, membership_settle_seconds(size) + recovery_bound_seconds(fleet.settings)))
      << size << " routers, seed " << seed << ": " << fleet.usable(kPlaces) << " of "
      << fleet.settings.limits[0].total;
  EXPECT_EQ(fleet.max_violation, 0) << seed;
}

class LeaseHistories : public testing::TestWithParam<std::uint64_t> {};

TEST_P(LeaseHistories, RandomFaults_KeepUseWithinTotalAndEndInFullLease) {
  // Each parameter runs 100 seeds; the parameters run in parallel.
  for (std::uint64_t i = 0; i < 95; ++i) run_random_faults(3 + i % 5, GetParam() * 100 + i);
  for (std::uint64_t i = 0; i < 5; ++i) run_random_faults(12, GetParam() * 100 + 95 + i);
}
INSTANTIATE_TEST_SUITE_P(Seeds, LeaseHistories, testing::Range<std::uint64_t>(0, 10));

// All of a tenant's demand moves to one router, and then to another.
TEST(LeaseFleet, DemandMoves_RateFollowsWithinBoundAndOvershootEndsWithinLease) {
  constexpr std::size_t kSize = 12;
  constexpr double kTotal = 600;
  Fleet fleet(kSize, 7, 12, kTotal);
  fleet.start_all();
  ASSERT_TRUE(fleet.wait_until_leased(0.95, 60));
  fleet.net.run_for(20 * kSecond);
  EXPECT_NEAR(fleet.usable(kQuota), kTotal, 0.01 * kTotal);
  for (const std::size_t to : {std::size_t{3}, std::size_t{9}, std::size_t{3}}) {
    for (std::size_t i = 0; i < kSize; ++i) {
      fleet.quota_demand[i] = i == to ? kTotal : 1;
      fleet.report_demand(i);
      fleet.net.flush(i);
    }
    double max_usable = 0;
    const auto from = fleet.net.now();
    const auto record_and_check = [&](bool until_moved) {
      max_usable = std::max(max_usable, fleet.usable(kQuota));
      return until_moved && fleet.net.share(to).allowance(kQuota).usable(fleet.net.now(to)) >= 0.95 * kTotal;
    };
    EXPECT_TRUE(fleet.net.run_until([&] { return record_and_check(true); },
                                    static_cast<Time>(demand_shift_bound_seconds(fleet.settings) * kSecond)))
        << fleet.net.share(to).allowance(kQuota).usable(fleet.net.now(to)) << " at " << to;
    fleet.net.run_until(
        [&] { return record_and_check(false); },
        from + static_cast<Time>(soft_overshoot_bound_seconds(fleet.settings) * kSecond) - fleet.net.now());
    EXPECT_LE(max_usable, 2 * kTotal);  // the former and the new holder may both use the moved amount
    max_usable = 0;
    fleet.net.run_until([&] { return record_and_check(false); }, 10 * kSecond);
    EXPECT_LE(max_usable, kTotal * 1.0001);
  }
}

// Half of the routers are killed and never restarted.
TEST(LeaseFleet, DeadRoutersForgotten_WholeQuotaIsUsableAgain) {
  constexpr std::size_t kSize = 12;
  membership::Settings view;
  view.lifetimes.unreachable = 20 * kSecond;
  Fleet fleet(kSize, 8, 24, 600, view);
  fleet.start_all();
  fleet.net.run_for(30 * kSecond);
  for (std::size_t i = 0; i < kSize; ++i) fleet.quota_demand[i] = 600;
  for (std::size_t i = 1; i < kSize; i += 2) fleet.kill(i);
  fleet.net.run_for(10 * kSecond);
  EXPECT_LE(fleet.usable(kQuota), 601);  // routers that may still be alive keep their even shares
  fleet.net.run_for(static_cast<Time>(membership_settle_seconds(kSize) + 20 + 10 + 10) * kSecond);
  // The whole quota except the reserve, which is not leased while demand exceeds the total.
  EXPECT_GE(fleet.usable(kQuota), 0.9499 * 600);
}

// Long router names leave little room for leases in each datagram.
TEST(LeaseFleet, MaximumNumberOfLimits_IsLeasedInDatagramsOf256Bytes) {
  membership::Settings view;
  view.max_datagram_size = 256;
  Fleet fleet(5, 9, 10, 100, view, "a-name-as-long-as-a-name-may-be");
  for (LimitId id = 100; fleet.settings.limits.size() < kMaxLimits; ++id)
    fleet.settings.limits.push_back({"q" + std::to_string(id), id, LimitKind::soft, 100});
  fleet.settings.shards = 4;
  fleet.start_all();
  fleet.net.run_for(30 * kSecond);
  for (std::size_t i = 0; i < 5; ++i)
    for (const Limit& limit : fleet.settings.limits)
      EXPECT_GT(fleet.net.share(i).allowance(limit.id).lease_end, fleet.net.now(i))
          << limit.name << " at " << i;
  EXPECT_LE(fleet.net.traffic().longest, 256U);
}

// Each of 300 routers has about one request per second of a tenant, in total less than the quota.
TEST(LeaseFleet, ThreeHundredRoutersWithLowTraffic_AllGetTheirRate) {
  constexpr std::size_t kSize = 300;
  Fleet fleet(kSize, 6, 300, 330);
  for (double& one : fleet.quota_demand) one = 1.1;
  fleet.start_all();
  fleet.net.run_for(40 * kSecond);
  for (std::size_t i = 0; i < kSize; ++i)
    EXPECT_GE(fleet.net.share(i).allowance(kQuota).usable(fleet.net.now(i)), 1) << i;
  EXPECT_LE(fleet.usable(kQuota), 330.1);
}

TEST(LeaseFleet, ThreeHundredRoutersRestartedAtOnce_KeepUseWithinTotal) {
  constexpr std::size_t kSize = 300;
  Fleet fleet(kSize, 5, 900);
  fleet.start_all();
  EXPECT_TRUE(fleet.wait_until_leased(0.95, 60 + recovery_bound_seconds(fleet.settings)));
  for (std::size_t i = 0; i < kSize; ++i) fleet.kill(i);
  fleet.start_all();
  EXPECT_TRUE(fleet.wait_until_leased(0.95, 60 + recovery_bound_seconds(fleet.settings)));
  EXPECT_EQ(fleet.max_violation, 0);
}

}  // namespace
}  // namespace streampick::leases::test
