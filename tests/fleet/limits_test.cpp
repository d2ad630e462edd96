// One router's shared limits on a manual clock: what the router claims for a given load, and which allowances
// the decision module gets.
#include <gtest/gtest.h>

#include "engine/engine_fakes.h"
#include "fleet/shared_limits.h"
#include "shares/wire.h"

namespace streampick::test {
namespace {

using fleet::SharedLimits;
using leases::kSecond;

// A router that is the only voter and the only live member, so that it is its own granter.
struct SingleRouter {
  explicit SingleRouter(std::size_t tenants, std::int64_t places, double quota = 100) {
    options.origin_places = places;
    options.core.self = membership::numbered(0);
    options.core.voters = {options.core.self};
    options.core.expected_routers = 4;
    options.core.max_work_duration = leases::kSecond;
    options.core.shards = 2;
    for (std::size_t i = 0; i < tenants; ++i) {
      names.push_back("t" + std::to_string(i));
      tenant_quotas.push_back({quota});
    }
    request_counts.resize(tenants);
    options.core.limits = fleet::limits_of(options, names, tenant_quotas);
    limits = std::make_unique<SharedLimits>(time, options, names, tenant_quotas, 7, 7, hooks());
  }

  SharedLimits::Hooks hooks() {
    SharedLimits::Hooks hooks;
    hooks.view = [this] { return SharedLimits::View{{}, routers}; };
    hooks.request_counts = [this]() -> const auto& { return request_counts; };
    hooks.origin_work = [this] { return origin; };
    hooks.apply_allowances = [this](Shares shares) {
      allowances = std::move(shares);
      ++changes;
    };
    hooks.send = [this](membership::Address, const std::string&) { ++sent_messages; };
    hooks.log = [](std::string_view) {};
    return hooks;
  }

  ManualTime time;
  fleet::ShareOptions options;
  std::vector<std::string> names;
  std::vector<Tenant> tenant_quotas;
  std::vector<std::uint64_t> request_counts;
  OriginWork origin;
  std::uint32_t routers = 1;
  Shares allowances;
  int changes = 0;
  int sent_messages = 0;
  std::unique_ptr<SharedLimits> limits;
};

TEST(FleetLimits, BeforeStart_HardLimitIsUnusableAndSoftLimitIsEvenShare) {
  SingleRouter router(1, 16);
  EXPECT_EQ(router.allowances.origin_reserved, 0);
  EXPECT_EQ(router.allowances.quotas,
            std::vector<double>{25});  // 100 divided by the four routers of the settings
  router.limits->start();
  EXPECT_EQ(router.allowances.origin_reserved, 1);  // a quarter of 16, divided by four routers
}

TEST(FleetLimits, RequestedAndQueuedWork_IsClaimed) {
  SingleRouter router(2, 16);
  router.limits->start();
  router.time.advance(20 * kSecond);
  router.origin = {0, 9};
  for (int i = 0; i < 100; ++i) {
    router.request_counts[0] += 5;  // 50 per second
    router.time.advance(kSecond / 10);
  }
  // Demand with kHeadroom, plus the part of the quota that is claimed without demand.
  EXPECT_NEAR(router.allowances.quotas[0], 50 * 1.1 + 2, 1.5);
  EXPECT_NEAR(router.allowances.quotas[1], 2, 0.5);
  EXPECT_EQ(router.allowances.origin_leased, 8);  // nine, of which one is the guaranteed minimum
  EXPECT_GT(router.allowances.origin_lease_end, router.time.now());
  // The decision module itself compares a lease's end with the clock, so no hook is called when a lease ends.
  router.limits->leave(true);
  EXPECT_EQ(router.allowances.origin_reserved + router.allowances.origin_leased, 0);
}

TEST(FleetLimits, LeftButRunning_KeepsMinimaAndEvenShares) {
  SingleRouter router(1, 16);
  router.limits->start();
  router.time.advance(20 * kSecond);
  router.limits->leave(false);
  EXPECT_EQ(router.allowances.origin_reserved, 1);
  EXPECT_EQ(router.allowances.origin_leased, 0);
  EXPECT_EQ(router.allowances.quotas, std::vector<double>{100});  // the view has one router
  router.limits->leave(true);
  EXPECT_EQ(router.allowances.origin_reserved, 0);
}

// Tenants beyond kMaxLimits have no lease and keep an even share of their quota.
TEST(FleetLimits, TenantsBeyondMaximumOfLimits_HaveEvenShares) {
  SingleRouter router(70, 0);
  router.routers = 2;
  router.limits->start();
  router.time.advance(20 * kSecond);
  ASSERT_EQ(router.allowances.quotas.size(), 70U);
  EXPECT_EQ(router.allowances.quotas[69], 50);
  EXPECT_LT(router.allowances.quotas[0], 50);  // this tenant has no requests
}

// After a reload, tenant numbers refer to other tenants: claims start without demand, and removed tenants are
// no longer reported.
TEST(FleetLimits, ChangedTenants_StartWithoutDemand) {
  SingleRouter router(2, 0);
  router.limits->start();
  router.time.advance(20 * kSecond);
  for (int i = 0; i < 50; ++i) {
    router.request_counts[0] += 8;
    router.time.advance(kSecond / 10);
  }
  EXPECT_GT(router.allowances.quotas[0], 80);
  router.request_counts = {0};  // the engine has reset its counts
  router.limits->reconfigure({"t1"}, {{40}});
  router.time.advance(5 * kSecond);
  ASSERT_EQ(router.allowances.quotas.size(), 1U);
  EXPECT_LT(router.allowances.quotas[0], 10);
  EXPECT_EQ(router.limits->status().find("quota of t0"), std::string::npos);
}

TEST(FleetLimits, UnreadablePayload_IsOnlyCounted) {
  SingleRouter router(1, 16);
  router.limits->start();
  const int before = router.changes;
  router.limits->on_payload(membership::numbered(3), "no message");
  EXPECT_EQ(router.limits->unreadable_payloads(), 1U);
  EXPECT_EQ(router.changes, before);
}

}  // namespace
}  // namespace streampick::test
