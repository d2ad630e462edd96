// Model check of the lease protocol: three routers, all of them voters, share a hard limit. The search runs
// every order of events up to a depth: a message arrives, is lost or is duplicated; time passes; a process is
// killed, suspended, resumed or restarted. Clocks differ in speed by as much as the settings allow. After
// each step, the amount that may be in use must be within the total. From a sample of all states, faults end,
// and the whole total must become usable.
//
// LeaseModelMutation disables one safety rule at a time and requires that the check finds a violation.
#include <gtest/gtest.h>

#include <ostream>
#include <random>

#include "model_search.h"
#include "occupancy.h"
#include "shares/bounds.h"
#include "shares/lease_protocol.h"

namespace streampick::leases::test {
namespace {

constexpr std::size_t kRouters = 3;
#ifdef STREAMPICK_LEASES_DEPTH
constexpr int kDepth = STREAMPICK_LEASES_DEPTH;
#else
constexpr int kDepth = 5;
#endif
constexpr LimitId kLimit = 7;
constexpr double kTotal = 5;
constexpr Time kStep = kSecond;
constexpr Time kEndlessLease = 1'000'000 * kSecond;

Settings settings(std::size_t router, Time work, Time term, const SafetyRules& rules = kStandardSafetyRules) {
  Settings out;
  out.safety_rules = &rules;
  out.self = membership::numbered(static_cast<std::uint32_t>(router));
  for (std::uint32_t i = 0; i < kRouters; ++i) out.voters.push_back(membership::numbered(i));
  out.expected_routers = kRouters;
  out.guaranteed_share = 0.6;
  out.max_work_duration = work;
  out.term = out.lease_duration = term;
  out.limits = {{"places", kLimit, LimitKind::hard, kTotal}};
  return out;
}

struct World {
  struct MessageInFlight {
    std::size_t from, to;
    Message message;
  };
  std::vector<LeaseProtocol> protocols;
  std::vector<bool> is_up = std::vector<bool>(kRouters, true), is_paused = std::vector<bool>(kRouters);
  std::vector<double> rates = std::vector<double>(kRouters, 1);
  std::vector<Time> clock_offset = std::vector<Time>(kRouters);
  Time now = 1'000 * kSecond, work = kSecond, term = 3 * kSecond;
  std::vector<MessageInFlight> network;
  std::size_t max_in_flight = 5;
  std::vector<double> demands = std::vector<double>(kRouters, kTotal);
  std::vector<Occupancy> occupancies = std::vector<Occupancy>(kRouters);
  int kills = 1, starts = 1, duplicates = 1, pauses = 1;  // faults that the search may still cause
  std::uint64_t incarnations = 0;
  std::string broken;  // description of the first violation; empty: none
  const SafetyRules* rules = &kStandardSafetyRules;
  bool ignores_lease_end = false;  // mutation: a lease is used after its end

  Time clock(std::size_t router) const {
    return static_cast<Time>(static_cast<double>(now) * rates[router]) + clock_offset[router];
  }
  // Sets a router's clock forward, so that its timers are due.
  void jump_clock(std::size_t router, Time by) {
    clock_offset[router] += by;
    if (is_up[router] && !is_paused[router]) advance(0);
  }
  static std::vector<Address> all_addresses() {
    std::vector<Address> out;
    for (std::uint32_t i = 0; i < kRouters; ++i) out.push_back(membership::numbered(i));
    return out;
  }
  void start(std::size_t router) {
    ++incarnations;
    LeaseProtocol started(settings(router, work, term, *rules), 11 + incarnations, 90 + incarnations,
                          clock(router));
    if (protocols.size() <= router) {
      protocols.push_back(std::move(started));
    } else {
      protocols[router] = std::move(started);
    }
    is_up[router] = true;
    protocols[router].start(clock(router));
    protocols[router].set_view(clock(router), all_addresses(), kRouters);
    after_event(router);
  }
  Allowance allowance(std::size_t router) const {
    Allowance allowance = protocols[router].allowance(kLimit);
    if (ignores_lease_end) allowance.lease_end = kEndlessLease;
    return allowance;
  }
  void observe(std::size_t router) {
    if (!is_up[router]) {
      occupancies[router].process_ended();
      return;
    }
    occupancies[router].observe(now, allowance(router), clock(router), rates[router], work);
  }
  void check_total() {
    double sum = 0;
    for (std::size_t i = 0; i < kRouters; ++i) sum += occupancies[i].max_in_use(now, work, rates[i]);
    if (sum > kTotal && broken.empty()) broken = std::to_string(sum) + " in use of " + std::to_string(kTotal);
  }
  void after_event(std::size_t router, bool lossless = false) {
    for (OutgoingMessage& send : protocols[router].take_messages())
      if (const std::size_t to = send.to - 1; is_up[to])
        network.push_back({router, to, std::move(send.message)});
    // When too many messages are in flight, the oldest are lost.
    while (!lossless && network.size() > max_in_flight) network.erase(network.begin());
    observe(router);
    check_total();
  }
  void report_demand(std::size_t router) {
    protocols[router].set_demand(clock(router), kLimit, demands[router],
                                 occupancies[router].max_in_use(now, work, rates[router]));
  }
  void advance(Time time, bool lossless = false) {
    now += time;
    for (std::size_t i = 0; i < kRouters; ++i) {
      if (!is_up[i]) continue;
      observe(i);
      if (is_paused[i]) continue;
      report_demand(i);
      if (protocols[i].next_wakeup() <= clock(i)) protocols[i].tick(clock(i));
      after_event(i, lossless);
    }
    check_total();
  }
  void deliver_message(std::size_t place, bool again, bool lossless = false) {
    const MessageInFlight in_flight = network[place];
    if (!again) network.erase(network.begin() + static_cast<std::ptrdiff_t>(place));
    if (!is_up[in_flight.to] || is_paused[in_flight.to]) return;
    report_demand(in_flight.to);
    protocols[in_flight.to].receive(clock(in_flight.to),
                                    membership::numbered(static_cast<std::uint32_t>(in_flight.from)),
                                    in_flight.message);
    after_event(in_flight.to, lossless);
  }
  void kill(std::size_t router) {
    is_up[router] = is_paused[router] = false;
    std::erase_if(network, [&](const MessageInFlight& in_flight) { return in_flight.to == router; });
    observe(router);
  }
  double usable() const {
    double out = 0;
    for (std::size_t i = 0; i < kRouters; ++i)
      if (is_up[i]) out += allowance(i).usable(clock(i));
    return out;
  }
  // Ends all faults; returns whether the whole total becomes usable within `time`.
  bool end_faults(Time time) {
    for (std::size_t i = 0; i < kRouters; ++i) {
      is_paused[i] = false;
      demands[i] = kTotal;
      if (!is_up[i]) start(i);
      protocols[i].set_view(clock(i), all_addresses(), kRouters);
    }
    for (const Time end = now + time; now < end && broken.empty();) {
      while (!network.empty() && broken.empty()) deliver_message(0, false, true);
      if (usable() >= kTotal) return true;
      advance(kSecond / 5, true);
    }
    return usable() >= kTotal;
  }
  std::size_t granter() const {
    for (std::size_t i = 0; i < kRouters; ++i)
      if (is_up[i] && protocols[i].is_granter(0, clock(i))) return i;
    return kRouters;
  }
  std::uint64_t fingerprint() const {
    std::uint64_t out = 14695981039346656037U;
    const auto add = [&](std::uint64_t value) { out = (out ^ value) * 1099511628211U + (out >> 29U); };
    add(static_cast<std::uint64_t>(now));
    for (std::size_t i = 0; i < kRouters; ++i) {
      add((is_up[i] ? 1 : 0) + (is_paused[i] ? 2 : 0));
      if (!is_up[i]) continue;
      const LeaseProtocol& core = protocols[i];
      const Allowance allowance = core.allowance(kLimit);
      add(core.incarnation());
      add(static_cast<std::uint64_t>(allowance.leased));
      add(static_cast<std::uint64_t>(allowance.lease_end));
      add(core.epoch(0).number * 8 + core.epoch(0).incarnation);
      add(static_cast<std::uint64_t>(core.next_wakeup()));
      add(core.counters().leases_applied * 64 + core.counters().votes_rejected);
      add(core.is_granter(0, clock(i)) ? 1 : 2);
      if (const LeaseTable* table = core.lease_table(kLimit))
        add(static_cast<std::uint64_t>(table->outstanding(clock(i))) + 100 * table->holder_count());
      add(static_cast<std::uint64_t>(occupancies[i].max_in_use(now, work, rates[i])));
    }
    for (const MessageInFlight& in_flight : network) {
      add(in_flight.from * 8 + in_flight.to * 64 + static_cast<std::uint64_t>(in_flight.message.kind) +
          in_flight.message.sequence * 1024);
      add(in_flight.message.epoch.number * 8 + in_flight.message.epoch.incarnation);
      for (const LimitItem& item : in_flight.message.items)
        add(static_cast<std::uint64_t>(item.demand + 16 * item.amount + 256 * item.in_use) +
            item.acknowledged_grant * 4096);
    }
    add(static_cast<std::uint64_t>(kills * 8 + starts * 4 + duplicates * 2 + pauses));
    return out;
  }
};

using Search = streampick::test::ModelSearch<World>;

void steps(const World& world, const Search::Take& take) {
  take([](World& w) { w.advance(kStep); });
  for (std::size_t i = 0; i < kRouters; ++i) {
    if (world.is_up[i] && world.kills > 0) take([=](World& w) { --w.kills, w.kill(i); });
    if (!world.is_up[i] && world.starts > 0) take([=](World& w) { --w.starts, w.start(i); });
    if (world.is_up[i] && !world.is_paused[i] && world.pauses > 0)
      take([=](World& w) { --w.pauses, w.is_paused[i] = true; });
    if (world.is_up[i] && world.is_paused[i])
      take([=](World& w) {
        w.is_paused[i] = false;
        w.advance(0);
      });
  }
  for (std::size_t i = 0; i < world.network.size(); ++i) {
    take([=](World& w) { w.deliver_message(i, false); });
    take([=](World& w) { w.network.erase(w.network.begin() + static_cast<std::ptrdiff_t>(i)); });
    if (world.duplicates > 0) take([=](World& w) { --w.duplicates, w.deliver_message(i, true); });
  }
}

// Initial states of the search: an idle fleet with one granter, and each way of losing the granter.
std::vector<World> initial_states(const std::vector<double>& rates) {
  World world;
  world.rates = rates;
  for (std::size_t i = 0; i < kRouters; ++i) world.start(i);
  if (!world.end_faults(30 * kSecond) || world.granter() == kRouters) return {};
  std::vector<World> out{world};
  const std::size_t granter = world.granter();
  // The granter's votes are about to expire because its requests to extend them were lost.
  World expiring = world;
  for (int i = 0; i < 2; ++i) {
    expiring.network.clear();
    expiring.advance(kStep);
  }
  out.push_back(expiring);
  // The granter is suspended, and another router was elected.
  World suspended = world;
  suspended.is_paused[granter] = true;
  --suspended.pauses;
  for (int i = 0; i < 60 && suspended.broken.empty(); ++i) {
    while (!suspended.network.empty()) suspended.deliver_message(0, false, true);
    bool another = false;
    for (std::size_t k = 0; k < kRouters; ++k)
      another |= k != granter && suspended.protocols[k].is_granting(0, suspended.clock(k));
    if (another) break;
    suspended.advance(kSecond / 5, true);
  }
  out.push_back(suspended);
  // The granter was killed and restarted.
  World killed = world;
  killed.kill(granter);
  --killed.kills;
  killed.start(granter);
  --killed.starts;
  out.push_back(killed);
  return out;
}

TEST(LeaseModel, EveryOrderOfEvents_KeepsUseWithinTotal) {
  Search found;
  found.steps = steps;
  found.each = 50;
  found.faults_end = [](World world) {
    const Settings own = settings(0, world.work, world.term);
    if (!world.end_faults(static_cast<Time>(recovery_bound_seconds(own) * kSecond)))
      return std::string("the whole total did not become usable");
    return world.broken;
  };
  for (const std::vector<double>& rates :
       {std::vector<double>{1, 1, 1}, {1, 1.1, 1}, {1.1, 1, 1}, {1.1, 1, 1.1}}) {
    const std::vector<World> from = initial_states(rates);
    ASSERT_FALSE(from.empty());
    for (const World& world : from) found.run(world, kDepth);
  }
  std::printf("%zu states within %d steps, from %zu of them faults ended\n", found.states, kDepth,
              found.ended);
  EXPECT_EQ(found.broken, "");
  EXPECT_GE(found.states, 1'000U);
}

// Runs a long random history: all steps of the search, and also late replays of messages, moving demand, a
// router that is cut off, wrong views and clock jumps. `world` holds the rules to check; its routers must not
// have been started. Returns a description of the violation, or an empty string.
std::string run_random_history(std::uint64_t seed, World world = {}) {
  std::mt19937_64 random(seed);
  const auto draw = [&](std::uint64_t below) { return random() % below; };
  world.max_in_flight = 40;
  world.work = kSecond / 5 * static_cast<Time>(1 + draw(15));
  world.term = kSecond / 2 * static_cast<Time>(5 + draw(4));
  for (double& rate : world.rates) rate = 1 + 0.05 * static_cast<double>(draw(3));
  for (std::size_t i = 0; i < kRouters; ++i) world.start(i);
  std::vector<World::MessageInFlight> delivered;
  std::size_t cut = kRouters;
  // The rates of faults differ between histories.
  const std::uint64_t disorder = 1 + draw(50), interruptions = 1 + draw(12), kills_and_starts = 1 + draw(6),
                      demand_moves = 1 + draw(60), wrong_views = draw(10), jumps = draw(2);
  for (int step = 0; step < 2'000 && world.broken.empty(); ++step) {
    std::uint64_t event = draw(500);
    const std::size_t router = draw(kRouters);
    const auto in = [&](std::uint64_t share) {
      const bool out = event < share;
      event -= out ? 0 : share;
      return out;
    };
    if (in(interruptions)) {
      cut = draw(kRouters + 2);
    } else if (in(interruptions)) {
      world.is_paused[router] = world.is_up[router] && !world.is_paused[router];
      if (!world.is_paused[router] && world.is_up[router]) world.advance(0);
    } else if (in(kills_and_starts)) {
      if (world.is_up[router]) world.kill(router);
    } else if (in(2 * kills_and_starts)) {
      if (!world.is_up[router]) world.start(router);
    } else if (in(demand_moves)) {
      world.demands[router] = static_cast<double>(draw(6));
    } else if (in(wrong_views)) {
      // A wrong view: live routers may be missing, dead ones may be listed, and the count may be too low.
      std::vector<Address> seen;
      for (std::uint32_t i = 0; i < kRouters; ++i)
        if (draw(2) == 0) seen.push_back(membership::numbered(i));
      if (world.is_up[router])
        world.protocols[router].set_view(world.clock(router), std::move(seen),
                                         static_cast<std::uint32_t>(1 + draw(6)));
    } else if (in(jumps)) {
      world.jump_clock(router, 2 * world.term);
    } else if (in(disorder) && !delivered.empty()) {
      const World::MessageInFlight& in_flight = delivered[draw(delivered.size())];
      if (world.is_up[in_flight.to]) world.network.push_back(in_flight);
    } else if (in(100) || world.network.empty()) {
      world.advance(static_cast<Time>(draw(200'000)));
    } else {
      // Mostly the oldest message, sometimes a random one.
      const std::size_t place = draw(100) < disorder ? draw(world.network.size()) : 0;
      const World::MessageInFlight in_flight = world.network[place];
      if (delivered.size() < 50)
        delivered.push_back(in_flight);
      else
        delivered[draw(50)] = in_flight;
      if (in_flight.from == cut || in_flight.to == cut || draw(500) < disorder) {
        world.network.erase(world.network.begin() + static_cast<std::ptrdiff_t>(place));
      } else {
        world.deliver_message(place, draw(200) < disorder);
      }
    }
  }
  if (!world.broken.empty()) return world.broken;
  world.network.clear();
  const Settings own = settings(0, world.work, world.term);
  if (!world.end_faults(static_cast<Time>(recovery_bound_seconds(own) * kSecond)) && world.broken.empty())
    return "the whole total did not become usable";
  return world.broken;
}

constexpr std::uint64_t kRandomHistories = 20'000;

TEST(LeaseModel, RandomHistories_KeepUseWithinTotal) {
  std::size_t broken = 0;
  std::string first;
  for (std::uint64_t seed = 1; seed <= kRandomHistories; ++seed) {
    const std::string wrong = run_random_history(seed);
    if (wrong.empty()) continue;
    if (broken++ == 0) first = "seed " + std::to_string(seed) + ": " + wrong;
  }
  EXPECT_EQ(broken, 0U) << first;
}

// Checks that an acknowledgement with another granter's grant number does not acknowledge a delayed grant of
// this granter. Returns the granted amounts and, at the end, the outstanding amount.
std::vector<double> claims_with_foreign_acknowledgement(const SafetyRules& rules) {
  const Settings own = settings(0, kSecond, 3 * kSecond, rules);
  LeaseTable table;
  Time now = kSecond;
  std::uint32_t sequence = 0;
  const auto claim = [&](Incarnation holder, double demand, std::uint32_t acknowledged, bool same_epoch) {
    now += own.period / 5;
    ++sequence;
    const LeaseTable::Claim request{
        .holder = holder,
        .from = holder,
        .sequence = sequence,
        .item = {.limit = kLimit, .demand = demand, .acknowledged_grant = acknowledged},
        .weight = 1,
        .same_epoch = same_epoch};
    return table.claim(now, own, own.limits[0], kRouters, request, {.number = sequence, .duration = kSecond})
        .value_or(-1);
  };
  std::vector<double> amounts;
  amounts.push_back(claim(1, 1, 0, true));    // this grant is delayed
  amounts.push_back(claim(1, 0, 50, false));  // its holder has applied 50 grants of the previous granter
  amounts.push_back(claim(2, 2, 0, true));
  amounts.push_back(claim(2, 2, 3, true));  // of two units, the first holder may use one
  amounts.push_back(table.outstanding(now));
  return amounts;
}

const std::vector<double> kOneStaysOutstanding = {1, 0, 1, 1, 2};

TEST(LeaseModel, AcknowledgementOfAnotherEpoch_FreesNoGrant) {
  EXPECT_EQ(claims_with_foreign_acknowledgement(kStandardSafetyRules), kOneStaysOutstanding);
}

// A successor process at the same address numbers its claims from 1 again, so a grant to its predecessor can
// have the sequence number of one of its claims.
TEST(LeaseModel, GrantForAnotherIncarnation_IsNotApplied) {
  Settings alone = settings(0, kSecond, 3 * kSecond);
  alone.self = membership::numbered(1);
  LeaseProtocol core(alone, 5, 5, kSecond);
  core.start(kSecond);
  core.set_demand(kSecond, kLimit, kTotal, 0);
  core.set_view(kSecond, {membership::numbered(0)}, kRouters);
  Message claim;
  Time now = kSecond;
  for (int i = 0; i < 10 && claim.kind != Message::Kind::claim; ++i, now = core.next_wakeup()) {
    core.tick(now);
    for (const OutgoingMessage& send : core.take_messages())
      if (send.message.kind == Message::Kind::claim) claim = send.message;
    if (claim.kind == Message::Kind::claim) break;
  }
  ASSERT_EQ(claim.kind, Message::Kind::claim);
  Message grant;
  grant.kind = Message::Kind::grant;
  grant.sender = 9;
  grant.epoch = {3, 9};
  grant.sequence = claim.sequence;
  grant.grant_number = 1;
  grant.duration = kSecond;
  grant.items = {{.limit = kLimit, .amount = 2}};
  for (const Incarnation holder : {4, 5}) {
    grant.holder = holder;
    core.receive(now, membership::numbered(0), grant);
    EXPECT_EQ(core.allowance(kLimit).leased, holder == 5 ? 2 : 0);
  }
  EXPECT_EQ(core.counters().stale_grants, 1U);
  // The holder ends the lease early enough for a granter whose clock runs faster.
  EXPECT_EQ(core.allowance(kLimit).usable(now + shrink_for_drift(kSecond, alone.max_clock_drift) - 1), 3);
  EXPECT_EQ(core.allowance(kLimit).usable(now + shrink_for_drift(kSecond, alone.max_clock_drift)), 1);
}

// ---- Each safety rule is necessary: without it, the checks above find a violation.

struct NoClockMargin final : SafetyRules {
  Time expiry(Time requested, Time duration, double /*max_clock_drift*/) const override {
    return requested + duration;
  }
};
struct NoEpochFence final : SafetyRules {
  bool is_fenced(const Epoch& /*epoch*/, const Epoch& /*newer*/) const override { return false; }
  bool acknowledges(bool /*same_epoch*/) const override { return true; }
};
struct NoWaitBeforeGranting final : SafetyRules {
  Time wait_before_granting(Time /*max_work_duration*/, double /*max_clock_drift*/) const override {
    return 0;
  }
};
struct QuorumOfOne final : SafetyRules {
  std::size_t quorum(std::size_t /*voters*/) const override { return 1; }
};
struct NoSilence final : SafetyRules {
  Time silence(Time /*term*/, double /*max_clock_drift*/) const override { return 0; }
};
struct ForgetsUnacknowledgedGrants final : SafetyRules {
  bool keeps_unacknowledged_grants() const override { return false; }
};

const NoClockMargin kNoClockMargin;
const NoEpochFence kNoEpochFence;
const NoWaitBeforeGranting kNoWaitBeforeGranting;
const QuorumOfOne kQuorumOfOne;
const NoSilence kNoSilence;
const ForgetsUnacknowledgedGrants kForgetsUnacknowledgedGrants;

struct Mutation {
  const char* name;
  const SafetyRules* rules = &kStandardSafetyRules;
  bool ignores_lease_end = false;
};

// Without this, GoogleTest prints the bytes of the object as part of the test's name.
void PrintTo(const Mutation& mutation, std::ostream* out) { *out << mutation.name; }

class LeaseModelMutation : public testing::TestWithParam<Mutation> {};

TEST_P(LeaseModelMutation, WithoutRule_RandomHistoryFindsViolation) {
  World world;
  world.rules = GetParam().rules;
  world.ignores_lease_end = GetParam().ignores_lease_end;
  std::string violation;
  for (std::uint64_t seed = 1; seed <= kRandomHistories && violation.empty(); ++seed) {
    violation = run_random_history(seed, world);
    if (!violation.empty())
      std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), violation.c_str());
  }
  EXPECT_NE(violation, "");
}
INSTANTIATE_TEST_SUITE_P(
    Rules, LeaseModelMutation,
    testing::Values(Mutation{.name = "clock_margin", .rules = &kNoClockMargin},
                    Mutation{.name = "wait_before_granting", .rules = &kNoWaitBeforeGranting},
                    Mutation{.name = "use_after_expiry", .ignores_lease_end = true},
                    Mutation{.name = "quorum", .rules = &kQuorumOfOne},
                    Mutation{.name = "silence", .rules = &kNoSilence},
                    Mutation{.name = "unacknowledged_grants", .rules = &kForgetsUnacknowledgedGrants}),
    [](const auto& mutation) { return std::string(mutation.param.name); });

// Random histories reach this violation too rarely, so it has a test of its own.
TEST(LeaseModelMutationOfFence, WithoutEpochFence_ForeignAcknowledgementFreesGrant) {
  EXPECT_NE(claims_with_foreign_acknowledgement(kNoEpochFence), kOneStaysOutstanding);
}

}  // namespace
}  // namespace streampick::leases::test
