// The protocol in fleets of 3 to 300 routers: without faults, after half of them crash, and after a
// partition.
#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>
#include <string>

#include "gossip_fleet.h"

namespace streampick::membership {
namespace {

using test::GossipFleet;
using test::settle_time;

struct FleetSize {
  std::size_t members;
  std::size_t datagram_size;
  double loss;
  // For the test's name.
  friend void PrintTo(const FleetSize& size, std::ostream* out) { *out << size.members << " routers"; }
};

class MembershipSizes : public ::testing::TestWithParam<FleetSize> {
 protected:
  // Without loss, each router sends about one Ping and one Ack per period. With loss, no running process is
  // declared unreachable, and the fraction of failed probes is at most about twice false_alarm_share().
  void check_without_changes() {
    constexpr double kSeconds = 60;
    const auto [members, datagram_size, loss] = GetParam();
    const auto before = fleet.network.traffic();
    fleet.run(kSeconds);
    const auto datagrams = static_cast<double>(fleet.network.traffic().all() - before.all());
    const double probes = kSeconds * static_cast<double>(members);
    if (loss == 0) {
      EXPECT_LE(datagrams, 2.1 * probes);
    }
    EXPECT_EQ(fleet.running_declared_unreachable, 0);
    std::uint64_t failed_probes = 0;
    for (std::size_t node = 0; node < members; ++node) {
      failed_probes += fleet.network.gossip(node).counters().failed_probes;
    }
    if (loss > 0 && members >= 100) {
      const double expected = false_alarm_share(loss, std::min<std::size_t>(3, members - 2));
      EXPECT_LE(static_cast<double>(failed_probes) / probes, 2 * expected + 0.002);
    }
  }

  // Under loss there may be a suspicion at any time: wait only until all live nodes have the killed ones as
  // unreachable.
  void check_half_killed() {
    const auto [members, datagram_size, loss] = GetParam();
    const std::size_t half = members / 2;
    for (std::size_t node = 0; node < half; ++node) {
      fleet.network.kill(node);
    }
    const auto all_killed_are_unreachable = [&] {
      for (std::size_t node = half; node < GetParam().members; ++node) {
        if (fleet.summary(node).unreachable < half) {
          return false;
        }
      }
      return true;
    };
    EXPECT_TRUE(fleet.wait_until(all_killed_are_unreachable, settle_time(members, datagram_size, loss)));
    fleet.network.link.loss = 0;
    for (std::size_t node = 0; node < half; ++node) {
      fleet.network.start(node);
    }
    EXPECT_TRUE(fleet.settles());
  }

  void check_partition() {
    const std::size_t half = GetParam().members / 2;
    fleet.partition([half](std::size_t node) { return node < half ? 0 : 1; });
    fleet.run(30);
    fleet.running_declared_unreachable = 0;
    fleet.heal();
    EXPECT_TRUE(fleet.settles());
  }

  GossipFleet fleet{GetParam().members, GetParam().datagram_size, 7};
};

TEST_P(MembershipSizes, HalfKilledAndRestartedThenPartitioned_SettlesWithinTheBound) {
  EXPECT_TRUE(fleet.settles());
  fleet.run(30);  // until all updates are disseminated
  fleet.network.link.loss = GetParam().loss;
  check_without_changes();
  fleet.network.link.loss = 0;
  EXPECT_TRUE(fleet.settles());
  fleet.network.link.loss = GetParam().loss;
  check_half_killed();
  check_partition();
  EXPECT_EQ(fleet.running_reported_left, 0);
  EXPECT_LE(fleet.network.traffic().longest, GetParam().datagram_size);
}

INSTANTIATE_TEST_SUITE_P(All, MembershipSizes,
                         ::testing::Values(FleetSize{3, 256, 0}, FleetSize{3, 1'200, 0.05},
                                           FleetSize{3, 256, 0.2}, FleetSize{12, 256, 0},
                                           FleetSize{12, 1'200, 0.05}, FleetSize{12, 256, 0.2},
                                           FleetSize{100, 256, 0}, FleetSize{100, 1'200, 0.05},
                                           FleetSize{100, 256, 0.2}, FleetSize{300, 1'200, 0}),
                         [](const auto& tested) {
                           return std::to_string(tested.param.members) + "RoutersBy" +
                                  std::to_string(tested.param.datagram_size) + "Loss" +
                                  std::to_string(static_cast<int>(tested.param.loss * 100));
                         });

}  // namespace
}  // namespace streampick::membership
