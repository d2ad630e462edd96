// Tests of Sources, Mailbox and the text form of the seed file.
#include "roster/sources.h"

#include <gtest/gtest.h>

#include <optional>
#include <random>

#include "roster/etcd/seed.h"
#include "roster/mailbox.h"

namespace streampick::roster {
namespace {

engine::ListedEndpoint server(const std::string& id, Phase phase = Phase::ready,
                              const std::string& address = "") {
  engine::ListedEndpoint out{id, address.empty() ? "127.0.0.1:1" : address, {}};
  out.member.identity = hash_name(id);
  out.member.phase = phase;
  return out;
}
engine::EndpointList list(bool complete, std::vector<engine::ListedEndpoint> members) {
  engine::EndpointList out;
  out.revision = 1;
  out.complete = complete;
  out.members = std::move(members);
  return out;
}

// Keeps the roster that an engine would have.
struct Engine final : engine::MergedListObserver {
  void on_merged_list(const engine::EndpointList& list) override {
    if (list.complete) {
      std::map<std::string, engine::ListedEndpoint> whole;
      for (const auto& one : list.members) whole[one.id] = one;
      for (const auto& [id, one] : there) vanished += whole.contains(id) ? 0 : 1;
      there = std::move(whole);
      ++wholes;
      return;
    }
    for (const auto& one : list.members) {
      if (one.member.phase == Phase::gone) {
        departures.push_back(one.id);
        there.erase(one.id);
      } else {
        there[one.id] = one;
      }
    }
  }
  void on_stored_list(const engine::StoredEndpointList& stored) override {
    there.clear();
    for (const auto& one : stored.list.members) there[one.id] = one;
  }
  void on_discovery_answered() override { ++answered; }
  void on_discovery_failed() override { ++failed; }
  std::string all() const {
    std::string out;
    for (const auto& [id, one] : there) out += id + (one.member.phase == Phase::draining ? "- " : " ");
    return out;
  }
  std::map<std::string, engine::ListedEndpoint> there;
  std::vector<std::string> departures;
  int answered = 0, failed = 0, wholes = 0, vanished = 0;
};

TEST(RosterSources, FirstCompleteListOfSecondSource_SwitchesOverWithDifferencesOnly) {
  Engine engine;
  Sources sources(engine);
  sources.platform().on_endpoint_list(list(true, {server("a"), server("b")}));
  EXPECT_EQ(engine.all(), "a b ");
  sources.secondary().on_endpoint_list(list(false, {server("c")}));  // no complete list yet
  EXPECT_EQ(engine.all(), "a b ");
  sources.secondary().on_endpoint_list(list(true, {server("b"), server("c")}));
  EXPECT_EQ(engine.all(), "b c ");
  EXPECT_EQ(engine.departures, std::vector<std::string>{"a"});
  sources.platform().on_endpoint_list(list(true, {server("a"), server("b"), server("z")}));
  EXPECT_EQ(engine.all(), "b c ");  // the platform is no longer the primary source
  EXPECT_EQ(engine.vanished, 0);    // each departure is reported as such
}

TEST(RosterSources, DepartureReportedByEitherSource_TakesEffect) {
  Engine engine;
  Sources sources(engine);
  sources.platform().on_endpoint_list(list(true, {server("a"), server("b"), server("c")}));
  sources.secondary().on_endpoint_list(list(true, {server("a"), server("b"), server("c")}));
  sources.platform().on_endpoint_list(list(false, {server("a", Phase::draining)}));
  EXPECT_EQ(engine.all(), "a- b c ");
  sources.platform().on_endpoint_list(list(false, {server("b", Phase::gone)}));
  EXPECT_EQ(engine.all(), "a- c ");
  sources.secondary().on_endpoint_list(list(false, {server("c", Phase::draining)}));
  EXPECT_EQ(engine.all(), "a- c- ");
  sources.secondary().on_endpoint_list(list(false, {server("a", Phase::gone)}));
  EXPECT_EQ(engine.all(), "c- ");
  // The platform lists b again, and the second source never reported it as gone.
  sources.platform().on_endpoint_list(list(false, {server("b")}));
  EXPECT_EQ(engine.all(), "b c- ");
}

TEST(RosterSources, ServerGoneFromBothSources_ReturnsWhenPrimaryListsItAgain) {
  Engine engine;
  Sources sources(engine);
  sources.platform().on_endpoint_list(list(true, {server("a"), server("b")}));
  sources.secondary().on_endpoint_list(list(true, {server("a"), server("b")}));
  sources.platform().on_endpoint_list(list(false, {server("a", Phase::gone)}));
  sources.secondary().on_endpoint_list(list(false, {server("a", Phase::gone)}));
  sources.secondary().on_endpoint_list(
      list(false, {server("a")}));  // restarted; the platform has not listed it yet
  EXPECT_EQ(engine.all(), "a b ");
  EXPECT_EQ(engine.departures, std::vector<std::string>{"a"});
}

TEST(RosterSources, AnswersAndFailures_AreThePlatformsWhicheverSourceLeads) {
  Engine engine;
  Sources sources(engine);
  sources.secondary().on_discovery_failed();
  EXPECT_EQ(engine.failed, 0);
  sources.platform().on_discovery_failed();
  EXPECT_EQ(engine.failed, 1);
  sources.secondary().on_endpoint_list(list(true, {server("a")}));
  EXPECT_EQ(engine.answered, 0);
  sources.platform().on_discovery_failed();
  EXPECT_EQ(engine.failed, 2);
  sources.secondary().on_discovery_failed();
  EXPECT_EQ(engine.failed, 2);
  sources.platform().on_endpoint_list(list(true, {server("a")}));
  EXPECT_EQ(engine.answered, 1);
}

// Guards against a stored list that leads like one of etcd's: servers that the platform no longer lists would
// get requests until etcd answers.
TEST(RosterSources, StoredList_GivesWayToTheFirstCompleteListOfEitherSource) {
  for (const bool second : {false, true}) {
    Engine engine;
    Sources sources(engine);
    ASSERT_TRUE(sources.use_stored({list(true, {server("a"), server("b")})}));
    EXPECT_EQ(engine.all(), "a b ");
    EXPECT_EQ(engine.answered, 0);
    auto& source = second ? sources.secondary() : sources.platform();
    source.on_endpoint_list(list(true, {server("b"), server("c")}));
    EXPECT_EQ(engine.all(), "b c ");
    EXPECT_EQ(engine.departures, std::vector<std::string>{"a"});
    EXPECT_EQ(engine.vanished, 0);
    EXPECT_FALSE(sources.use_stored({list(true, {server("a")})}));
    EXPECT_EQ(engine.all(), "b c ");
  }
}

// Guards against a departure that is dropped because the server is known from the configuration only.
TEST(RosterSources, ChangesToAStoredList_TakeEffectWhicheverSourceSendsThem) {
  for (const bool second : {false, true}) {
    Engine engine;
    const engine::EndpointList known = list(true, {server("a"), server("b"), server("c")});
    engine.on_stored_list({known});
    Sources sources(engine, known);
    auto& source = second ? sources.secondary() : sources.platform();
    source.on_endpoint_list(list(false, {server("a", Phase::gone), server("b", Phase::draining)}));
    EXPECT_EQ(engine.all(), "b- c ");
    source.on_endpoint_list(list(false, {server("c", Phase::gone)}));
    EXPECT_EQ(engine.all(), "b- ");
    EXPECT_EQ(engine.departures, (std::vector<std::string>{"a", "c"}));
  }
}

TEST(RosterMailbox, RepeatedChanges_KeepOneEntryPerServerAndEachDeparture) {
  Mailbox box;
  EXPECT_TRUE(box.put(list(false, {server("a")})));
  for (int i = 0; i < 1'000; ++i)
    EXPECT_FALSE(box.put(list(false, {server("a", Phase::ready, "127.0.0.1:" + std::to_string(i))})));
  EXPECT_EQ(box.size(), 1U);
  box.put(list(false, {server("a", Phase::gone)}));
  box.put(list(false, {server("a", Phase::ready, "127.0.0.1:7")}));
  auto told = box.take();
  ASSERT_EQ(told.size(), 2U);
  EXPECT_EQ(told[0].members.at(0).member.phase, Phase::gone);
  EXPECT_EQ(told[1].members.at(0).address, "127.0.0.1:7");
  EXPECT_TRUE(box.empty());
  EXPECT_TRUE(box.take().empty());
}

// The engine ends with the same roster whether lists arrive one by one or through a rarely emptied mailbox.
TEST(RosterMailbox, BatchesTakenAtRandomTimes_YieldTheSameRoster) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::minstd_rand random(seed);
    Engine straight, by_box;
    Mailbox box;
    for (int i = 0; i < 200; ++i) {
      engine::EndpointList one = list(false, {});
      if (random() % 20 == 0) {
        one.complete = true;
        for (const auto& [id, listed] : straight.there) one.members.push_back(listed);
      } else {
        const std::string id(1, static_cast<char>('a' + random() % 8));
        const auto phase = static_cast<Phase>(random() % 3);
        one.members.push_back(server(id, phase, "127.0.0.1:" + std::to_string(random() % 9)));
      }
      straight.on_merged_list(one);
      box.put(one);
      if (random() % 10 == 0)
        for (const auto& taken : box.take()) by_box.on_merged_list(taken);
    }
    for (const auto& taken : box.take()) by_box.on_merged_list(taken);
    EXPECT_EQ(by_box.all(), straight.all()) << seed;
    EXPECT_EQ(by_box.vanished, 0) << seed;
    for (const auto& [id, one] : straight.there) EXPECT_EQ(by_box.there.at(id).address, one.address) << seed;
  }
}

TEST(EtcdSeed, TruncatedCorruptedOrOldText_IsRejected) {
  Names names;
  names.zones = {"a", "b"};
  names.kinds = {"cache"};
  engine::EndpointList roster =
      list(true, {server("a"), server("b", Phase::draining), server("c", Phase::gone)});
  roster.members[1].member.zone = 1;
  roster.members[1].member.kind = 0;
  const std::string text = etcd::encode_seed(roster, names, 1'000'000);
  const auto read = [&](const std::string& from, long long now = 1'000'500) {
    return etcd::decode_seed(from, names, now, std::chrono::milliseconds(60'000));
  };
  const auto error_of = [&](const std::string& from, long long now = 1'000'500) {
    const auto seed = read(from, now);
    const auto* error = std::get_if<etcd::SeedError>(&seed);
    return error != nullptr ? std::optional(*error) : std::nullopt;
  };
  const auto seed = read(text);
  const auto* stored = std::get_if<engine::StoredEndpointList>(&seed);
  ASSERT_NE(stored, nullptr);
  ASSERT_EQ(stored->list.members.size(), 2U);
  EXPECT_EQ(stored->list.members[1].member.phase, Phase::draining);
  EXPECT_EQ(stored->list.members[1].member.zone, 1U);
  for (std::size_t cut = 0; cut < text.size(); ++cut) EXPECT_TRUE(error_of(text.substr(0, cut))) << cut;
  for (std::size_t i = 0; i < text.size(); ++i) {
    std::string spoilt = text;
    spoilt[i] = static_cast<char>(spoilt[i] ^ 1);
    EXPECT_TRUE(error_of(spoilt)) << i;
  }
  EXPECT_TRUE(error_of(text, 1'060'001));
  EXPECT_FALSE(error_of(text, 1'060'000));
  EXPECT_FALSE(error_of(text, 1));  // the wall clock was set back
  EXPECT_EQ(error_of(text, 1'065'000)->kind, etcd::SeedError::Kind::too_old);
  EXPECT_EQ(error_of(text, 1'065'000)->message, "it is 65 s old");
  EXPECT_EQ(error_of("#!/bin/sh")->kind, etcd::SeedError::Kind::no_seed);
}

}  // namespace
}  // namespace streampick::roster
