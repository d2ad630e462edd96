// Unit tests of the lease protocol: fair division, the lease table, the application of grants, and payloads.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <map>
#include <numeric>
#include <random>

#include "shares/fair_division.h"
#include "shares/lease_protocol.h"
#include "shares/lease_table.h"
#include "shares/wire.h"

namespace streampick::leases {
namespace {

std::vector<Demand> random_demands(std::mt19937_64& random, bool whole) {
  std::vector<Demand> out(1 + random() % 30);
  for (Demand& demand : out) {
    demand.amount = random() % 4 == 0 ? 0 : static_cast<double>(random() % 1'000) / (whole ? 20 : 17);
    if (whole) demand.amount = std::floor(demand.amount);
    demand.weight = random() % 3 == 0 ? 1 : 0.1 + static_cast<double>(random() % 99) / 10;
  }
  return out;
}

// No share exceeds its demand; either the whole total is divided or all demand is met; and an unmet demand
// gets, in proportion to its weight, no less than any other.
TEST(FairDivision, RandomDemands_AreDividedMaxMinFair) {
  rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const std::vector<Demand> demands = random_demands(random, false);
    const double total = static_cast<double>(random() % 2'000) / 7;
    const std::vector<double> shares = max_min_fair(total, demands);
    double demanded = 0, assigned = 0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
      RC_ASSERT(shares[i] >= 0 && shares[i] <= demands[i].amount);
      demanded += demands[i].amount;
      assigned += shares[i];
    }
    RC_ASSERT(assigned <= total + 1e-9);
    RC_ASSERT(std::abs(assigned - std::min(total, demanded)) < 1e-6);
    for (std::size_t i = 0; i < demands.size(); ++i)
      for (std::size_t k = 0; k < demands.size() && shares[i] + 1e-9 < demands[i].amount; ++k)
        RC_ASSERT(shares[i] / demands[i].weight + 1e-6 >= shares[k] / demands[k].weight);
  });
}

TEST(FairDivision, IntegralUnits_LeaveNothingAndAverageToFairShares) {
  rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const std::vector<Demand> demands = random_demands(random, true);
    const auto total = static_cast<double>(random() % 200);
    std::vector<double> shortfalls(demands.size()), owned(demands.size());
    std::vector<double> sums(demands.size());
    const std::vector<double> fair = max_min_fair(total, demands);
    constexpr int kRounds = 400;
    double demanded = 0;
    for (const Demand& demand : demands) demanded += demand.amount;
    for (int round = 0; round < kRounds; ++round) {
      const std::vector<double> shares = integral_max_min_fair(total, demands, shortfalls, owned);
      double assigned = 0;
      for (std::size_t i = 0; i < shares.size(); ++i) {
        RC_ASSERT(shares[i] == std::floor(shares[i]) && shares[i] <= demands[i].amount);
        assigned += shares[i];
        sums[i] += shares[i];
      }
      RC_ASSERT(assigned == std::min(total, demanded));
      owned = shares;
    }
    // The mean differs from the fair share by no more than the bound of accumulated shortfalls allows.
    for (std::size_t i = 0; i < demands.size(); ++i)
      RC_ASSERT(std::abs(sums[i] / kRounds - fair[i]) <
                (static_cast<double>(demands.size()) + 2 * kHoldDivisions) / kRounds + 0.02);
  });
}

TEST(FairDivision, OneUnitAmongTwelve_RotatesSlowly) {
  const std::vector<Demand> demands(12, Demand{1, 1});
  std::vector<double> shortfalls(12), owned(12), total_owned(12);
  int moves = 0;
  for (int round = 0; round < 480; ++round) {
    const std::vector<double> shares = integral_max_min_fair(1, demands, shortfalls, owned);
    moves += shares != owned ? 1 : 0;
    for (std::size_t i = 0; i < 12; ++i) total_owned[i] += shares[i];
    owned = shares;
  }
  for (const double one : total_owned) EXPECT_GE(one, 30);
  EXPECT_LE(moves, 130);  // a unit stays for kHoldDivisions
}

TEST(LeaseTable, UnboundedClaim_GetsItsFairShare) {
  Settings settings;
  settings.expected_routers = 4;
  for (const LimitKind kind : {LimitKind::hard, LimitKind::soft}) {
    const Limit limit{.name = "x", .id = 1, .kind = kind, .total = 100};
    LeaseTable table;
    Time now = kSecond;
    std::vector<double> owned(4);
    std::vector<std::uint32_t> acknowledged(4);
    std::uint32_t number = 0;
    for (int round = 0; round < 40; ++round, now += kSecond / 2)
      for (std::size_t i = 0; i < 4; ++i) {
        ++number;
        const LimitItem item{.limit = 1,
                             .demand = i == 0 ? 1e9 : 30.0,
                             .acknowledged_grant = acknowledged[i],
                             .amount = owned[i]};
        const auto amount_granted = table.claim(
            now, settings, limit, 4,
            {.holder = i + 1, .from = i + 1, .sequence = number, .item = item, .same_epoch = true},
            {.number = number, .duration = 3 * kSecond});
        ASSERT_TRUE(amount_granted);
        owned[i] = *amount_granted;
        acknowledged[i] = number;
      }
    const double pool = kind == LimitKind::hard ? leasable_total(limit, settings) : 100;
    for (std::size_t i = 0; i < 4; ++i) EXPECT_NEAR(owned[i], pool / 4, 0.06 * pool) << i;
    EXPECT_LE(std::accumulate(owned.begin(), owned.end(), 0.0), pool);
    // A late claim is ignored.
    EXPECT_FALSE(table.claim(
        now, settings, limit, 4,
        {.holder = 1, .from = 1, .sequence = 1, .item = {.limit = 1, .demand = 5}, .same_epoch = true},
        {.number = ++number, .duration = kSecond}));
  }
}

// Processes that claim from the same address, one after another, together get one router's share. For a hard
// limit, each process waits until its predecessor's leases have expired.
TEST(LeaseTable, ManyProcessesAtOneAddress_HaveOneShare) {
  Settings settings;
  settings.expected_routers = 4;
  settings.reserve_share = 0;
  for (const LimitKind kind : {LimitKind::hard, LimitKind::soft}) {
    const Limit limit{.name = "x", .id = 1, .kind = kind, .total = 80};
    const double pool = kind == LimitKind::hard ? leasable_total(limit, settings) : 80;
    LeaseTable table;
    Time now = kSecond;
    std::uint32_t number = 0;
    std::map<Address, double> owned;
    for (int round = 0; round < 60; ++round, now += settings.period)
      for (Address address = 1; address <= 4; ++address) {
        // The first address claims as a new process each time.
        const Incarnation incarnation = address == 1 ? 100 + static_cast<Incarnation>(round) : address;
        const LimitItem item{
            .limit = 1, .demand = 80, .acknowledged_grant = number, .amount = owned[address]};
        ++number;
        const auto amount_granted = table.claim(
            now, settings, limit, 4,
            {.holder = incarnation, .from = address, .sequence = number, .item = item, .same_epoch = true},
            {.number = number, .duration = settings.lease_duration});
        owned[address] = amount_granted.value_or(0);
        ASSERT_LE(table.holder_count(), 3 + LeaseTable::kMaxHoldersPerAddress);
        if (kind == LimitKind::hard) ASSERT_LE(table.outstanding(now), pool);
      }
    for (Address address = 2; address <= 4; ++address)
      EXPECT_GE(owned[address], std::floor(pool / 4)) << address;
    EXPECT_LE(owned[1], std::ceil(pool / 4));
  }
}

// For any order of claims, grants and acknowledgements.
TEST(LeaseTable, RandomClaims_KeepOutstandingWithinPool) {
  rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    Settings settings;
    settings.expected_routers = 6;
    settings.max_work_duration = static_cast<Time>(random() % 5) * kSecond;
    Limit limit{"x", 1, LimitKind::hard, static_cast<double>(random() % 40)};
    const double pool = leasable_total(limit, settings);
    struct Holder {
      std::uint32_t acknowledged = 0;
      double amount = 0;
      std::vector<std::pair<std::uint32_t, double>> in_flight;
    };
    std::vector<Holder> holders(6);
    LeaseTable table;
    Time now = kSecond;
    std::uint32_t number = 0;
    for (int step = 0; step < 300; ++step) {
      now += static_cast<Time>(random() % 500'000);
      const std::size_t i = random() % holders.size();
      Holder& claimer = holders[i];
      if (!claimer.in_flight.empty() && random() % 2 == 0) {
        const auto [grant, amount] = claimer.in_flight[random() % claimer.in_flight.size()];
        if (grant > claimer.acknowledged) {
          claimer.acknowledged = grant;
          claimer.amount = amount;
        }
        continue;
      }
      claimer.amount = std::min(claimer.amount, static_cast<double>(random() % 20));
      const LimitItem item{.limit = 1,
                           .demand = static_cast<double>(random() % 20),
                           .acknowledged_grant = claimer.acknowledged,
                           .amount = claimer.amount};
      const auto amount_granted = table.claim(
          now, settings, limit, 6,
          {.holder = i + 1, .from = i + 1, .sequence = ++number, .item = item, .same_epoch = true},
          {.number = number, .duration = 3 * kSecond});
      if (amount_granted) claimer.in_flight.emplace_back(number, *amount_granted);
      RC_ASSERT(table.outstanding(now) <= pool);
      for (std::size_t k = 0; k < holders.size(); ++k) RC_ASSERT(holders[k].amount <= pool);
    }
  });
}

// With the maximum number of limits, each claimed in a datagram of its own.
TEST(LeaseProtocol, OneClaimForEachLimit_AllGrantsAreApplied) {
  Settings settings;
  settings.self = membership::numbered(1);
  settings.voters = {membership::numbered(0)};
  settings.max_items = 1;
  for (LimitId id = 1; id <= kMaxLimits; ++id) settings.limits.push_back({"q", id, LimitKind::soft, 100});
  LeaseProtocol core(settings, 5, 5, kSecond);
  core.start(kSecond);
  core.set_view(kSecond, {membership::numbered(0), membership::numbered(2)}, 3);
  std::vector<Message> claims;
  for (Time now = kSecond; claims.size() < kMaxLimits; now = core.next_wakeup()) {
    ASSERT_LT(now, 20 * kSecond);
    core.tick(now);
    claims.clear();
    for (const OutgoingMessage& send : core.take_messages())
      if (send.message.kind == Message::Kind::claim) claims.push_back(send.message);
  }
  std::uint32_t grants = 0;
  for (const Message& claim : claims) {
    Message grant;
    grant.kind = Message::Kind::grant;
    grant.sender = 9;
    grant.epoch = {1, 9};
    grant.sequence = claim.sequence;
    grant.grant_number = ++grants;
    grant.holder = claim.sender;
    grant.duration = kSecond;
    grant.items = {{.limit = claim.items.front().limit, .amount = 7}};
    core.receive(core.next_wakeup(), membership::numbered(0), grant);
  }
  EXPECT_EQ(core.counters().leases_applied, kMaxLimits);
  EXPECT_EQ(core.counters().stale_grants, 0U);
}

Message random_message(std::mt19937_64& random) {
  Message out;
  out.kind = static_cast<Message::Kind>(random() % kMessageKinds);
  out.sender = random() | 1U;
  out.shard = static_cast<std::uint32_t>(random() % kMaxShards);
  out.epoch = {random() >> (4 + random() % 60), random()};
  out.sequence = static_cast<std::uint32_t>(random());
  out.grant_number = static_cast<std::uint32_t>(random());
  out.holder = random();
  out.duration = static_cast<Time>(random() % (3'600 * kSecond));
  out.granter = random() % membership::kHighestAddress;
  out.weight = 0.5;
  for (std::size_t i = random() % 10; i > 0; --i)
    out.items.push_back({static_cast<LimitId>(random()), static_cast<double>(random() % 10'000'000),
                         static_cast<double>(random() % 10'000'000), static_cast<std::uint32_t>(random()),
                         static_cast<double>(random() % 10'000'000)});
  return out;
}

TEST(LeaseWire, EncodedMessage_DecodesEqualAndFitsItsBound) {
  rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const Message message = random_message(random);
    const std::string payload = encode(message);
    const auto read = decode(payload);
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == message);
    RC_ASSERT(max_items_in(payload.size()) <= message.items.size());
  });
}

TEST(LeaseWire, DamagedBytes_DecodeWithinBoundsOrNotAtAll) {
  rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::string payload = encode(random_message(random));
    for (std::size_t i = 1 + random() % 4; i > 0; --i)
      payload[random() % payload.size()] = static_cast<char>(random());
    if (random() % 4 == 0) payload.resize(random() % payload.size());
    const auto read = decode(payload);
    if (!read) return;
    RC_ASSERT(read->shard < kMaxShards && read->sender != 0 && read->items.size() <= kMaxItems);
    RC_ASSERT(read->duration >= 0 && read->duration <= 3'600 * kSecond);
    for (const LimitItem& item : read->items)
      RC_ASSERT(item.demand >= 0 && std::isfinite(item.demand) && item.in_use >= 0 &&
                std::isfinite(item.in_use) && item.amount >= 0 && item.amount <= kMaxTotal);
  });
}

}  // namespace
}  // namespace streampick::leases
