// Units of the lease protocol: fair division, the lease table, applying grants, payloads.
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

std::vector<Demand> some_wants(std::mt19937_64& random, bool whole) {
  std::vector<Demand> out(1 + random() % 30);
  for (Demand& want : out) {
    want.amount = random() % 4 == 0 ? 0 : static_cast<double>(random() % 1'000) / (whole ? 20 : 17);
    if (whole) want.amount = std::floor(want.amount);
    want.weight = random() % 3 == 0 ? 1 : 0.1 + static_cast<double>(random() % 99) / 10;
  }
  return out;
}

// No share exceeds its demand; the total is used up or all demand is met; and a demand that is not met has,
// by weight, no less than any other.
TEST(FairDivision, RandomDemands_AreDividedMaxMinFair) {
  rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const std::vector<Demand> wants = some_wants(random, false);
    const double total = static_cast<double>(random() % 2'000) / 7;
    const std::vector<double> parts = max_min_fair(total, wants);
    double wanted = 0, given = 0;
    for (std::size_t i = 0; i < wants.size(); ++i) {
      RC_ASSERT(parts[i] >= 0 && parts[i] <= wants[i].amount);
      wanted += wants[i].amount;
      given += parts[i];
    }
    RC_ASSERT(given <= total + 1e-9);
    RC_ASSERT(std::abs(given - std::min(total, wanted)) < 1e-6);
    for (std::size_t i = 0; i < wants.size(); ++i)
      for (std::size_t k = 0; k < wants.size() && parts[i] + 1e-9 < wants[i].amount; ++k)
        RC_ASSERT(parts[i] / wants[i].weight + 1e-6 >= parts[k] / wants[k].weight);
  });
}

TEST(FairDivision, IntegralUnits_LeaveNothingAndAverageToFairShares) {
  rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    const std::vector<Demand> wants = some_wants(random, true);
    const auto total = static_cast<double>(random() % 200);
    std::vector<double> credits(wants.size()), has(wants.size());
    std::vector<double> sums(wants.size());
    const std::vector<double> fair = max_min_fair(total, wants);
    constexpr int kRounds = 400;
    double wanted = 0;
    for (const Demand& want : wants) wanted += want.amount;
    for (int round = 0; round < kRounds; ++round) {
      const std::vector<double> parts = integral_max_min_fair(total, wants, credits, has);
      double given = 0;
      for (std::size_t i = 0; i < parts.size(); ++i) {
        RC_ASSERT(parts[i] == std::floor(parts[i]) && parts[i] <= wants[i].amount);
        given += parts[i];
        sums[i] += parts[i];
      }
      RC_ASSERT(given == std::min(total, wanted));
      has = parts;
    }
    // The mean is the fair share, up to the bound of accumulated shortfalls.
    for (std::size_t i = 0; i < wants.size(); ++i)
      RC_ASSERT(std::abs(sums[i] / kRounds - fair[i]) <
                (static_cast<double>(wants.size()) + 2 * kHoldDivisions) / kRounds + 0.02);
  });
}

TEST(FairDivision, OneUnitAmongTwelve_RotatesSlowly) {
  const std::vector<Demand> wants(12, Demand{1, 1});
  std::vector<double> credits(12), has(12), had(12);
  int moves = 0;
  for (int round = 0; round < 480; ++round) {
    const std::vector<double> parts = integral_max_min_fair(1, wants, credits, has);
    moves += parts != has ? 1 : 0;
    for (std::size_t i = 0; i < 12; ++i) had[i] += parts[i];
    has = parts;
  }
  for (const double one : had) EXPECT_GE(one, 30);
  EXPECT_LE(moves, 130);  // a unit stays for kHoldDivisions
}

TEST(LeaseTable, UnboundedClaim_GetsItsFairShare) {
  Settings settings;
  settings.expected_routers = 4;
  for (const LimitKind kind : {LimitKind::hard, LimitKind::soft}) {
    const Limit limit{.name = "x", .id = 1, .kind = kind, .total = 100};
    LeaseTable table;
    Time now = kSecond;
    std::vector<double> has(4);
    std::vector<std::uint32_t> seen(4);
    std::uint32_t number = 0;
    for (int round = 0; round < 40; ++round, now += kSecond / 2)
      for (std::size_t i = 0; i < 4; ++i) {
        ++number;
        const LimitItem item{
            .limit = 1, .demand = i == 0 ? 1e9 : 30.0, .acknowledged_grant = seen[i], .amount = has[i]};
        const auto got = table.claim(
            now, settings, limit, 4,
            {.holder = i + 1, .from = i + 1, .sequence = number, .item = item, .same_epoch = true},
            {.number = number, .duration = 3 * kSecond});
        ASSERT_TRUE(got);
        has[i] = *got;
        seen[i] = number;
      }
    const double pool = kind == LimitKind::hard ? leasable_total(limit, settings) : 100;
    for (std::size_t i = 0; i < 4; ++i) EXPECT_NEAR(has[i], pool / 4, 0.06 * pool) << i;
    EXPECT_LE(std::accumulate(has.begin(), has.end(), 0.0), pool);
    // A late claim is ignored.
    EXPECT_FALSE(table.claim(
        now, settings, limit, 4,
        {.holder = 1, .from = 1, .sequence = 1, .item = {.limit = 1, .demand = 5}, .same_epoch = true},
        {.number = ++number, .duration = kSecond}));
  }
}

// Processes that claim from one address one after the other share one router's share. Of a hard limit, the
// next one waits until its predecessor's leases have expired.
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
    std::map<Address, double> has;
    for (int round = 0; round < 60; ++round, now += settings.period)
      for (Address at = 1; at <= 4; ++at) {
        // The first address claims as a new process each time.
        const Incarnation boot = at == 1 ? 100 + static_cast<Incarnation>(round) : at;
        const LimitItem item{.limit = 1, .demand = 80, .acknowledged_grant = number, .amount = has[at]};
        ++number;
        const auto got =
            table.claim(now, settings, limit, 4,
                        {.holder = boot, .from = at, .sequence = number, .item = item, .same_epoch = true},
                        {.number = number, .duration = settings.lease_duration});
        has[at] = got.value_or(0);
        ASSERT_LE(table.holder_count(), 3 + LeaseTable::kMaxHoldersPerAddress);
        if (kind == LimitKind::hard) ASSERT_LE(table.outstanding(now), pool);
      }
    for (Address at = 2; at <= 4; ++at) EXPECT_GE(has[at], std::floor(pool / 4)) << at;
    EXPECT_LE(has[1], std::ceil(pool / 4));
  }
}

// Whatever the order of claims, grants and acknowledgements.
TEST(LeaseTable, RandomClaims_KeepOutstandingWithinPool) {
  rc::check([](std::uint64_t seed) {
    std::mt19937_64 random(seed);
    Settings settings;
    settings.expected_routers = 6;
    settings.max_work_duration = static_cast<Time>(random() % 5) * kSecond;
    Limit limit{"x", 1, LimitKind::hard, static_cast<double>(random() % 40)};
    const double pool = leasable_total(limit, settings);
    struct Holder {
      std::uint32_t seen = 0;
      double amount = 0;
      std::vector<std::pair<std::uint32_t, double>> under_way;
    };
    std::vector<Holder> holders(6);
    LeaseTable table;
    Time now = kSecond;
    std::uint32_t number = 0;
    for (int step = 0; step < 300; ++step) {
      now += static_cast<Time>(random() % 500'000);
      const std::size_t i = random() % holders.size();
      Holder& it = holders[i];
      if (!it.under_way.empty() && random() % 2 == 0) {
        const auto [grant, amount] = it.under_way[random() % it.under_way.size()];
        if (grant > it.seen) {
          it.seen = grant;
          it.amount = amount;
        }
        continue;
      }
      it.amount = std::min(it.amount, static_cast<double>(random() % 20));
      const LimitItem item{.limit = 1,
                           .demand = static_cast<double>(random() % 20),
                           .acknowledged_grant = it.seen,
                           .amount = it.amount};
      const auto got = table.claim(
          now, settings, limit, 6,
          {.holder = i + 1, .from = i + 1, .sequence = ++number, .item = item, .same_epoch = true},
          {.number = number, .duration = 3 * kSecond});
      if (got) it.under_way.emplace_back(number, *got);
      RC_ASSERT(table.outstanding(now) <= pool);
      for (std::size_t k = 0; k < holders.size(); ++k) RC_ASSERT(holders[k].amount <= pool);
    }
  });
}

// With the maximum number of limits, each claimed by its own datagram.
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

Message some_message(std::mt19937_64& random) {
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
    const Message message = some_message(random);
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
    std::string payload = encode(some_message(random));
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
