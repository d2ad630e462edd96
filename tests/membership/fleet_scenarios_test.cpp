// Scenarios with one kind of fault each. Afterwards all views must become equal within settle_periods().
#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>
#include <set>
#include <string>

#include "generators.h"
#include "gossip_fleet.h"

namespace streampick::membership {
namespace {

using test::GossipFleet;
using test::settle_time;

constexpr std::size_t kRouters = 12;
constexpr std::size_t kDatagramSize = 256;

void kill(GossipFleet& fleet, std::size_t first, std::size_t end) {
  for (std::size_t node = first; node < end; ++node) {
    fleet.network.kill(node);
  }
}

void start(GossipFleet& fleet, std::size_t first, std::size_t end) {
  for (std::size_t node = first; node < end; ++node) {
    fleet.network.start(node);
  }
}

void five_killed_at_once(GossipFleet& fleet) { kill(fleet, 0, 5); }

void all_but_one_killed(GossipFleet& fleet) { kill(fleet, 1, kRouters); }

void all_killed_and_restarted(GossipFleet& fleet) {
  kill(fleet, 0, kRouters);
  start(fleet, 0, kRouters);
}

// A new instance at an address replaces the old one at once, without a suspicion.
void each_restarted_in_turn(GossipFleet& fleet) {
  std::size_t highest = 0;
  fleet.network.after_event = [&](std::size_t node) {
    highest = std::max(highest, fleet.summary(node).max_live);
  };
  for (std::size_t node = 0; node < kRouters; ++node) {
    fleet.network.kill(node);
    fleet.run(0.2);
    fleet.network.start(node);
    fleet.run(2);
  }
  EXPECT_TRUE(fleet.settles());
  EXPECT_EQ(fleet.changes[Change::Kind::unreachable], 0);
  EXPECT_EQ(highest, kRouters) << "both instances at an address were counted";
  fleet.network.after_event = [](std::size_t) {};
}

void four_leave(GossipFleet& fleet) {
  fleet.changes.clear();
  for (std::size_t node = 0; node < 4; ++node) {
    fleet.network.leave(node);
  }
  const Time limit = static_cast<Time>(gossip_rounds(kRouters) + 2) * kSecond;
  EXPECT_TRUE(fleet.settles_within(limit)) << fleet.settle_duration;
  EXPECT_EQ(fleet.changes[Change::Kind::unreachable], 0);
}

void one_cut_off(GossipFleet& fleet) {
  fleet.run(20);  // the settled view that visible_share refers to
  fleet.partition([](std::size_t node) { return node == 0 ? 0 : 1; });
  fleet.network.run_for(settle_time(kRouters, kDatagramSize, 0, 1));
  EXPECT_EQ(fleet.summary(0).min_live, 1U);
  EXPECT_EQ(fleet.summary(0).max_live, 12U);
  EXPECT_EQ(fleet.summary(5).min_live, 11U);
  EXPECT_EQ(fleet.summary(5).max_live, 12U);
  EXPECT_LT(fleet.summary(0).visible_share, 0.1);
  fleet.heal();
}

void three_groups_and_a_restart_while_it_heals(GossipFleet& fleet) {
  fleet.partition([](std::size_t node) { return static_cast<int>(node / 4); });
  fleet.run(60);
  for (std::size_t node = 0; node < kRouters; ++node) {
    EXPECT_EQ(fleet.summary(node).min_live, 4U);
    EXPECT_EQ(fleet.summary(node).max_live, 12U);
  }
  fleet.heal();
  fleet.run(1);
  fleet.network.kill(2);
  fleet.network.start(2);
}

void two_reach_each_other_only_through_a_third(GossipFleet& fleet) {
  fleet.changes.clear();
  fleet.network.is_cut = [](std::size_t from, std::size_t to) { return from != 1 && to != 1; };
  fleet.run(120);
  EXPECT_EQ(fleet.running_declared_unreachable, 0);
}

// Only the view of the node that receives nothing becomes wrong.
void one_receives_nothing(GossipFleet& fleet) {
  fleet.network.is_cut = [](std::size_t, std::size_t to) { return to == 0; };
  fleet.run(90);
  for (std::size_t node = 1; node < kRouters; ++node) {
    for (const auto& [instance, declared_by] : fleet.declared_by) {
      const bool by_others = declared_by != std::set<std::size_t>{0};
      EXPECT_FALSE(instance == fleet.instance(node) && by_others);
    }
  }
  fleet.heal();
}

void two_join_during_a_partition(GossipFleet& fleet) {
  fleet.network.kill(0);
  fleet.network.kill(6);
  fleet.partition([](std::size_t node) { return node < 6 ? 0 : 1; });
  fleet.run(40);
  fleet.network.start(0);
  fleet.network.start(6);
  fleet.run(20);
  EXPECT_EQ(fleet.summary(0).min_live, 6U);
  fleet.heal();
}

// Acks that a process could not read while it was suspended must not make it suspect others.
void one_suspended_for_twenty_seconds(GossipFleet& fleet) {
  fleet.network.pause(0);
  fleet.run(20);
  fleet.changes.clear();
  fleet.running_declared_unreachable = 0;
  fleet.network.resume(0);
  fleet.run(30);
  EXPECT_EQ(fleet.running_declared_unreachable, 0);
  EXPECT_EQ(fleet.changes[Change::Kind::suspended], 1);
}

void one_with_a_slow_event_loop(GossipFleet& fleet) {
  fleet.running_declared_unreachable = 0;
  for (int second = 0; second < 60; ++second) {
    fleet.network.pause(0);
    fleet.run(0.9);
    fleet.network.resume(0);
    fleet.run(0.1);
  }
  EXPECT_EQ(fleet.running_declared_unreachable, 0);
}

void three_in_ten_datagrams_lost(GossipFleet& fleet) {
  fleet.network.link.loss = 0.3;
  fleet.run(60);
  for (const auto& [instance, declared_by] : fleet.declared_by) {
    EXPECT_LE(declared_by.size(), 6U) << "a majority declared a running process unreachable";
  }
  fleet.network.link.loss = 0;
}

void duplicated_corrupted_and_reordered(GossipFleet& fleet) {
  fleet.network.link = {.loss = 0.05, .duplication = 0.5, .corruption = 0.1, .max_delay = 3 * kSecond};
  fleet.run(60);
  EXPECT_GT(fleet.network.traffic().undecodable, 0U);
  fleet.network.link = {};
}

// Replayed datagrams name old instances at the addresses of running ones. The old instances are not counted.
void a_recording_replayed_to_new_instances(GossipFleet& fleet) {
  fleet.network.record = true;
  fleet.run(20);
  fleet.network.record = false;
  start(fleet, 0, kRouters);
  ASSERT_TRUE(fleet.settles());
  Time after = 0;
  for (const auto& [from, to, datagram] : fleet.network.recorded) {
    after += 20'000;
    fleet.network.inject(from, to, datagram, after);
  }
  fleet.run(30);
  for (std::size_t node = 0; node < kRouters; ++node) {
    EXPECT_EQ(fleet.summary(node).min_live, 12U);
  }
}

// A peer sends records of more instances than a table can hold. The number of datagrams that the receiver
// sends must stay bounded.
void a_flood_of_records_from_one_peer(GossipFleet& fleet) {
  constexpr int kMessages = 5'000;
  constexpr int kRecordsPerMessage = 3;
  Message message = fleet.gossip_of(1);
  const auto before = fleet.network.traffic(0);
  for (int i = 0; i < kMessages; ++i) {
    message.updates.clear();
    for (int k = 0; k < kRecordsPerMessage; ++k) {
      const auto instance = static_cast<InstanceId>(1'000'000 + kRecordsPerMessage * i + k);
      message.updates.push_back(test::process(instance, "x" + std::to_string(i), at(0x7f000002, 9)));
    }
    fleet.network.inject(1, 0, encode(message, ""), i * 100);
  }
  fleet.run(1);
  EXPECT_LE(fleet.network.gossip(0).table().members().size(), MemberTable::kMaxRecords);
  EXPECT_GT(fleet.network.gossip(0).counters().table_full, 0U);
  const auto sent = static_cast<double>(fleet.network.traffic(0).all() - before.all());
  EXPECT_LE(sent, 2 * max_sends_per_period(3) + 24);
  start(fleet, 0, kRouters);
}

void another_name_at_an_address(GossipFleet& fleet) {
  fleet.network.kill(3);
  fleet.network.start(fleet.network.add({0, 1, 2}, "other"));
}

void half_restarted_a_tenth_at_a_time(GossipFleet& fleet) {
  constexpr std::size_t kTenth = 10;
  for (std::size_t first = 0; first < 5 * kTenth; first += kTenth) {
    for (std::size_t node = first; node < first + kTenth; ++node) {
      fleet.network.leave(node);
    }
    fleet.run(2);
    start(fleet, first, first + kTenth);
    fleet.run(3);
  }
}

void eighty_eight_join_at_once(GossipFleet& fleet) {
  for (std::size_t i = 0; i < 88; ++i) {
    fleet.network.start(fleet.network.add({0, 1, 2}));
  }
}

struct Scenario {
  const char* name;
  std::size_t size;
  void (*run)(GossipFleet&);
  friend void PrintTo(const Scenario& scenario, std::ostream* out) { *out << scenario.name; }
};

const Scenario kScenarios[] = {
    {"FiveKilledAtOnce", kRouters, five_killed_at_once},
    {"AllButOneKilled", kRouters, all_but_one_killed},
    {"AllKilledAndRestarted", kRouters, all_killed_and_restarted},
    {"EachRestartedInTurn", kRouters, each_restarted_in_turn},
    {"FourLeave", kRouters, four_leave},
    {"OneCutOff", kRouters, one_cut_off},
    {"ThreeGroupsAndARestartWhileItHeals", kRouters, three_groups_and_a_restart_while_it_heals},
    {"TwoReachEachOtherOnlyThroughAThird", 3, two_reach_each_other_only_through_a_third},
    {"OneReceivesNothing", kRouters, one_receives_nothing},
    {"TwoJoinDuringAPartition", kRouters, two_join_during_a_partition},
    {"OneSuspendedForTwentySeconds", kRouters, one_suspended_for_twenty_seconds},
    {"OneWithASlowEventLoop", kRouters, one_with_a_slow_event_loop},
    {"ThreeInTenDatagramsLost", kRouters, three_in_ten_datagrams_lost},
    {"DuplicatedCorruptedAndReordered", kRouters, duplicated_corrupted_and_reordered},
    {"ARecordingReplayedToNewInstances", kRouters, a_recording_replayed_to_new_instances},
    {"AFloodOfRecordsFromOnePeer", kRouters, a_flood_of_records_from_one_peer},
    {"AnotherNameAtAnAddress", kRouters, another_name_at_an_address},
    {"HalfRestartedATenthAtATime", 100, half_restarted_a_tenth_at_a_time},
    {"EightyEightJoinAtOnce", kRouters, eighty_eight_join_at_once},
};

class MembershipScenarios : public ::testing::TestWithParam<Scenario> {};

TEST_P(MembershipScenarios, AfterTheFault_SettlesWithinTheBound) {
  GossipFleet fleet(GetParam().size, kDatagramSize, 3);
  ASSERT_TRUE(fleet.settles());
  GetParam().run(fleet);
  EXPECT_TRUE(fleet.settles());
  EXPECT_EQ(fleet.running_reported_left, 0);
}

INSTANTIATE_TEST_SUITE_P(All, MembershipScenarios, ::testing::ValuesIn(kScenarios),
                         [](const auto& tested) { return std::string(tested.param.name); });

}  // namespace
}  // namespace streampick::membership
