// What the module does with a router's own part of totals that all share.
#include <gtest/gtest.h>

#include "fake_host.h"

namespace streampick::test {
namespace {

// Each read misses, so that each wants a place at the origin.
void miss_all(FakeHost& host, std::size_t from = 0) {
  for (std::size_t i = from; i < host.sends.size(); ++i)
    if (host.sends[i].server != kOrigin && host.sends[i].live) host.result(i, Outcome::miss);
}
std::size_t at_origin(const FakeHost& host) {
  std::size_t out = 0;
  for (const Send& send : host.sends) out += send.server == kOrigin && send.live ? 1 : 0;
  return out;
}

TEST(RouterShares, AtTheOriginNoMoreIsOutThanTheRouterMayUseWhenItIsSent) {
  Config config = FakeHost::aside_config();
  config.routers = 1;
  FakeHost host(config, 12);
  const auto may_use = [&](double floor, double leased, Time until) {
    Shares own;
    own.origin_reserved = floor;
    own.origin_leased = leased;
    own.origin_lease_end = until;
    host.router.on_shares(host.now, own);
  };
  may_use(1, 1, host.now + 100 * kMs);
  RequestId id = 0;
  for (int i = 0; i < 8; ++i) host.request(++id, 0, id * 7919);
  miss_all(host);
  EXPECT_EQ(at_origin(host), 2U);
  EXPECT_EQ(host.router.origin_work().in_flight, 2);
  EXPECT_EQ(host.router.origin_work().queued, 6U);
  // The lease has ended, and nothing was told since: an answer makes no room beyond the floor.
  host.now += 100 * kMs;
  for (std::size_t i = 0; i < host.sends.size(); ++i)
    if (host.sends[i].server == kOrigin && host.sends[i].live) {
      host.result(i, Outcome::served);
      break;
    }
  EXPECT_EQ(at_origin(host), 1U);
  // None at all: what is out stays out, nothing new goes there, saves neither.
  may_use(0, 0, 0);
  host.request(++id, 1, 5);
  EXPECT_EQ(at_origin(host), 1U);
  // A new lease is used at once, by those who wait.
  may_use(0, 3, host.now + 100 * kMs);
  EXPECT_EQ(at_origin(host), 3U);
}

TEST(RouterShares, ATenantsQuotaIsTheRoutersOwnPartOfIt) {
  Config config = FakeHost::aside_config();
  config.tenants = {{100}, {100}};
  config.routers = 10;
  // Of 100 requests at once of one tenant, those that are within its quota go out whatever the limit's part.
  const auto out_of = [&](std::vector<double> quotas) {
    FakeHost host(config, 2);
    Shares own;
    own.quotas = std::move(quotas);
    host.router.on_shares(host.now, own);
    host.advance(10'000 * kMs);
    for (RequestId id = 1; id <= 60; ++id) host.request(id, 0, id * 7919, 0);
    std::size_t refused = 0;
    for (const auto& [id, how] : host.ended) refused += how == "refused" ? 1 : 0;
    return 60 - refused;
  };
  const std::size_t even = out_of({}), none = out_of({0, 0}), more = out_of({40, 0});
  EXPECT_LT(none, even);
  EXPECT_GT(more, even);
}

}  // namespace
}  // namespace streampick::test
