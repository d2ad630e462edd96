// The core at size, on virtual time, under drawn and scripted faults. Built once more without each of some
// rules, it must find that out (STREAMPICK_MEMBERSHIP_WITHOUT).
#include <gtest/gtest.h>

#include <map>

#include "emulator/datagrams.h"
#include "membership/bounds.h"
#include "membership/wire.h"

namespace streampick::membership {
namespace {

using emulator::Datagrams;

double periods(Time time) { return static_cast<double>(time) / static_cast<double>(kSecond); }
Time bound(std::size_t members, std::size_t datagram, double loss = 0, std::size_t living = 0) {
  return static_cast<Time>(settle_periods(members, datagram, loss, living) * static_cast<double>(kSecond));
}

// A fleet, what was declared in it, and the rules that hold at every instant.
class Fleet {
 public:
  Fleet(std::size_t size, std::size_t datagram, std::uint64_t seed,
        const std::function<void(Settings&)>& adjust = {})
      : net(seed), datagram_(datagram) {
    net.settings.datagram = datagram;
    if (adjust) adjust(net.settings);
    net.changed = [this](std::size_t node, const Change& change) { heard(node, change); };
    net.add_many(size);
    for (std::size_t i = 0; i < size; ++i) net.start(i);
  }
  // Looking at all views costs: at size it is done now and then.
  bool settles(Time within) {
    std::size_t events = 0;
    const std::size_t each = net.size() > 50 ? 20 * net.size() : 1;
    const Time from = net.now();
    const bool done = net.run_until([&] { return ++events % each == 0 && net.settled(); }, within);
    took = periods(net.now() - from);
    return done;
  }
  bool settles() {
    std::size_t living = 0;
    for (std::size_t i = 0; i < net.size(); ++i) living += net.up(i) ? 1 : 0;
    return settles(bound(net.size(), datagram_, 0, living));
  }
  void cut(std::function<int(std::size_t)> group) {
    net.cut = [group = std::move(group)](std::size_t from, std::size_t to) {
      return group(from) != group(to);
    };
  }
  void heal() {
    net.cut = [](std::size_t, std::size_t) { return false; };
  }
  void run(double seconds) { net.run_for(static_cast<Time>(seconds * static_cast<double>(kSecond))); }
  Counts counts(std::size_t node) const { return net.core(node).counts(net.now(node)); }
  bool running(Boot boot) const {
    for (std::size_t i = 0; i < net.size(); ++i)
      if (net.up(i) && net.core(i).self().boot == boot) return true;
    return false;
  }

  Datagrams net;
  double took = 0;
  std::map<Change::Kind, int> changes;
  int living_lost = 0;   // times that a view declared one unreachable that ran
  int living_ended = 0;  // ... or took for left
  std::map<Boot, std::set<std::size_t>> lost_by;
  std::set<std::size_t> asleep;

 private:
  void heard(std::size_t node, const Change& change) {
    ++changes[change.kind];
    if (!running(change.boot)) return;
    if (change.kind == Change::Kind::lost) {
      ++living_lost;
      lost_by[change.boot].insert(node);
    }
    if (change.kind == Change::Kind::left) ++living_ended;
  }
  std::size_t datagram_;
};

// ---- Drawn histories

// One in so many of all that may go wrong, drawn; then all faults end.
void play_drawn(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const std::size_t size = 2 + random() % 11, datagram = random() % 2 == 0 ? 256 : 1'200;
  Fleet fleet(size, datagram, seed);
  const auto any = [&] { return static_cast<std::size_t>(random() % size); };
  for (int step = 0, steps = 5 + static_cast<int>(random() % 15); step < steps; ++step) {
    const std::size_t node = any();
    switch (random() % 9) {
      case 0:
        if (fleet.net.up(node)) fleet.net.kill(node);
        break;
      case 1: fleet.net.start(node); break;  // also in the place of one that runs
      case 2:
        if (fleet.net.up(node)) fleet.net.leave(node);
        break;
      case 3: fleet.net.pause(node); break;
      case 4: fleet.net.resume(node); break;
      case 5: {
        const std::uint64_t groups = random();
        fleet.cut([groups](std::size_t one) { return static_cast<int>(groups >> (2 * one) & 1U); });
        break;
      }
      case 6: {
        const std::size_t deaf = any();
        fleet.net.cut = [deaf](std::size_t, std::size_t to) { return to == deaf; };
        break;
      }
      case 7: fleet.heal(); break;
      case 8:
        fleet.net.link = {0.01 * static_cast<double>(random() % 60), 0.2, 0.05, 500,
                          random() % 2 == 0 ? 2'000 : 3 * kSecond};
        break;
    }
    fleet.run(0.1 * static_cast<double>(random() % 200));
  }
  fleet.heal();
  fleet.net.link = {};
  for (std::size_t i = 0; i < size; ++i) {
    fleet.net.resume(i);
    if (!fleet.net.up(i)) fleet.net.start(i);
  }
  EXPECT_TRUE(fleet.settles()) << "seed " << seed << ": " << size << " routers did not settle";
  EXPECT_LE(fleet.net.sent().longest, datagram) << "seed " << seed;
}

TEST(MembershipFaults, AfterAThousandDrawnHistoriesAllViewsAreEqualWithinTheBound) {
  for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
    play_drawn(seed);
    if (HasFailure()) return;
  }
}

// ---- Sizes

struct Size {
  std::size_t members, datagram;
  double loss;
  // For the test's name.
  friend void PrintTo(const Size& size, std::ostream* out) { *out << size.members << " routers"; }
};

class MembershipSizes : public ::testing::TestWithParam<Size> {};

TEST_P(MembershipSizes, HalfLostAtOnceAndBackAndTwoZonesCutSettleWithinTheBound) {
  const auto [members, datagram, loss] = GetParam();
  Fleet fleet(members, datagram, 7);
  EXPECT_TRUE(fleet.settles());
  fleet.run(30);  // until all is told on
  // At rest, with loss: nobody that lives is declared unreachable, and false alarms are as few as foretold.
  fleet.net.link.loss = loss;
  const auto before = fleet.net.sent();
  constexpr double kRest = 60;
  fleet.run(kRest);
  // At rest and without loss: a probe and its answer.
  const auto datagrams = static_cast<double>(fleet.net.sent().all() - before.all());
  if (loss == 0) {
    EXPECT_LE(datagrams, 2.1 * kRest * static_cast<double>(members));
  }
  EXPECT_EQ(fleet.living_lost, 0);
  std::uint64_t alarms = 0;
  for (std::size_t i = 0; i < members; ++i) alarms += fleet.net.core(i).figures().unanswered;
  const double share = static_cast<double>(alarms) / (kRest * static_cast<double>(members));
  const double foretold = false_alarm_share(loss, std::min<std::size_t>(3, members - 2));
  if (loss > 0 && members >= 100) {
    EXPECT_LE(share, 2 * foretold + 0.002);
  }
  fleet.net.link.loss = 0;
  EXPECT_TRUE(fleet.settles());
  fleet.net.link.loss = loss;
  const std::size_t half = members / 2;
  for (std::size_t i = 0; i < half; ++i) fleet.net.kill(i);
  // Under loss a suspicion may stand at any instant: what is waited for then is that all know who is lost.
  const auto all_know = [&] {
    for (std::size_t i = half; i < members; ++i)
      if (fleet.counts(i).unreachable < half) return false;
    return true;
  };
  std::size_t events = 0;
  const std::size_t each = members > 50 ? 20 * members : 1;
  EXPECT_TRUE(fleet.net.run_until([&] { return ++events % each == 0 && all_know(); },
                                  bound(members, datagram, loss)));
  fleet.net.link.loss = 0;
  for (std::size_t i = 0; i < half; ++i) fleet.net.start(i);
  EXPECT_TRUE(fleet.settles());
  fleet.cut([half](std::size_t node) { return node < half ? 0 : 1; });
  fleet.run(30);
  fleet.living_lost = 0;
  fleet.heal();
  EXPECT_TRUE(fleet.settles());
  EXPECT_EQ(fleet.living_ended, 0);
  EXPECT_LE(fleet.net.sent().longest, datagram);
}

INSTANTIATE_TEST_SUITE_P(All, MembershipSizes,
                         ::testing::Values(Size{3, 256, 0}, Size{3, 1'200, 0.05}, Size{3, 256, 0.2},
                                           Size{12, 256, 0}, Size{12, 1'200, 0.05}, Size{12, 256, 0.2},
                                           Size{100, 256, 0}, Size{100, 1'200, 0.05}, Size{100, 256, 0.2},
                                           Size{300, 1'200, 0}),
                         [](const auto& at) {
                           return std::to_string(at.param.members) + "RoutersBy" +
                                  std::to_string(at.param.datagram) + "Loss" +
                                  std::to_string(static_cast<int>(at.param.loss * 100));
                         });

// ---- Scripts

struct Script {
  const char* name;
  std::size_t size;
  void (*play)(Fleet&);
  friend void PrintTo(const Script& script, std::ostream* out) { *out << script.name; }
};

class MembershipScripts : public ::testing::TestWithParam<Script> {};

TEST_P(MembershipScripts, Settles) {
  Fleet fleet(GetParam().size, 256, 3);
  ASSERT_TRUE(fleet.settles());
  GetParam().play(fleet);
  EXPECT_TRUE(fleet.settles());
  EXPECT_EQ(fleet.living_ended, 0);
}

const Script kScripts[] = {
    {"FiveKilledAtOnce", 12,
     [](Fleet& f) {
       for (std::size_t i = 0; i < 5; ++i) f.net.kill(i);
     }},
    {"AllButOneKilled", 12,
     [](Fleet& f) {
       for (std::size_t i = 1; i < 12; ++i) f.net.kill(i);
     }},
    {"AllKilledAndStartedAgain", 12,
     [](Fleet& f) {
       for (std::size_t i = 0; i < 12; ++i) f.net.kill(i);
       for (std::size_t i = 0; i < 12; ++i) f.net.start(i);
     }},
    {"EachRestartedInTurnWithinAPeriod", 12,
     [](Fleet& f) {
       std::size_t most = 0;
       f.net.after_event = [&](std::size_t node) { most = std::max(most, f.counts(node).most); };
       for (std::size_t i = 0; i < 12; ++i) {
         f.net.kill(i);
         f.run(0.2);
         f.net.start(i);
         f.run(2);
       }
       // Another boot at an address takes the place of the one before at once: nobody waits for a suspicion.
       EXPECT_TRUE(f.settles());
       EXPECT_EQ(f.changes[Change::Kind::lost], 0);
       EXPECT_EQ(most, 12U);  // at no instant were both counted
       f.net.after_event = [](std::size_t) {};
     }},
    {"LeavesAreHeardOfWithoutASuspicion", 12,
     [](Fleet& f) {
       f.changes.clear();
       for (std::size_t i = 0; i < 4; ++i) f.net.leave(i);
       EXPECT_TRUE(f.settles(static_cast<Time>(rounds(12) + 2) * kSecond)) << f.took;
       EXPECT_EQ(f.changes[Change::Kind::lost], 0);
     }},
    {"ElevenToOneCut", 12,
     [](Fleet& f) {
       f.run(20);  // a settled view is what `seen` is a share of
       f.cut([](std::size_t node) { return node == 0 ? 0 : 1; });
       f.net.run_for(bound(12, 256, 0, 1));  // one alone goes through all
       EXPECT_EQ(f.counts(0).least, 1U);
       EXPECT_EQ(f.counts(0).most, 12U);
       EXPECT_EQ(f.counts(5).least, 11U);
       EXPECT_EQ(f.counts(5).most, 12U);
       EXPECT_LT(f.counts(0).seen, 0.1);
       f.heal();
     }},
    {"ThreeGroupsOfFourWithARestartWhileItHeals", 12,
     [](Fleet& f) {
       f.cut([](std::size_t node) { return static_cast<int>(node / 4); });
       f.run(60);
       for (std::size_t i = 0; i < 12; ++i) EXPECT_EQ(f.counts(i).least, 4U);
       for (std::size_t i = 0; i < 12; ++i) EXPECT_EQ(f.counts(i).most, 12U);
       f.heal();
       f.run(1);
       f.net.kill(2);
       f.net.start(2);
     }},
    {"ABridgeKeepsBothSidesInTheView", 3,
     [](Fleet& f) {
       f.changes.clear();
       f.net.cut = [](std::size_t from, std::size_t to) { return from != 1 && to != 1; };
       f.run(120);
       EXPECT_EQ(f.living_lost, 0);
     }},
    {"OneThatHearsNothingIsLostAndDragsNobodyDown", 12,
     [](Fleet& f) {
       f.net.cut = [](std::size_t, std::size_t to) { return to == 0; };
       f.run(90);
       // It is heard, and its view is its own: the others stay well with each other.
       for (std::size_t i = 1; i < 12; ++i)
         for (const auto& [boot, by] : f.lost_by) {
           const bool others = boot == f.net.core(i).self().boot && by != std::set<std::size_t>{0};
           EXPECT_FALSE(others);
         }
       f.heal();
     }},
    {"AJoinDuringAPartition", 12,
     [](Fleet& f) {
       f.net.kill(0);
       f.net.kill(6);
       f.cut([](std::size_t node) { return node < 6 ? 0 : 1; });
       f.run(40);
       f.net.start(0);
       f.net.start(6);
       f.run(20);
       EXPECT_EQ(f.counts(0).least, 6U);
       f.heal();
     }},
    {"StoppedForTwentySecondsAndBack", 12,
     [](Fleet& f) {
       f.net.pause(0);
       f.run(20);
       f.changes.clear();
       f.living_lost = 0;
       f.net.resume(0);
       f.run(30);
       // It waited for nobody's answer while it was stopped, and declares nobody.
       EXPECT_EQ(f.living_lost, 0);
       EXPECT_EQ(f.changes[Change::Kind::slept], 1);
     }},
    {"AProcessWhoseLoopIsHeldUpIsNotLostNorLosesOthers", 12,
     [](Fleet& f) {
       f.living_lost = 0;
       for (int i = 0; i < 60; ++i) {
         f.net.pause(0);
         f.run(0.9);
         f.net.resume(0);
         f.run(0.1);
       }
       EXPECT_EQ(f.living_lost, 0);
     }},
    {"ThreeInTenLostForAMinute", 12,
     [](Fleet& f) {
       f.net.link.loss = 0.3;
       f.run(60);
       for (const auto& [boot, by] : f.lost_by) EXPECT_LE(by.size(), 6U) << "held unreachable by a majority";
       f.net.link.loss = 0;
     }},
    {"DoubledDamagedAndOutOfOrderBySeconds", 12,
     [](Fleet& f) {
       f.net.link = {0.05, 0.5, 0.1, 500, 3 * kSecond};
       f.run(60);
       EXPECT_GT(f.net.sent().unreadable, 0U);
       f.net.link = {};
     }},
    {"ARecordedDayPlayedToANewFleet", 12,
     [](Fleet& f) {
       f.net.record = true;
       f.run(20);
       f.net.record = false;
       for (std::size_t i = 0; i < 12; ++i) f.net.start(i);
       ASSERT_TRUE(f.settles());
       Time after = 0;
       for (const auto& [from, to, datagram] : f.net.recorded)
         f.net.inject(from, to, datagram, after += 20'000);
       f.run(30);
       // What was, at addresses that others have now, does not come back to the count.
       for (std::size_t i = 0; i < 12; ++i) EXPECT_EQ(f.counts(i).least, 12U);
     }},
    {"AFloodFromOnePeer", 12,
     [](Fleet& f) {
       Message message;
       message.self = f.net.core(1).self();
       const auto before = f.net.sent(0);
       for (int i = 0; i < 5'000; ++i) {
         message.news.clear();
         for (int k = 0; k < 3; ++k)
           message.news.push_back({static_cast<Boot>(1'000'000 + 3 * i + k),
                                   "x" + std::to_string(i),
                                   at(0x7f000002, 9),
                                   0,
                                   State::alive,
                                   0,
                                   0,
                                   {}});
         message.kind = Message::Kind::tell;
         f.net.inject(1, 0, encode(message, ""), i * 100);
       }
       f.run(1);
       EXPECT_LE(f.net.core(0).table().all().size(), Table::kMost);
       EXPECT_GT(f.net.core(0).figures().no_room, 0U);
       // What it sends itself does not grow with what it is sent.
       EXPECT_LE(static_cast<double>(f.net.sent(0).all() - before.all()), 2 * most_begun_per_period(3) + 24);
       for (std::size_t i = 0; i < 12; ++i) f.net.start(i);
     }},
    {"AnAddressThatAnotherNameHasNow", 12,
     [](Fleet& f) {
       f.net.kill(3);
       const std::size_t other = f.net.add({0, 1, 2}, "other");
       f.net.start(other);
     }},
    {"HalfRestartedATenthAtATime", 100,
     [](Fleet& f) {
       for (std::size_t step = 0; step < 5; ++step) {
         for (std::size_t i = 0; i < 10; ++i) f.net.leave(10 * step + i);
         f.run(2);
         for (std::size_t i = 0; i < 10; ++i) f.net.start(10 * step + i);
         f.run(3);
       }
     }},
    {"AHundredJoinAtOnce", 12,
     [](Fleet& f) {
       for (std::size_t i = 0; i < 88; ++i) f.net.start(f.net.add({0, 1, 2}));
     }},
};

INSTANTIATE_TEST_SUITE_P(All, MembershipScripts, ::testing::ValuesIn(kScripts),
                         [](const auto& at) { return std::string(at.param.name); });

// ---- Rules by themselves

TEST(MembershipRules, TwoWithOneNameAreToldApartAndItIsSaidOnce) {
  Fleet fleet(5, 256, 3);
  const std::size_t twin = fleet.net.add({0, 1}, "n2");
  fleet.net.start(twin);
  ASSERT_TRUE(fleet.settles());
  fleet.run(20);
  EXPECT_GE(fleet.changes[Change::Kind::two_with_one_name], 5);
  EXPECT_LE(fleet.changes[Change::Kind::two_with_one_name], 6);  // once at each
  EXPECT_EQ(fleet.counts(0).alive, 6U);
  EXPECT_EQ(fleet.counts(0).least, 5U);  // voices count by name ...
  EXPECT_EQ(fleet.counts(0).most, 6U);   // ... and whoever divides counts both
}

TEST(MembershipRules, OneThatIsTakenForEndedComesBackAsAnotherBoot) {
  Fleet fleet(5, 256, 3);
  ASSERT_TRUE(fleet.settles());
  const Boot boot = fleet.net.core(2).self().boot;
  Message lie;
  lie.kind = Message::Kind::tell;
  lie.self = fleet.net.core(1).self();
  lie.news.push_back(fleet.net.core(2).self());
  lie.news[0].state = State::left;
  fleet.net.inject(1, 0, encode(lie, ""), 1);
  fleet.run(1);
  ASSERT_TRUE(fleet.settles());
  EXPECT_NE(fleet.net.core(2).self().boot, boot);
  EXPECT_EQ(fleet.counts(0).most, 5U);
}

TEST(MembershipRules, ARecordOfAnIncarnationBeyondAllIsNoEnd) {
  Fleet fleet(4, 256, 3);
  ASSERT_TRUE(fleet.settles());
  Message lie;
  lie.kind = Message::Kind::tell;
  lie.self = fleet.net.core(1).self();
  lie.news.push_back(fleet.net.core(2).self());
  lie.news[0].state = State::suspect;
  lie.news[0].incarnation = kHighestIncarnation;
  fleet.net.inject(1, 0, encode(lie, ""), 1);
  fleet.run(1);
  EXPECT_TRUE(fleet.settles());
}

TEST(MembershipRules, UnreachableOnesAreTriedAtABoundedRateAndForgottenInTheirTime) {
  Fleet fleet(12, 256, 3, [](Settings& settings) { settings.lifetimes.unreachable = 200 * kSecond; });
  ASSERT_TRUE(fleet.settles());
  for (std::size_t i = 1; i < 12; ++i) fleet.net.kill(i);
  ASSERT_TRUE(fleet.settles());
  EXPECT_EQ(fleet.counts(0).unreachable, 11U);
  EXPECT_EQ(fleet.counts(0).most, 12U);
  fleet.run(30);
  const auto before = fleet.net.sent(0);
  fleet.run(30);
  EXPECT_LE(fleet.net.sent(0).all() - before.all(), 30U + 1);  // alone: one a period
  fleet.run(200);
  EXPECT_EQ(fleet.counts(0).most, 1U);
  fleet.run(20);  // this is the settled view now, and all of it is seen
  EXPECT_EQ(fleet.counts(0).seen, 1.0);
  fleet.run(300);
  EXPECT_EQ(fleet.net.core(0).table().all().size(), 0U);
}

TEST(MembershipRules, AProcessThatSleptPastALifetimeBeginsAnew) {
  Fleet fleet(6, 256, 3, [](Settings& settings) { settings.lifetimes.unreachable = 60 * kSecond; });
  ASSERT_TRUE(fleet.settles());
  const Boot boot = fleet.net.core(0).self().boot;
  const Boot ended = fleet.net.core(5).self().boot;
  fleet.net.pause(0);
  fleet.net.leave(5);
  fleet.run(400);  // who has left is forgotten by now: only the sleeper holds it for alive
  fleet.net.resume(0);
  ASSERT_TRUE(fleet.settles());
  EXPECT_NE(fleet.net.core(0).self().boot, boot);
  EXPECT_EQ(fleet.net.core(0).settings().contacts.size(), 6U);  // who is a peer is for the operator to say
  for (std::size_t i = 1; i < 5; ++i) EXPECT_EQ(fleet.net.core(i).table().find(ended), nullptr);
}

// A confirmation may move the end of a suspicion into the past; that is no sleep (it was taken for one).
TEST(MembershipRules, ASuspicionThatIsConfirmedLateIsNoSleep) {
  Fleet fleet(100, 256, 7);
  ASSERT_TRUE(fleet.settles());
  for (std::size_t i = 0; i < 50; ++i) fleet.net.kill(i);
  fleet.run(60);
  EXPECT_EQ(fleet.changes[Change::Kind::slept], 0);
}

// All are told that the same ten are unreachable. Would all look at the same one first, that one would drown.
TEST(MembershipRules, WhatAllDoubtAllLookAtInAnOrderOfTheirOwn) {
  constexpr std::size_t kSize = 60;
  Fleet fleet(kSize, 1'200, 3);
  ASSERT_TRUE(fleet.settles());
  fleet.run(20);
  Message lie;
  lie.kind = Message::Kind::tell;
  lie.self = fleet.net.core(1).self();
  for (std::size_t i = 10; i < 20; ++i) {
    lie.news.push_back(fleet.net.core(i).self());
    lie.news.back().state = State::unreachable;
  }
  for (std::size_t i = 20; i < kSize; ++i) fleet.net.inject(1, i, encode(lie, ""), 1);
  std::vector<std::uint64_t> before;
  for (std::size_t i = 0; i < kSize; ++i) before.push_back(fleet.net.sent(i).received);
  fleet.run(1.1);
  std::uint64_t most = 0;
  for (std::size_t i = 0; i < kSize; ++i) most = std::max(most, fleet.net.sent(i).received - before[i]);
  EXPECT_LE(most, 40U);
  EXPECT_TRUE(fleet.settles());
  EXPECT_EQ(fleet.living_lost, 0);
}

// Whoever is suspected hears so first of all, in every datagram that goes to it, however much news there is.
TEST(MembershipRules, TheSuspectIsToldFirst) {
  Settings settings;
  settings.name = "n0";
  settings.self = numbered(0);
  settings.datagram = 256;
  Time now = 1'000 * kSecond;
  Core core(settings, 1, now);
  const auto process = [](std::uint32_t number) {
    return Record{100 + number, "n" + std::to_string(number), numbered(number), 0, State::alive, 0, 0, {}};
  };
  const auto hear = [&](const Record& teller, std::vector<Record> news, Message::Kind kind) {
    Message message;
    message.kind = kind;
    message.self = teller;
    message.news = std::move(news);
    core.receive(now, teller.address, message);
  };
  std::vector<Record> others;
  for (std::uint32_t i = 3; i < 40; ++i) others.push_back(process(i));
  hear(process(1), others, Message::Kind::tell);
  Record suspect = process(1);
  suspect.state = State::suspect;
  suspect.by = 102;
  hear(process(2), {suspect}, Message::Kind::tell);
  int told = 0;
  for (int i = 0; i < 50; ++i) {
    now = core.next();
    core.tick(now);
    hear(process(1), {}, Message::Kind::probe);
    for (const Send& send : core.take_sends()) {
      if (send.to != numbered(1) ||
          (send.message.kind != Message::Kind::probe && send.message.kind != Message::Kind::answer))
        continue;
      ++told;
      ASSERT_FALSE(send.message.news.empty());
      EXPECT_EQ(send.message.news.front().boot, 101U);
      EXPECT_GE(send.message.news.front().state, State::suspect);
    }
  }
  EXPECT_GE(told, 50);
}

TEST(MembershipRules, NobodyIsStormedWhenACutIsOver) {
  constexpr std::size_t kSize = 60;
  Fleet fleet(kSize, 256, 3);
  ASSERT_TRUE(fleet.settles());
  fleet.cut([](std::size_t node) { return node < kSize / 2 ? 0 : 1; });
  fleet.run(60);
  fleet.heal();
  std::uint64_t most = 0, most_told = 0, most_asked = 0;
  const auto kind = [](const Datagrams::Sent& sent, Message::Kind of) {
    return sent.datagrams[static_cast<std::size_t>(of)];
  };
  for (int second = 0; second < 10; ++second) {
    std::vector<Datagrams::Sent> before;
    for (std::size_t i = 0; i < kSize; ++i) before.push_back(fleet.net.sent(i));
    fleet.run(1);
    for (std::size_t i = 0; i < kSize; ++i) {
      const Datagrams::Sent& after = fleet.net.sent(i);
      most = std::max(most, after.received - before[i].received);
      most_told =
          std::max(most_told, kind(after, Message::Kind::tell) - kind(before[i], Message::Kind::tell));
      most_asked = std::max(most_asked, kind(after, Message::Kind::ask_to_probe) -
                                            kind(before[i], Message::Kind::ask_to_probe));
    }
  }
  EXPECT_LE(most_told, 8U);
  EXPECT_LE(most_asked, 3U);
  // Three times what each begins in a period at most.
  EXPECT_LE(static_cast<double>(most), 3 * most_begun_per_period(3));
  EXPECT_TRUE(fleet.settles());
}

TEST(MembershipRules, ClocksNeedNotAgreeAndMayStepForward) {
  Fleet fleet(8, 256, 3);
  for (std::size_t i = 0; i < 8; ++i) {
    fleet.net.kill(i);
    fleet.net.step_clock(i, static_cast<Time>(i) * 1'000'000 * kSecond);
    fleet.net.start(i);
  }
  ASSERT_TRUE(fleet.settles());
  fleet.net.kill(7);
  ASSERT_TRUE(fleet.settles());
  EXPECT_EQ(fleet.counts(0).unreachable, 1U);
  const Boot boot = fleet.net.core(3).self().boot;
  fleet.living_lost = 0;
  fleet.net.step_clock(3, 20 * kSecond);  // a sleep, as far as it can tell
  fleet.run(1);
  EXPECT_EQ(fleet.net.core(3).self().boot, boot);
  fleet.net.step_clock(3, 3'600 * kSecond);
  fleet.run(1);
  EXPECT_NE(fleet.net.core(3).self().boot, boot);  // past a lifetime: it begins anew
  ASSERT_TRUE(fleet.settles());
  EXPECT_EQ(fleet.living_lost, 0);
}

TEST(MembershipRules, ASuspicionEndsSoonerWithEachVoiceOfItsOwn) {
  const SuspicionRule rule;  // at 100 routers: 8 periods at the least, 48 with nobody else's voice
  Suspicion one(1, 0, 100, kSecond, rule);
  EXPECT_EQ(one.due(), 48 * kSecond);
  EXPECT_FALSE(one.confirm(1));  // the same voice again
  EXPECT_EQ(one.due(), 48 * kSecond);
  Time before = one.due();
  for (const Boot voice : {2, 3, 4}) {
    EXPECT_TRUE(one.confirm(voice));
    EXPECT_LT(one.due(), before);
    before = one.due();
  }
  EXPECT_EQ(one.due(), 8 * kSecond);
  EXPECT_FALSE(one.confirm(5));  // it is as short as it gets
  one.slept(5 * kSecond);
  EXPECT_EQ(one.due(), 13 * kSecond);
  EXPECT_EQ(Suspicion(1, 0, 2, kSecond, rule).due(), 4 * kSecond);  // of two, nobody else could confirm
}

TEST(MembershipRules, ARouterAloneIsItsOwnViewAtOnce) {
  Fleet fleet(1, 256, 3);
  EXPECT_EQ(fleet.counts(0).least, 1U);
  EXPECT_EQ(fleet.counts(0).most, 1U);
  EXPECT_TRUE(fleet.net.settled());
}

TEST(MembershipRules, WhatARouterSaysOfItselfReachesAll) {
  Fleet fleet(12, 256, 3);
  ASSERT_TRUE(fleet.settles());
  const Boot boot = fleet.net.core(4).self().boot;
  fleet.net.core(4).say(fleet.net.now(4), {{kDraining, 1}, {kVersion, 7}});
  fleet.run(1);
  ASSERT_TRUE(fleet.settles());
  for (std::size_t i = 0; i < 12; ++i) {
    const Member* known = fleet.net.core(i).table().find(boot);
    EXPECT_EQ(i == 4 ? 1U : fact(known->record, kDraining), 1U);
  }
}

}  // namespace
}  // namespace streampick::membership
