// A router's own side of shared limits, on a hand-driven clock: what it claims by what it is asked, and what
// the decision module is told.
#include <gtest/gtest.h>

#include "engine/engine_fakes.h"
#include "fleet/shared_limits.h"
#include "shares/wire.h"

namespace streampick::test {
namespace {

using fleet::SharedLimits;
using leases::kSecond;

// A router that is the only voter and the only one there, so that it divides all among itself.
struct Alone {
  explicit Alone(std::size_t tenants, std::int64_t places, double quota = 100) {
    options.origin_places = places;
    options.core.self = membership::numbered(0);
    options.core.voters = {options.core.self};
    options.core.expected_routers = 4;
    options.core.max_work_duration = leases::kSecond;
    options.core.shards = 2;
    for (std::size_t i = 0; i < tenants; ++i) {
      names.push_back("t" + std::to_string(i));
      all.push_back({quota});
    }
    asked.resize(tenants);
    options.core.limits = fleet::limits_of(options, names, all);
    limits = std::make_unique<SharedLimits>(time, options, names, all, 7, 7, hooks());
  }

  SharedLimits::Hooks hooks() {
    SharedLimits::Hooks hooks;
    hooks.view = [this] { return SharedLimits::View{{}, routers}; };
    hooks.request_counts = [this]() -> const auto& { return asked; };
    hooks.origin_work = [this] { return origin; };
    hooks.apply_allowances = [this](Shares own) {
      told = std::move(own);
      ++changes;
    };
    hooks.send = [this](membership::Address, const std::string&) { ++said; };
    hooks.log = [](std::string_view) {};
    return hooks;
  }

  ManualTime time;
  fleet::ShareOptions options;
  std::vector<std::string> names;
  std::vector<Tenant> all;
  std::vector<std::uint64_t> asked;
  OriginWork origin;
  std::uint32_t routers = 1;
  Shares told;
  int changes = 0;
  int said = 0;
  std::unique_ptr<SharedLimits> limits;
};

TEST(FleetLimits, BeforeStart_HardLimitIsUnusableAndSoftLimitIsEvenShare) {
  Alone router(1, 16);
  EXPECT_EQ(router.told.origin_reserved, 0);
  EXPECT_EQ(router.told.quotas, std::vector<double>{25});  // of four, as the settings say
  router.limits->start();
  EXPECT_EQ(router.told.origin_reserved, 1);  // of sixteen a quarter needs no lease
}

TEST(FleetLimits, RequestedAndQueuedWork_IsClaimed) {
  Alone router(2, 16);
  router.limits->start();
  router.time.advance(20 * kSecond);
  router.origin = {0, 9};
  for (int i = 0; i < 100; ++i) {
    router.asked[0] += 5;  // 50 a second
    router.time.advance(kSecond / 10);
  }
  // Its headroom above what was asked for, and what stands there for a first request.
  EXPECT_NEAR(router.told.quotas[0], 50 * 1.1 + 2, 1.5);
  EXPECT_NEAR(router.told.quotas[1], 2, 0.5);
  EXPECT_EQ(router.told.origin_leased, 8);  // nine, of which the floor is one
  EXPECT_GT(router.told.origin_lease_end, router.time.now());
  // A lease that nobody renews is compared with the clock by the module itself: it is told of nothing.
  router.limits->leave(true);
  EXPECT_EQ(router.told.origin_reserved + router.told.origin_leased, 0);
}

TEST(FleetLimits, LeftButRunning_KeepsMinimaAndEvenShares) {
  Alone router(1, 16);
  router.limits->start();
  router.time.advance(20 * kSecond);
  router.limits->leave(false);
  EXPECT_EQ(router.told.origin_reserved, 1);
  EXPECT_EQ(router.told.origin_leased, 0);
  EXPECT_EQ(router.told.quotas, std::vector<double>{100});  // the view has one router
  router.limits->leave(true);
  EXPECT_EQ(router.told.origin_reserved, 0);
}

// Of more tenants than may be told those beyond keep their even part.
TEST(FleetLimits, TenantsBeyondMaximumOfLimits_HaveEvenShares) {
  Alone router(70, 0);
  router.routers = 2;
  router.limits->start();
  router.time.advance(20 * kSecond);
  ASSERT_EQ(router.told.quotas.size(), 70U);
  EXPECT_EQ(router.told.quotas[69], 50);
  EXPECT_LT(router.told.quotas[0], 50);  // nothing is asked of it
}

// New settings, with other tenants at the same places: their claims begin anew, and those that have gone
// leave nothing behind.
TEST(FleetLimits, ChangedTenants_StartWithoutDemand) {
  Alone router(2, 0);
  router.limits->start();
  router.time.advance(20 * kSecond);
  for (int i = 0; i < 50; ++i) {
    router.asked[0] += 8;
    router.time.advance(kSecond / 10);
  }
  EXPECT_GT(router.told.quotas[0], 80);
  router.asked = {0};  // as the engine counts from then on
  router.limits->reconfigure({"t1"}, {{40}});
  router.time.advance(5 * kSecond);
  ASSERT_EQ(router.told.quotas.size(), 1U);
  EXPECT_LT(router.told.quotas[0], 10);
  EXPECT_EQ(router.limits->status().find("quota of t0"), std::string::npos);
}

TEST(FleetLimits, UnreadablePayload_IsOnlyCounted) {
  Alone router(1, 16);
  router.limits->start();
  const int before = router.changes;
  router.limits->on_payload(membership::numbered(3), "no message");
  EXPECT_EQ(router.limits->unreadable_payloads(), 1U);
  EXPECT_EQ(router.changes, before);
}

}  // namespace
}  // namespace streampick::test
