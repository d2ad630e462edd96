// Tests of single rules of the protocol.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "generators.h"
#include "gossip_fleet.h"

namespace streampick::membership {
namespace {

using test::GossipFleet;

constexpr std::size_t kDatagramSize = 256;

TEST(MembershipRules, TwoProcessesWithTheSameName_AreBothCountedAndReportedOnce) {
  GossipFleet fleet(5, kDatagramSize, 3);
  fleet.network.start(fleet.network.add({0, 1}, "n2"));
  ASSERT_TRUE(fleet.settles());
  fleet.run(20);
  EXPECT_GE(fleet.changes[Change::Kind::name_conflict], 5);
  EXPECT_LE(fleet.changes[Change::Kind::name_conflict], 6);  // at most once per process
  EXPECT_EQ(fleet.summary(0).alive, 6U);
  EXPECT_EQ(fleet.summary(0).min_live, 5U);  // votes are counted by name
  EXPECT_EQ(fleet.summary(0).max_live, 6U);
}

TEST(MembershipRules, RunningProcessReportedAsLeft_TakesANewInstanceId) {
  GossipFleet fleet(5, kDatagramSize, 3);
  ASSERT_TRUE(fleet.settles());
  const InstanceId before = fleet.instance(2);
  Message false_claim = fleet.gossip_of(1);
  false_claim.updates.push_back(fleet.network.gossip(2).self());
  false_claim.updates.back().state = State::left;
  fleet.inject(1, 0, false_claim);
  fleet.run(1);
  ASSERT_TRUE(fleet.settles());
  EXPECT_NE(fleet.instance(2), before);
  EXPECT_EQ(fleet.summary(0).max_live, 5U);
}

TEST(MembershipRules, SuspicionAtTheHighestIncarnation_IsRefuted) {
  GossipFleet fleet(4, kDatagramSize, 3);
  ASSERT_TRUE(fleet.settles());
  Message false_claim = fleet.gossip_of(1);
  false_claim.updates.push_back(fleet.network.gossip(2).self());
  false_claim.updates.back().state = State::suspect;
  false_claim.updates.back().incarnation = kMaxIncarnation;
  fleet.inject(1, 0, false_claim);
  fleet.run(1);
  EXPECT_TRUE(fleet.settles());
}

TEST(MembershipRules, UnreachableMembers_AreProbedAtABoundedRateAndExpire) {
  GossipFleet fleet(12, kDatagramSize, 3,
                    [](Settings& settings) { settings.lifetimes.unreachable = 200 * kSecond; });
  ASSERT_TRUE(fleet.settles());
  for (std::size_t node = 1; node < 12; ++node) {
    fleet.network.kill(node);
  }
  ASSERT_TRUE(fleet.settles());
  EXPECT_EQ(fleet.summary(0).unreachable, 11U);
  EXPECT_EQ(fleet.summary(0).max_live, 12U);
  fleet.run(30);
  const auto before = fleet.network.traffic(0);
  fleet.run(30);
  EXPECT_LE(fleet.network.traffic(0).all() - before.all(), 30U + 1);  // one per period
  fleet.run(200);
  EXPECT_EQ(fleet.summary(0).max_live, 1U);
  fleet.run(20);  // until this view counts as settled; all of it is visible
  EXPECT_EQ(fleet.summary(0).visible_share, 1.0);
  fleet.run(300);
  EXPECT_EQ(fleet.network.gossip(0).table().members().size(), 0U);
}

TEST(MembershipRules, SuspensionLongerThanALifetime_RestartsUnderANewInstanceId) {
  GossipFleet fleet(6, kDatagramSize, 3,
                    [](Settings& settings) { settings.lifetimes.unreachable = 60 * kSecond; });
  ASSERT_TRUE(fleet.settles());
  const InstanceId suspended = fleet.instance(0);
  const InstanceId left = fleet.instance(5);
  fleet.network.pause(0);
  fleet.network.leave(5);
  fleet.run(400);  // the tombstone has expired: only the suspended process still has node 5 as alive
  fleet.network.resume(0);
  ASSERT_TRUE(fleet.settles());
  EXPECT_NE(fleet.instance(0), suspended);
  EXPECT_EQ(fleet.network.gossip(0).settings().contacts.size(), 6U);
  for (std::size_t node = 1; node < 5; ++node) {
    EXPECT_EQ(fleet.network.gossip(node).table().find(left), nullptr);
  }
}

// A confirmation may move the deadline of a suspicion into the past. A wake-up later than that deadline must
// not count as a suspension of this process.
TEST(MembershipRules, LateConfirmationOfASuspicion_IsNotTreatedAsASuspension) {
  GossipFleet fleet(100, kDatagramSize, 7);
  ASSERT_TRUE(fleet.settles());
  for (std::size_t node = 0; node < 50; ++node) {
    fleet.network.kill(node);
  }
  fleet.run(60);
  EXPECT_EQ(fleet.changes[Change::Kind::suspended], 0);
}

// All routers receive the claim that the same ten members are unreachable. If they verified the claims in the
// same order, each of those members would be probed by all routers at once.
TEST(MembershipRules, ClaimsReceivedByAllRouters_AreVerifiedInRandomOrder) {
  constexpr std::size_t kSize = 60;
  GossipFleet fleet(kSize, 1'200, 3);
  ASSERT_TRUE(fleet.settles());
  fleet.run(20);
  Message false_claim = fleet.gossip_of(1);
  for (std::size_t node = 10; node < 20; ++node) {
    false_claim.updates.push_back(fleet.network.gossip(node).self());
    false_claim.updates.back().state = State::unreachable;
  }
  std::vector<std::uint64_t> before;
  for (std::size_t node = 0; node < kSize; ++node) {
    if (node >= 20) {
      fleet.inject(1, node, false_claim);
    }
    before.push_back(fleet.network.traffic(node).received);
  }
  fleet.run(1.1);
  std::uint64_t highest = 0;
  for (std::size_t node = 0; node < kSize; ++node) {
    highest = std::max(highest, fleet.network.traffic(node).received - before[node]);
  }
  EXPECT_LE(highest, 40U);
  EXPECT_TRUE(fleet.settles());
  EXPECT_EQ(fleet.running_declared_unreachable, 0);
}

// One protocol; the test sends the messages of its peers.
class SingleProtocol {
 public:
  static Record peer(std::uint32_t number) {
    return test::process(100 + number, "n" + std::to_string(number), numbered(number));
  }
  void receive(const Record& sender, const std::vector<Record>& updates, const MessageBody& body) {
    Message message;
    message.sender = sender;
    message.updates = updates;
    message.body = body;
    protocol.receive(now, sender.address, message);
  }
  void run_to_next_wakeup() {
    now = protocol.next_wakeup();
    protocol.tick(now);
  }

  Time now = 1'000 * kSecond;
  GossipProtocol protocol{settings(), 1, now};

 private:
  static Settings settings() {
    Settings settings;
    settings.name = "n0";
    settings.address = numbered(0);
    settings.max_datagram_size = kDatagramSize;
    return settings;
  }
};

bool is_ping_or_ack(const Message& message) {
  return message.kind() == MessageKind::ping || message.kind() == MessageKind::ack;
}

TEST(MembershipRules, PingAndAckToASuspectWithManyPendingUpdates_BeginWithTheSuspicion) {
  SingleProtocol single;
  std::vector<Record> others;
  for (std::uint32_t number = 3; number < 40; ++number) {
    others.push_back(SingleProtocol::peer(number));
  }
  single.receive(SingleProtocol::peer(1), others, Gossip{});
  Record suspect = SingleProtocol::peer(1);
  suspect.state = State::suspect;
  suspect.suspected_by = 102;
  single.receive(SingleProtocol::peer(2), {suspect}, Gossip{});
  int checked = 0;
  for (int i = 0; i < 50; ++i) {
    single.run_to_next_wakeup();
    single.receive(SingleProtocol::peer(1), {}, Ping{});
    for (const OutgoingMessage& outgoing : single.protocol.take_outgoing()) {
      if (outgoing.to != numbered(1) || !is_ping_or_ack(outgoing.message)) {
        continue;
      }
      ++checked;
      ASSERT_FALSE(outgoing.message.updates.empty());
      EXPECT_EQ(outgoing.message.updates.front().instance, 101U);
      EXPECT_GE(outgoing.message.updates.front().state, State::suspect);
    }
  }
  EXPECT_GE(checked, 50);
}

TEST(MembershipRules, EndOfAPartition_KeepsMessageRatesWithinTheirLimits) {
  constexpr std::size_t kSize = 60;
  GossipFleet fleet(kSize, kDatagramSize, 3);
  ASSERT_TRUE(fleet.settles());
  fleet.partition([](std::size_t node) { return node < kSize / 2 ? 0 : 1; });
  fleet.run(60);
  fleet.heal();
  using Traffic = emulator::SimulatedNetwork::Traffic;
  const auto sent = [](const Traffic& after, const Traffic& before, MessageKind kind) {
    const auto index = static_cast<std::size_t>(kind);
    return after.datagrams[index] - before.datagrams[index];
  };
  std::uint64_t received = 0;
  std::uint64_t gossip = 0;
  std::uint64_t ping_requests = 0;
  for (int second = 0; second < 10; ++second) {
    std::vector<Traffic> before;
    for (std::size_t node = 0; node < kSize; ++node) {
      before.push_back(fleet.network.traffic(node));
    }
    fleet.run(1);
    for (std::size_t node = 0; node < kSize; ++node) {
      const Traffic& after = fleet.network.traffic(node);
      received = std::max(received, after.received - before[node].received);
      gossip = std::max(gossip, sent(after, before[node], MessageKind::gossip));
      ping_requests = std::max(ping_requests, sent(after, before[node], MessageKind::ping_request));
    }
  }
  EXPECT_LE(gossip, 8U);
  EXPECT_LE(ping_requests, 3U);
  EXPECT_LE(static_cast<double>(received), 3 * max_sends_per_period(3));
  EXPECT_TRUE(fleet.settles());
}

TEST(MembershipRules, ClocksThatDifferOrStepForward_DeclareNoRunningMemberUnreachable) {
  GossipFleet fleet(8, kDatagramSize, 3);
  for (std::size_t node = 0; node < 8; ++node) {
    fleet.network.kill(node);
    fleet.network.step_clock(node, static_cast<Time>(node) * 1'000'000 * kSecond);
    fleet.network.start(node);
  }
  ASSERT_TRUE(fleet.settles());
  fleet.network.kill(7);
  ASSERT_TRUE(fleet.settles());
  EXPECT_EQ(fleet.summary(0).unreachable, 1U);
  const InstanceId before = fleet.instance(3);
  fleet.running_declared_unreachable = 0;
  fleet.network.step_clock(3, 20 * kSecond);  // the protocol takes this for a suspension
  fleet.run(1);
  EXPECT_EQ(fleet.instance(3), before);
  fleet.network.step_clock(3, 3'600 * kSecond);  // longer than a lifetime
  fleet.run(1);
  EXPECT_NE(fleet.instance(3), before);
  ASSERT_TRUE(fleet.settles());
  EXPECT_EQ(fleet.running_declared_unreachable, 0);
}

TEST(MembershipRules, EachIndependentConfirmation_ShortensASuspicion) {
  const SuspicionRule rule;
  Suspicion suspicion(1, 0, 100, kSecond, rule);
  EXPECT_EQ(suspicion.deadline(), 48 * kSecond);
  EXPECT_FALSE(suspicion.confirm(1));  // the same accuser
  EXPECT_EQ(suspicion.deadline(), 48 * kSecond);
  Time before = suspicion.deadline();
  for (const InstanceId accuser : {2, 3, 4}) {
    EXPECT_TRUE(suspicion.confirm(accuser));
    EXPECT_LT(suspicion.deadline(), before);
    before = suspicion.deadline();
  }
  EXPECT_EQ(suspicion.deadline(), 8 * kSecond);
  EXPECT_FALSE(suspicion.confirm(5));  // the timeout is at its minimum already
  suspicion.extend(5 * kSecond);
  EXPECT_EQ(suspicion.deadline(), 13 * kSecond);
  EXPECT_EQ(Suspicion(1, 0, 2, kSecond, rule).deadline(), 4 * kSecond);  // no other member could confirm
}

TEST(MembershipRules, SingleRouter_HasASettledViewAtOnce) {
  GossipFleet fleet(1, kDatagramSize, 3);
  EXPECT_EQ(fleet.summary(0).min_live, 1U);
  EXPECT_EQ(fleet.summary(0).max_live, 1U);
  EXPECT_TRUE(fleet.network.settled());
}

TEST(MembershipRules, FactsSetByARouter_ReachAllMembers) {
  GossipFleet fleet(12, kDatagramSize, 3);
  ASSERT_TRUE(fleet.settles());
  const InstanceId instance = fleet.instance(4);
  fleet.network.gossip(4).set_facts(fleet.network.now(4), {{kDraining, 1}, {kVersion, 7}});
  fleet.run(1);
  ASSERT_TRUE(fleet.settles());
  for (std::size_t node = 0; node < 12; ++node) {
    if (node == 4) {
      continue;
    }
    const Member* member = fleet.network.gossip(node).table().find(instance);
    ASSERT_NE(member, nullptr);
    EXPECT_EQ(fact(member->record, kDraining), 1U);
  }
}

}  // namespace
}  // namespace streampick::membership
