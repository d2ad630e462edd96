// Unit tests around the membership view: the number of routers that totals are divided by, the send budget,
// the sections of the options file, test scripts, the relay's faults, the gossip socket, and the daemon's use
// of them.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>

#include "fleet/fleet.h"
#include "membership/send_budget.h"
#include "support/loopback.h"
#include "testbed/bed.h"
#include "testbed/relay.h"
#include "testbed/script.h"
#include "testbed/stream_relay.h"
#include "testbed/views.h"

namespace streampick::test {
namespace {

using namespace membership;
using Datagram = membership::Message;
using fleet::RouterCount;

// The count is never below the maximum of the last `hold`. Once a full `hold` has been observed, the count
// equals that maximum.
TEST(FleetRouterCount, RandomViews_GiveMaximumOfHoldWindow) {
  rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const Time hold = 10 * kSecond;
    RouterCount count(12, hold);
    std::vector<std::pair<Time, std::uint32_t>> all;
    Time now = 1'000 * kSecond;
    bool settled = false;
    for (int i = 0; i < 200; ++i) {
      now += static_cast<Time>(random() % (2 * kSecond));
      ViewSummary counts;
      counts.alive = counts.max_live = 1 + random() % 20;
      counts.is_settled = random() % 10 == 0;
      settled = settled || (counts.is_settled && counts.alive > 1);
      const auto most =
          static_cast<std::uint32_t>(settled ? counts.max_live : std::max<std::size_t>(12, counts.max_live));
      all.emplace_back(now, most);
      std::uint32_t wanted = 0;
      for (const auto& [time, seen] : all)
        if (time >= now - hold) wanted = std::max(wanted, seen);
      const std::uint32_t got = count.observe(now, counts);
      RC_ASSERT(got >= wanted);
      if (now - all.front().first >= hold) RC_ASSERT(got == wanted);
    }
  });
}

TEST(FleetRouterCount, BeforeViewSettles_SettingsCountIsLowerBound) {
  RouterCount count(300, kSecond);
  ViewSummary alone;
  EXPECT_EQ(count.observe(kSecond, alone), 300U);
  EXPECT_EQ(count.observe(60 * kSecond, alone),
            300U);  // it has seen no other router, so it may be cut off itself
  ViewSummary two;
  two.alive = two.max_live = 2;
  two.is_settled = true;
  EXPECT_EQ(count.observe(61 * kSecond, two), 300U);
  EXPECT_EQ(count.observe(63 * kSecond, two), 2U);
  two.max_live = 5;
  EXPECT_EQ(count.observe(63 * kSecond + 1, two), 5U);  // an increase takes effect at once
}

TEST(FleetBudget, ExhaustedBudget_AllowsOneSecondOfBurstAndPrefersAcks) {
  const BudgetLimits limits{100, 10'000};
  SendBudget budget(limits);
  std::map<MessageKind, int> sent;
  Time now = kSecond;
  double datagrams = 0, bytes = 0;
  for (int i = 0; i < 20'000; ++i) {
    now += 500;  // us; 10 s in total
    const auto kind = static_cast<MessageKind>(i % kMessageKinds);
    if (!budget.try_take(now, kind, 150)) continue;
    ++sent[kind];
    datagrams += 1;
    bytes += 150;
    const double seconds = static_cast<double>(now - kSecond) / kSecond;
    ASSERT_LE(datagrams, limits.datagrams * (1 + seconds));
    ASSERT_LE(bytes, limits.bytes * (1 + seconds));
  }
  EXPECT_GT(sent[MessageKind::ack], 3 * sent[MessageKind::ping]);
  EXPECT_GE(sent[MessageKind::ping], sent[MessageKind::ping_request]);
  EXPECT_GE(sent[MessageKind::ping_request], sent[MessageKind::sync_range]);
  EXPECT_GE(sent[MessageKind::sync_range], sent[MessageKind::gossip]);
}

std::string error_of(const std::string& toml, bool may_talk = true, nlohmann::json also = {}) {
  nlohmann::json config = config_json("127.0.0.1:9", list_json(1, true, {}));
  config["settings"]["PolicyLimits"]["PeerMessages"] = may_talk;
  config["name"] = "n1";
  if (!also.is_null()) config.merge_patch(also);
  return options_error(toml, config);
}

TEST(FleetOptions, InvalidOptions_GiveOneLineErrorWithFileLineAndKey) {
  const std::string good = "[fleet]\nlisten = \"127.0.0.1:7946\"\n";
  EXPECT_EQ(error_of(good), "");
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"[fleet]\n",
       "o.toml: fleet.listen: this key is required when the platform's configuration has no peer_listen"},
      {"[fleet]\nlisten = \"here:1\"\n",
       "o.toml:2: fleet.listen: expected ADDRESS:PORT with a numeric IPv4 address"},
      {"[fleet]\nlisten = \"0.0.0.0:7946\"\n",
       "o.toml: fleet.advertise: this key is required when fleet.listen is a wildcard address"},
      {good + "seeds = [\"x\"]\n", "o.toml:3: fleet.seeds: expected ADDRESS:PORT, not 'x'"},
      {good + "period_ms = 10\n", "o.toml:3: fleet.period_ms: expected a whole number from 50 to 60000"},
      {good + "answer_ms = 500\n", "o.toml:3: fleet.answer_ms: expected at most a third of period_ms"},
      {good + "datagram_bytes = 2000\n",
       "o.toml:3: fleet.datagram_bytes: expected a whole number from 256 to 1200"},
      {good + "admit = \"all\"\n", "o.toml:3: fleet.admit: expected \"listed\" or \"any\""},
      {good + "unreachable_s = 1\n",
       "o.toml:3: fleet.unreachable_s: expected a whole number from 10 to 86400"},
      {good + "bytes_per_s = 1\n",
       "o.toml:3: fleet.bytes_per_s: expected a whole number from 4096 to 100000000"},
      {good + "roster_file = \"/nowhere\"\n", "o.toml: fleet.roster_file: '/nowhere' cannot be read"},
      {good + "gossip = true\n", "o.toml:3: fleet.gossip: there is no such key"},
  };
  for (const auto& [toml, error] : cases) EXPECT_EQ(error_of(toml), error) << toml;
  EXPECT_EQ(
      error_of(good, false),
      "o.toml: fleet: the platform's settings forbid messages between routers (PolicyLimits.PeerMessages)");
  const nlohmann::json peers = {{"peer_listen", "127.0.0.1:1"}, {"peers", {"127.0.0.1:2", "127.0.0.1:3"}}};
  EXPECT_EQ(error_of("[fleet]\n", true, peers), "");
  nlohmann::json wrong = peers;
  wrong["settings"]["Me"] = 2;
  EXPECT_EQ(error_of("[fleet]\n", true, wrong),
            "o.toml: fleet: the platform's configuration has 2 peers, but this router's number is 2");
  wrong = peers;
  wrong["peers"][1] = "x";
  EXPECT_EQ(error_of("[fleet]\n", true, wrong),
            "o.toml: fleet: the platform's configuration: peers[1]: found \"x\", expected an address and "
            "a port, such as 10.0.0.4:7946");
  EXPECT_EQ(error_of(good, true, {{"name", "a b"}}),
            "o.toml: fleet: this router's name in the platform's settings must be 1 to 32 printable "
            "ASCII characters without spaces");
}

TEST(ShareOptions, InvalidOptions_GiveOneLineErrorWithFileLineAndKey) {
  const std::string fleet = "[fleet]\nlisten = \"127.0.0.1:7946\"\n",
                    good = fleet + "[shares]\nvoters = [\"127.0.0.1:7946\"]\n";
  EXPECT_EQ(error_of(good), "");
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"[shares]\n", "o.toml: shares: this section requires the section [fleet]"},
      {fleet + "[shares]\n", "o.toml: shares.voters: this key is required"},
      {fleet + "[shares]\nvoters = [\"x\"]\n",
       "o.toml: shares.voters: expected ADDRESS:PORT at which the other routers reach the voter, not 'x'"},
      {fleet + "[shares]\nvoters = [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n",
       "o.toml: shares.voters: two voters are equal"},
      {good + "origin_places = -1\n",
       "o.toml:5: shares.origin_places: expected a whole number from 0 to 10000000"},
      {good + "seats = 17\n", "o.toml:5: shares.seats: expected a whole number from 1 to 16"},
      {good + "term_ms = 1500\n", "o.toml:5: shares.term_ms: expected at least two periods"},
      {good + "lease_ms = 5000\n",
       "o.toml:5: shares.lease_ms: expected at least two periods and at most term_ms"},
      {good + "work_ms = 1\n",
       "o.toml: shares.work_ms: expected at least the longest HardLimitUs of the platform's classes, "},
      {good + "drift = 0.9\n", "o.toml:5: shares.drift: expected a number from 0 to 0.5"},
      {good + "places = 1\n", "o.toml:5: shares.places: there is no such key"},
  };
  for (const auto& [toml, error] : cases) EXPECT_EQ(error_of(toml).substr(0, error.size()), error) << toml;
  const nlohmann::json peers = {{"peer_listen", "127.0.0.1:1"}, {"peers", {"127.0.0.1:2", "127.0.0.1:3"}}};
  EXPECT_EQ(error_of("[fleet]\n[shares]\n", true, peers), "");
  EXPECT_EQ(error_of("[fleet]\n[shares]\nvoters = [\"2\"]\n", true, peers),
            "o.toml: shares.voters: expected an index of the platform's peers, 0 to 1, not '2'");
}

// Granters wait for max_work_duration before they lease capacity again, so a request class must not have a
// longer deadline. This is checked at start and at SIGHUP.
TEST(ShareOptions, ClassDeadlineAboveMaxWorkDuration_IsRejected) {
  platform::NodeSettings settings =
      platform::parse_settings(config_json("127.0.0.1:9", list_json(1, true, {})).dump());
  fleet::ShareOptions options;
  options.on = true;
  for (const RequestClass& kind : settings.settings.config.classes)
    options.core.max_work_duration = std::max(options.core.max_work_duration, kind.deadline);
  EXPECT_NO_THROW(fleet::check_max_work_duration(options, settings, "o.toml"));
  settings.settings.config.classes[0].deadline = options.core.max_work_duration + 1;
  EXPECT_THROW(fleet::check_max_work_duration(options, settings, "o.toml"), options::Error);
  options.on = false;
  EXPECT_NO_THROW(fleet::check_max_work_duration(options, settings, "o.toml"));
}

// Routers identify a limit by the hash of its name, so the order of tenants in their settings does not
// matter.
TEST(ShareOptions, TenantsInOtherOrder_HaveSameLimitIds) {
  fleet::ShareOptions options;
  options.origin_places = 8;
  const auto one = fleet::limits_of(options, {"a", "b", "c"}, {{10}, {0}, {30}});
  const auto other = fleet::limits_of(options, {"c", "a"}, {{30}, {10}});
  ASSERT_EQ(one.size(), 3U);  // a tenant without a quota has no limit
  ASSERT_EQ(other.size(), 3U);
  EXPECT_EQ(one[0].id, other[0].id);
  EXPECT_EQ(one[1].id, other[2].id);
  EXPECT_EQ(one[2].id, other[1].id);
  EXPECT_EQ(one[2].total, 30);
}

TEST(FleetOptions, RosterFile_HasOneAddressPerLine) {
  EXPECT_EQ(fleet::parse_roster("# peers\n10.0.0.1:7946\n\n  10.0.0.2:1 # two\r\n").size(), 2U);
  EXPECT_THROW(fleet::parse_roster("10.0.0.1:7946\nhost:1\n"), std::runtime_error);
}

TEST(FleetScript, InvalidScript_GivesOneLineErrorWithFileLineAndKey) {
  const std::string good = "routers = 4\n[[step]]\nwhat = \"settled\"\n";
  EXPECT_EQ(testbed::read_script(good, "s.toml").steps.size(), 1U);
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"routers = 4\n", "s.toml:1: step: a script has one step at least"},
      {good + "[[step]]\ndo = \"explode\"\n",
       "s.toml:5: step[1].do: expected one of continue, cut, expect, heal, kill, link, load, mark, restart, "
       "start, "
       "stop, stutter, terminate, upgrade, wait, not 'explode'"},
      {good + "[[step]]\ndo = \"kill\"\nwho = \"1-4\"\n",
       "s.toml:6: step[1].who: expected numbers of routers from 0 to 3, as 0-4,7, not '1-4'"},
      {good + "[[step]]\ndo = \"cut\"\ngroups = [\"0\"]\n",
       "s.toml:6: step[1].groups: a cut is between two groups or more"},
      {good + "[[step]]\ndo = \"expect\"\n", "s.toml:4: step[1].what: it is missing"},
      {good + "[[step]]\n", "s.toml:4: step[1].periods: a wait is for something, or for a number of periods"},
      {good + "[[step]]\nloss = 2\n", "s.toml:5: step[1].loss: expected a number from 0 to 1"},
      {good + "[[step]]\nperiod = 2\n",
       "s.toml:4: step[1].periods: a wait is for something, or for a number of periods"},
  };
  for (const auto& [toml, error] : cases) {
    try {
      testbed::read_script(toml, "s.toml");
      ADD_FAILURE() << toml;
    } catch (const options::Error& wrong) {
      EXPECT_EQ(wrong.what(), error);
    }
  }
}

TEST(FleetRelay, FaultsOnLinks_ApplyPerLinkAndRepeatForEqualSeed) {
  const auto play = [] {
    testbed::Faults faults(3, 5);
    faults.link(0, 1).loss = 0.3;
    faults.link(0, 2).cut = true;
    faults.link(1, 0).twice = 1;
    faults.link(2, 0).bytes_per_s = 1'000;
    faults.link(2, 1).damaged = 1;
    std::array<std::size_t, 4> passed{};
    for (int i = 0; i < 1'000; ++i) {
      std::string datagram(100, 'a');
      passed[0] += faults.pass(0, 1, datagram, i).size();
      passed[1] += faults.pass(0, 2, datagram, i).size();
      passed[2] += faults.pass(1, 0, datagram, i).size();
      passed[3] += faults.pass(2, 0, datagram, i).size();
      EXPECT_EQ(datagram, std::string(100, 'a'));
      EXPECT_EQ(faults.pass(2, 1, datagram, i).size(), 1U);
      EXPECT_NE(datagram, std::string(100, 'a'));
    }
    return passed;
  };
  const auto passed = play();
  EXPECT_NEAR(static_cast<double>(passed[0]), 700, 60);
  EXPECT_EQ(passed[1], 0U);
  EXPECT_EQ(passed[2], 2'000U);
  EXPECT_EQ(passed[3], 10U);
  EXPECT_EQ(play(), passed);
}

class FleetStream : public Loopback {};

TEST_F(FleetStream, CutLink_IsSilentAndResetsConnectionsWhenRestored) {
  FakeServer server(io, [](const std::string&) { return response(200, "x"); });
  testbed::Faults faults(2, 1);
  testbed::StreamRelay relay(io, faults, 0, 1, server.endpoint());
  const auto connect = [&] {
    net::tcp::socket socket(io);
    socket.connect(*net::parse_endpoint(relay.address()));
    auto peer = std::make_shared<Peer>(std::move(socket));
    peer->read([](Peer&) {});
    return peer;
  };
  const std::string ask = "GET / HTTP/1.1\r\n\r\n";
  const auto before = connect();
  before->write(ask);
  ASSERT_TRUE(wait_for([&] { return !before->got.empty(); }));
  // The relay stops both directions when either one is cut.
  faults.link(1, 0).cut = true;
  relay.links_changed();
  before->got.clear();
  before->write(ask);
  const auto meanwhile = connect();
  meanwhile->write(ask);
  ASSERT_TRUE(wait_for([&] { return relay.count().connections == 2; }));
  for (int turn = 0; turn < 100; ++turn) (void)wait_for([] { return true; });
  EXPECT_EQ(server.requests.size(), 1U);
  EXPECT_TRUE(before->got.empty() && !before->ended && !meanwhile->ended);
  faults.clear();
  relay.links_changed();
  ASSERT_TRUE(wait_for([&] { return before->ended && meanwhile->ended; }));
  EXPECT_EQ(relay.count().reset, 2U);
  EXPECT_EQ(relay.open(), 0U);
  EXPECT_EQ(server.requests.size(), 1U);
  const auto after = connect();
  after->write(ask);
  ASSERT_TRUE(wait_for([&] { return !after->got.empty(); }));
  after->close();
  ASSERT_TRUE(wait_for([&] { return server.peers.back()->ended; }));  // the relay forwards the half-close
  server.peers.back()->close();
  ASSERT_TRUE(wait_for([&] { return relay.open() == 0; }));
}

TEST(FleetViews, SumAboveTotal_IsMarkedAsOver) {
  const auto told = [](double usable, bool home) {
    nlohmann::json limit = {{"name", "origin places"}, {"kind", "hard"}, {"total", 10},
                            {"usable", usable},        {"wanted", 3},    {"out", 1}};
    if (home) limit["at_home"] = {{"out", 4}};
    return testbed::read_parts(nlohmann::json{{"limits", {limit}}}.dump() + "\n--\n");
  };
  bool over = true;
  std::string text = testbed::parts_side_by_side(
      {{"a:1", told(4, false)}, {"b:1", told(6, true)}, {"c:1", std::nullopt}}, over);
  EXPECT_FALSE(over);
  EXPECT_NE(text.find("usable 10  wanted 6  home b:1  each: 4 6"), std::string::npos) << text;
  EXPECT_NE(text.find("c:1 does not answer"), std::string::npos);
  text = testbed::parts_side_by_side({{"a:1", told(5, false)}, {"b:1", told(6, true)}}, over);
  EXPECT_TRUE(over);
  EXPECT_NE(text.find("OVER"), std::string::npos);
  EXPECT_THROW(testbed::read_parts("{}"), std::runtime_error);
}

TEST(FleetViews, DifferentViews_AreReportedByName) {
  testbed::View one, other;
  one.name = "n0", one.boot = "a", one.digest = "1", one.states = {{"b", "alive"}}, one.names = {{"b", "n1"}};
  other.name = "n1", other.boot = "b", other.digest = "1", other.states = {{"a", "alive"}},
  other.names = {{"a", "n0"}};
  EXPECT_TRUE(testbed::differences({one, other}).empty());
  other.digest = "2";
  other.states["a"] = "unreachable";
  const auto apart = testbed::differences({one, other});
  EXPECT_EQ(apart, (std::vector<std::string>{"n1 holds another view than n0", "n1 holds n0 for unreachable",
                                             "n1 counts 1 of 2"}));
  EXPECT_EQ(testbed::differences({one}),
            std::vector<std::string>{"n0 holds n1 for alive, which does not run"});
}

// ---- Gossip socket

class WithDatagrams : public Loopback {
 protected:
  unsigned short free_udp_port() {
    udp::socket probe(io, {asio::ip::make_address("127.0.0.1"), 0});
    return probe.local_endpoint().port();
  }
};

class FleetSocket : public WithDatagrams {
 protected:
  static SocketSettings settings_for_port(unsigned short port) {
    SocketSettings out;
    out.listen = {asio::ip::make_address("127.0.0.1"), port};
    out.contacts_only = false;
    return out;
  }
  static membership::Settings core(const std::string& name, unsigned short port,
                                   std::vector<Address> contacts) {
    membership::Settings out;
    out.name = name;
    out.address = at(0x7f000001, port);
    out.contacts = std::move(contacts);
    out.period = 50'000;
    out.ping_timeout = 15'000;
    out.max_datagram_size = 256;
    return out;
  }
  std::vector<Change> changes;
  GossipSocket::OnChange report = [this](const Change& change) { changes.push_back(change); };
};

TEST_F(FleetSocket, LeavingProcess_IsReportedWithoutDetectionDelay) {
  const auto one = free_udp_port(), other = free_udp_port();
  GossipSocket a(io, clock, core("a", one, {}), settings_for_port(one), 1, report);
  auto b = std::make_unique<GossipSocket>(io, clock, core("b", other, {at(0x7f000001, one)}),
                                          settings_for_port(other), 2, report);
  ASSERT_TRUE(wait_for([&] {
    return a.protocol().summary(clock.now()).alive == 2 && b->protocol().summary(clock.now()).alive == 2;
  }));
  b->set_facts({{kDraining, 1}});
  ASSERT_TRUE(
      wait_for([&] { return fact(a.protocol().table().members().begin()->second.record, kDraining) == 1; }));
  b->leave();
  ASSERT_TRUE(wait_for([&] { return a.protocol().summary(clock.now()).left == 1; }));
  EXPECT_EQ(a.protocol().counters().declared_unreachable, 0U);
  EXPECT_FALSE(b->is_open());
}

TEST_F(FleetSocket, InvalidDatagrams_AreCountedByErrorAndNonPeersAreIgnored) {
  const auto port = free_udp_port(), peer = free_udp_port();
  SocketSettings settings = settings_for_port(port);
  settings.contacts_only = true;
  GossipSocket shell(io, clock, core("a", port, {at(0x7f000001, peer)}), settings, 1, report);
  udp::socket friendly(io, {asio::ip::make_address("127.0.0.1"), peer});
  udp::socket strange(io, {asio::ip::make_address("127.0.0.1"), 0});
  const udp::endpoint to(asio::ip::make_address("127.0.0.1"), port);
  Datagram message;
  message.sender = {9, "peer", at(0x7f000001, peer), 0, State::alive, 0, 0, {}};
  const std::string good = encode(message, "");
  std::string version = good, damaged = good;
  version[0] = 9;
  damaged.back() = static_cast<char>(damaged.back() ^ 1);
  friendly.send_to(asio::buffer(std::string(3, 'x')), to);
  friendly.send_to(asio::buffer(version), to);
  friendly.send_to(asio::buffer(damaged), to);
  strange.send_to(asio::buffer(good), to);
  ASSERT_TRUE(wait_for([&] { return shell.counts().not_peers == 1; }));
  const auto& unreadable = shell.counts().decode_errors;
  EXPECT_EQ(unreadable[static_cast<std::size_t>(DecodeError::size)], 1U);
  EXPECT_EQ(unreadable[static_cast<std::size_t>(DecodeError::version)], 1U);
  EXPECT_EQ(unreadable[static_cast<std::size_t>(DecodeError::checksum)], 1U);
  EXPECT_EQ(shell.protocol().table().members().size(), 0U);
  // A sender whose record has an address other than its source address.
  message.sender.address = at(0x7f000001, 1);
  friendly.send_to(asio::buffer(encode(message, "")), to);
  ASSERT_TRUE(wait_for([&] { return shell.protocol().counters().address_mismatches == 1; }));
  friendly.send_to(asio::buffer(good), to);
  ASSERT_TRUE(wait_for([&] { return shell.protocol().table().members().size() == 1; }));
}

TEST_F(FleetSocket, AddressInUse_IsBoundOnceFree) {
  const auto port = free_udp_port();
  auto before =
      std::make_unique<GossipSocket>(io, clock, core("a", port, {}), settings_for_port(port), 1, report);
  GossipSocket next(io, clock, core("a", port, {}), settings_for_port(port), 2, report);
  EXPECT_FALSE(next.is_open());
  EXPECT_FALSE(next.open_error().empty());
  before->leave();
  ASSERT_TRUE(wait_for([&] { return next.is_open(); }));
  EXPECT_TRUE(next.open_error().empty());
  // The wait for the address must not count as a suspension of the process.
  ASSERT_TRUE(wait_for([&] { return next.protocol().next_wakeup() > clock.now(); }));
  for (const Change& change : changes) EXPECT_NE(change.kind, Change::Kind::suspended);
  EXPECT_EQ(next.protocol().local_health(), 0);
}

TEST_F(FleetSocket, FloodOfPings_IsAnsweredWithinBudget) {
  const auto port = free_udp_port(), peer = free_udp_port();
  SocketSettings settings = settings_for_port(port);
  settings.budget = {50, 20'000};
  GossipSocket shell(io, clock, core("a", port, {}), settings, 1, report);
  udp::socket flood(io, {asio::ip::make_address("127.0.0.1"), peer});
  Datagram message;
  message.sender = {9, "peer", at(0x7f000001, peer), 0, State::alive, 0, 0, {}};
  const Time begun = clock.now();
  std::uint64_t asked = 0;
  while (shell.counts().over_budget < 500) {
    message.body = Ping{.sequence = static_cast<std::uint32_t>(++asked)};
    flood.send_to(asio::buffer(encode(message, "")), {asio::ip::make_address("127.0.0.1"), port});
    if (asked % 20 == 0) (void)wait_for([] { return true; });
    // Run one handler per reading of the clock, as the daemon's loop does. poll() would run all ready
    // handlers with one reading; a timer that is due in real time but not by that reading would then re-arm
    // itself without end.
    clock.next_batch();
    io.restart();
    io.poll_one();
    ASSERT_LT(asked, 1'000'000U);
  }
  std::uint64_t sent = 0;
  for (const std::uint64_t kind : shell.counts().sent) sent += kind;
  clock.next_batch();
  const double seconds = static_cast<double>(clock.now() - begun) / kSecond;
  EXPECT_LE(static_cast<double>(sent), 50 * (1 + seconds) + 1);
}

// ---- Fleet in the daemon

class FleetHost : public WithDatagrams {
 protected:
  void begin(const std::string& also = {}) {
    const std::string own = "127.0.0.1:" + std::to_string(free_udp_port());
    config = config_json(
        text_of(discovery.local_endpoint()),
        list_json(1, true, {{"s-cache", cache.address()}, {"s-origin", origin.address(), "origin"}}));
    config["name"] = "n1";
    config["settings"]["Balancers"] = 12;
    config["settings"]["PolicyLimits"]["PeerMessages"] = true;
    platform::Options options = platform::parse_options(
        "[fleet]\nlisten = \"" + own + "\"\nperiod_ms = 50\nhold_ms = 0\n" + also, "o.toml");
    settings = platform::parse_settings(config.dump());
    platform::resolve(options, settings);
    fleet::resolve(options.fleet, settings, options.file);
    host = std::make_unique<daemon::Host>(io, clock, settings, options);
  }
  nlohmann::json view() {
    const std::string text = host->operators().answer({management::Command::Kind::fleet});
    return nlohmann::json::parse(text.substr(0, text.find('\n')));
  }
  bool reload() { return host->reload(platform::parse_settings(config.dump())); }
  nlohmann::json config;
  int write_count = 0;
};

TEST_F(FleetHost, ReloadBeforeViewSettles_KeepsSettingsCountAsLowerBound) {
  begin();
  EXPECT_EQ(view()["routers"], 12);
  EXPECT_EQ(view()["most"], 1);
  config["settings"]["Balancers"] = 20;
  ASSERT_TRUE(reload());
  EXPECT_EQ(view()["routers"], 20);
  config["settings"]["Balancers"] = 5;
  ASSERT_TRUE(reload());
  EXPECT_EQ(view()["routers"], 20);  // a lower count is not applied before the view has settled
  const auto brief = nlohmann::json::parse(host->operators().dump().fleet);
  EXPECT_EQ(brief["routers"], 20);
}

TEST_F(FleetHost, SettingsForbidPeerMessages_SocketClosesAndSettingsCountApplies) {
  begin();
  EXPECT_TRUE(view()["open"]);
  config["settings"]["PolicyLimits"]["PeerMessages"] = false;
  config["settings"]["Balancers"] = 7;
  ASSERT_TRUE(reload());
  EXPECT_FALSE(view()["open"]);
  EXPECT_EQ(view()["routers"], 7);
  config["settings"]["PolicyLimits"]["PeerMessages"] = true;
  ASSERT_TRUE(reload());
  EXPECT_FALSE(view()["open"]);  // it opens again only at the next start of the process
}

TEST_F(FleetHost, DrainingRouter_IsAnnouncedAndLeavesAfterLastResponse) {
  const auto port = free_udp_port();
  begin("seeds = [\"127.0.0.1:" + std::to_string(port) + "\"]\n");
  membership::Settings core;
  core.name = "other";
  core.address = at(0x7f000001, port);
  core.period = 50'000;
  core.ping_timeout = 15'000;
  SocketSettings shell;
  shell.listen = {asio::ip::make_address("127.0.0.1"), port};
  shell.contacts_only = false;
  GossipSocket other(io, clock, core, shell, 1, [](const Change&) {});
  const auto other_record = [&]() -> const Record* {
    const auto& all = other.protocol().table().members();
    return all.empty() ? nullptr : &all.begin()->second.record;
  };
  ASSERT_TRUE(wait_for([&] { return other_record() != nullptr && other_record()->state == State::alive; }));
  const auto one = client();
  one->ask(request_text("GET", "/read/1", "read"));
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  bool done = false;
  host->drain([&] { done = true; });
  ASSERT_TRUE(wait_for([&] { return fact(*other_record(), kDraining) == 1; }));
  EXPECT_EQ(other_record()->state, State::alive);
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return done && other_record()->state == State::left; }));
  EXPECT_EQ(one->status(), 200);
}

TEST_F(FleetHost, ChangedRosterFile_IsReloadedEvenIfItWasEmpty) {
  const auto file =
      std::filesystem::path(::testing::TempDir()) / ("streampick_roster_" + std::to_string(::getpid()));
  std::ofstream(file).close();
  udp::socket peer(io, {asio::ip::make_address("127.0.0.1"), 0});
  peer.non_blocking(true);
  begin("roster_file = \"" + file.string() + "\"\n");
  // Replaces the file atomically, as operators' tools do, and gives it a new modification time.
  const auto write = [&](const std::string& text) {
    std::ofstream(file.string() + ".new") << text;
    std::filesystem::rename(file.string() + ".new", file);
    std::filesystem::last_write_time(
        file, std::filesystem::last_write_time(file) + std::chrono::seconds(++write_count));
  };
  const auto heard = [&] {
    std::array<char, 1'500> buffer{};
    udp::endpoint from;
    net::error_code error;
    return peer.receive_from(asio::buffer(buffer), from, 0, error) > 0 && !error;
  };
  write("nowhere\n");  // invalid: the router keeps the previous addresses
  write("127.0.0.1:" + std::to_string(peer.local_endpoint().port()) + "  # a peer\n");
  EXPECT_TRUE(wait_for(heard));
  std::filesystem::remove(file);
}

}  // namespace
}  // namespace streampick::test
