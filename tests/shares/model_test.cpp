// Model check of the lease protocol: three routers that share a hard limit, all of them voters, and every
// order of events within a depth: a message arrives, is lost or comes twice, time passes, a process is
// killed, suspended, resumed or restarted, by clocks that differ in speed as much as the settings allow.
// After each step what may be in use is within the total; from a sample of all states faults end, and the
// whole total must become usable.
//
// LeaseModelMutation takes one safety rule out at a time and requires that the violation is found.
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
  struct UnderWay {
    std::size_t from, to;
    Message message;
  };
  std::vector<LeaseProtocol> cores;
  std::vector<bool> up = std::vector<bool>(kRouters, true), paused = std::vector<bool>(kRouters);
  std::vector<double> rates = std::vector<double>(kRouters, 1);
  std::vector<Time> ahead = std::vector<Time>(kRouters);
  Time now = 1'000 * kSecond, work = kSecond, term = 3 * kSecond;
  std::vector<UnderWay> network;
  std::size_t most_under_way = 5;
  std::vector<double> wants = std::vector<double>(kRouters, kTotal);
  std::vector<Occupancy> used = std::vector<Occupancy>(kRouters);
  int kills = 1, starts = 1, doubles = 1, pauses = 1;
  std::uint64_t boots = 0;
  std::string broken;
  const SafetyRules* rules = &kStandardSafetyRules;
  bool ignores_lease_end = false;  // a mutation: a lease is used after its end

  Time clock(std::size_t router) const {
    return static_cast<Time>(static_cast<double>(now) * rates[router]) + ahead[router];
  }
  // Sets a router's clock forward; its timers are due.
  void jump(std::size_t router, Time by) {
    ahead[router] += by;
    if (up[router] && !paused[router]) pass(0);
  }
  static std::vector<Address> everybody() {
    std::vector<Address> out;
    for (std::uint32_t i = 0; i < kRouters; ++i) out.push_back(membership::numbered(i));
    return out;
  }
  void start(std::size_t router) {
    ++boots;
    LeaseProtocol made(settings(router, work, term, *rules), 11 + boots, 90 + boots, clock(router));
    if (cores.size() <= router) {
      cores.push_back(std::move(made));
    } else {
      cores[router] = std::move(made);
    }
    up[router] = true;
    cores[router].start(clock(router));
    cores[router].set_view(clock(router), everybody(), kRouters);
    after(router);
  }
  Allowance allowance(std::size_t router) const {
    Allowance allowance = cores[router].allowance(kLimit);
    if (ignores_lease_end) allowance.lease_end = kEndlessLease;
    return allowance;
  }
  void look(std::size_t router) {
    if (!up[router]) {
      used[router].process_ended();
      return;
    }
    used[router].see(now, allowance(router), clock(router), rates[router], work);
  }
  void check() {
    double sum = 0;
    for (std::size_t i = 0; i < kRouters; ++i) sum += used[i].most(now, work, rates[i]);
    if (sum > kTotal && broken.empty()) broken = std::to_string(sum) + " in use of " + std::to_string(kTotal);
  }
  void after(std::size_t router, bool lossless = false) {
    for (OutgoingMessage& send : cores[router].take_messages())
      if (const std::size_t to = send.to - 1; up[to])
        network.push_back({router, to, std::move(send.message)});
    // Beyond this the oldest messages are lost.
    while (!lossless && network.size() > most_under_way) network.erase(network.begin());
    look(router);
    check();
  }
  void demand(std::size_t router) {
    cores[router].set_demand(clock(router), kLimit, wants[router],
                             used[router].most(now, work, rates[router]));
  }
  void pass(Time time, bool lossless = false) {
    now += time;
    for (std::size_t i = 0; i < kRouters; ++i) {
      if (!up[i]) continue;
      look(i);
      if (paused[i]) continue;
      demand(i);
      if (cores[i].next_wakeup() <= clock(i)) cores[i].tick(clock(i));
      after(i, lossless);
    }
    check();
  }
  void deliver(std::size_t place, bool again, bool lossless = false) {
    const UnderWay it = network[place];
    if (!again) network.erase(network.begin() + static_cast<std::ptrdiff_t>(place));
    if (!up[it.to] || paused[it.to]) return;
    demand(it.to);
    cores[it.to].receive(clock(it.to), membership::numbered(static_cast<std::uint32_t>(it.from)), it.message);
    after(it.to, lossless);
  }
  void kill(std::size_t router) {
    up[router] = paused[router] = false;
    std::erase_if(network, [&](const UnderWay& it) { return it.to == router; });
    look(router);
  }
  double usable() const {
    double out = 0;
    for (std::size_t i = 0; i < kRouters; ++i)
      if (up[i]) out += allowance(i).usable(clock(i));
    return out;
  }
  // Ends all faults; returns whether the whole total becomes usable within `time`.
  bool calm(Time time) {
    for (std::size_t i = 0; i < kRouters; ++i) {
      paused[i] = false;
      wants[i] = kTotal;
      if (!up[i]) start(i);
      cores[i].set_view(clock(i), everybody(), kRouters);
    }
    for (const Time end = now + time; now < end && broken.empty();) {
      while (!network.empty() && broken.empty()) deliver(0, false, true);
      if (usable() >= kTotal) return true;
      pass(kSecond / 5, true);
    }
    return usable() >= kTotal;
  }
  std::size_t granter() const {
    for (std::size_t i = 0; i < kRouters; ++i)
      if (up[i] && cores[i].is_granter(0, clock(i))) return i;
    return kRouters;
  }
  std::uint64_t fingerprint() const {
    std::uint64_t out = 14695981039346656037U;
    const auto add = [&](std::uint64_t value) { out = (out ^ value) * 1099511628211U + (out >> 29U); };
    add(static_cast<std::uint64_t>(now));
    for (std::size_t i = 0; i < kRouters; ++i) {
      add((up[i] ? 1 : 0) + (paused[i] ? 2 : 0));
      if (!up[i]) continue;
      const LeaseProtocol& core = cores[i];
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
      add(static_cast<std::uint64_t>(used[i].most(now, work, rates[i])));
    }
    for (const UnderWay& it : network) {
      add(it.from * 8 + it.to * 64 + static_cast<std::uint64_t>(it.message.kind) +
          it.message.sequence * 1024);
      add(it.message.epoch.number * 8 + it.message.epoch.incarnation);
      for (const LimitItem& item : it.message.items)
        add(static_cast<std::uint64_t>(item.demand + 16 * item.amount + 256 * item.in_use) +
            item.acknowledged_grant * 4096);
    }
    add(static_cast<std::uint64_t>(kills * 8 + starts * 4 + doubles * 2 + pauses));
    return out;
  }
};

using Search = streampick::test::ModelSearch<World>;

void steps(const World& world, const Search::Take& take) {
  take([](World& w) { w.pass(kStep); });
  for (std::size_t i = 0; i < kRouters; ++i) {
    if (world.up[i] && world.kills > 0) take([=](World& w) { --w.kills, w.kill(i); });
    if (!world.up[i] && world.starts > 0) take([=](World& w) { --w.starts, w.start(i); });
    if (world.up[i] && !world.paused[i] && world.pauses > 0)
      take([=](World& w) { --w.pauses, w.paused[i] = true; });
    if (world.up[i] && world.paused[i])
      take([=](World& w) {
        w.paused[i] = false;
        w.pass(0);
      });
  }
  for (std::size_t i = 0; i < world.network.size(); ++i) {
    take([=](World& w) { w.deliver(i, false); });
    take([=](World& w) { w.network.erase(w.network.begin() + static_cast<std::ptrdiff_t>(i)); });
    if (world.doubles > 0) take([=](World& w) { --w.doubles, w.deliver(i, true); });
  }
}

// Initial states of the search: a fleet at rest with one granter, and each way of losing the granter.
std::vector<World> beginnings(const std::vector<double>& rates) {
  World world;
  world.rates = rates;
  for (std::size_t i = 0; i < kRouters; ++i) world.start(i);
  if (!world.calm(30 * kSecond) || world.granter() == kRouters) return {};
  std::vector<World> out{world};
  const std::size_t granter = world.granter();
  // The granter's votes are about to expire, and its extensions were lost.
  World late = world;
  for (int i = 0; i < 2; ++i) {
    late.network.clear();
    late.pass(kStep);
  }
  out.push_back(late);
  // The granter is suspended, and another router was elected.
  World stopped = world;
  stopped.paused[granter] = true;
  --stopped.pauses;
  for (int i = 0; i < 60 && stopped.broken.empty(); ++i) {
    while (!stopped.network.empty()) stopped.deliver(0, false, true);
    bool another = false;
    for (std::size_t k = 0; k < kRouters; ++k)
      another |= k != granter && stopped.cores[k].is_granting(0, stopped.clock(k));
    if (another) break;
    stopped.pass(kSecond / 5, true);
  }
  out.push_back(stopped);
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
  found.faults_end = [](World calm) {
    const Settings own = settings(0, calm.work, calm.term);
    if (!calm.calm(static_cast<Time>(recovery_bound_seconds(own) * kSecond)))
      return std::string("the whole total did not become usable");
    return calm.broken;
  };
  for (const std::vector<double>& rates :
       {std::vector<double>{1, 1, 1}, {1, 1.1, 1}, {1.1, 1, 1}, {1.1, 1, 1.1}}) {
    const std::vector<World> from = beginnings(rates);
    ASSERT_FALSE(from.empty());
    for (const World& world : from) found.run(world, kDepth);
  }
  std::printf("%zu states within %d steps, from %zu of them faults ended\n", found.states, kDepth,
              found.ended);
  EXPECT_EQ(found.broken, "");
  EXPECT_GE(found.states, 1'000U);
}

// A long random history: all steps of the search, late replays, demand that moves, a router that is cut off,
// wrong views, clocks that jump. `world`: holds the rules to check; no router is started in it.
std::string drawn_history(std::uint64_t seed, World world = {}) {
  std::mt19937_64 random(seed);
  const auto draw = [&](std::uint64_t below) { return random() % below; };
  world.most_under_way = 40;
  world.work = kSecond / 5 * static_cast<Time>(1 + draw(15));
  world.term = kSecond / 2 * static_cast<Time>(5 + draw(4));
  for (double& rate : world.rates) rate = 1 + 0.05 * static_cast<double>(draw(3));
  for (std::size_t i = 0; i < kRouters; ++i) world.start(i);
  std::vector<World::UnderWay> old;
  std::size_t cut = kRouters;
  // Rates of faults differ between histories.
  const std::uint64_t disorder = 1 + draw(50), trouble = 1 + draw(12), ends = 1 + draw(6),
                      moves = 1 + draw(60), wrong_views = draw(10), jumps = draw(2);
  for (int step = 0; step < 2'000 && world.broken.empty(); ++step) {
    std::uint64_t what = draw(500);
    const std::size_t who = draw(kRouters);
    const auto in = [&](std::uint64_t share) {
      const bool out = what < share;
      what -= out ? 0 : share;
      return out;
    };
    if (in(trouble)) {
      cut = draw(kRouters + 2);
    } else if (in(trouble)) {
      world.paused[who] = world.up[who] && !world.paused[who];
      if (!world.paused[who] && world.up[who]) world.pass(0);
    } else if (in(ends)) {
      if (world.up[who]) world.kill(who);
    } else if (in(2 * ends)) {
      if (!world.up[who]) world.start(who);
    } else if (in(moves)) {
      world.wants[who] = static_cast<double>(draw(6));
    } else if (in(wrong_views)) {
      // A wrong view: living routers are missing, dead ones are listed, the count may be too low.
      std::vector<Address> seen;
      for (std::uint32_t i = 0; i < kRouters; ++i)
        if (draw(2) == 0) seen.push_back(membership::numbered(i));
      if (world.up[who])
        world.cores[who].set_view(world.clock(who), std::move(seen), static_cast<std::uint32_t>(1 + draw(6)));
    } else if (in(jumps)) {
      world.jump(who, 2 * world.term);
    } else if (in(disorder) && !old.empty()) {
      const World::UnderWay& it = old[draw(old.size())];
      if (world.up[it.to]) world.network.push_back(it);
    } else if (in(100) || world.network.empty()) {
      world.pass(static_cast<Time>(draw(200'000)));
    } else {
      // Mostly in order, sometimes any.
      const std::size_t place = draw(100) < disorder ? draw(world.network.size()) : 0;
      const World::UnderWay it = world.network[place];
      if (old.size() < 50)
        old.push_back(it);
      else
        old[draw(50)] = it;
      if (it.from == cut || it.to == cut || draw(500) < disorder) {
        world.network.erase(world.network.begin() + static_cast<std::ptrdiff_t>(place));
      } else {
        world.deliver(place, draw(200) < disorder);
      }
    }
  }
  if (!world.broken.empty()) return world.broken;
  world.network.clear();
  const Settings own = settings(0, world.work, world.term);
  if (!world.calm(static_cast<Time>(recovery_bound_seconds(own) * kSecond)) && world.broken.empty())
    return "the whole total did not become usable";
  return world.broken;
}

constexpr std::uint64_t kDrawnHistories = 20'000;

TEST(LeaseModel, DrawnHistories_KeepUseWithinTotal) {
  std::size_t broken = 0;
  std::string first;
  for (std::uint64_t seed = 1; seed <= kDrawnHistories; ++seed) {
    const std::string wrong = drawn_history(seed);
    if (wrong.empty()) continue;
    if (broken++ == 0) first = "seed " + std::to_string(seed) + ": " + wrong;
  }
  EXPECT_EQ(broken, 0U) << first;
}

// A grant of this granter that is under way is not acknowledged by a grant number of another granter. Returns
// the amounts granted, and what is outstanding at the end.
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
  amounts.push_back(claim(1, 0, 50, false));  // its holder has applied fifty of the granter before
  amounts.push_back(claim(2, 2, 0, true));
  amounts.push_back(claim(2, 2, 3, true));  // of two, one may be in use by the first holder
  amounts.push_back(table.outstanding(now));
  return amounts;
}

const std::vector<double> kOneStaysOutstanding = {1, 0, 1, 1, 2};

TEST(LeaseModel, AcknowledgementOfAnotherEpoch_FreesNoGrant) {
  EXPECT_EQ(claims_with_foreign_acknowledgement(kStandardSafetyRules), kOneStaysOutstanding);
}

// A successor at the same address numbers its claims from 1 again, so that a grant to its predecessor could
// match one.
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
  // The lease ends by the holder's clock, with a margin for the granter's.
  EXPECT_EQ(core.allowance(kLimit).usable(now + shrink_for_drift(kSecond, alone.max_clock_drift) - 1), 3);
  EXPECT_EQ(core.allowance(kLimit).usable(now + shrink_for_drift(kSecond, alone.max_clock_drift)), 1);
}

// ---- Each safety rule is needed: without it the checks above fail.

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

// So that names of tests do not contain the bytes of an object.
void PrintTo(const Mutation& mutation, std::ostream* out) { *out << mutation.name; }

class LeaseModelMutation : public testing::TestWithParam<Mutation> {};

TEST_P(LeaseModelMutation, WithoutRule_DrawnHistoryFindsViolation) {
  World world;
  world.rules = GetParam().rules;
  world.ignores_lease_end = GetParam().ignores_lease_end;
  std::string violation;
  for (std::uint64_t seed = 1; seed <= kDrawnHistories && violation.empty(); ++seed) {
    violation = drawn_history(seed, world);
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

// Too rare to be drawn.
TEST(LeaseModelMutationOfFence, WithoutEpochFence_ForeignAcknowledgementFreesGrant) {
  EXPECT_NE(claims_with_foreign_acknowledgement(kNoEpochFence), kOneStaysOutstanding);
}

}  // namespace
}  // namespace streampick::leases::test
