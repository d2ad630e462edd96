// How the module applies this router's shares of the limits that all routers share.
#include <gtest/gtest.h>

#include "fake_host.h"

namespace streampick::test {
namespace {

// Reports a miss for each cache attempt in flight, so that each read needs the origin.
void miss_all(FakeHost& host, std::size_t from = 0) {
  for (std::size_t i = from; i < host.sends.size(); ++i)
    if (host.sends[i].server != kOrigin && host.sends[i].in_flight) host.result(i, Outcome::miss);
}
std::size_t at_origin(const FakeHost& host) {
  std::size_t out = 0;
  for (const Send& send : host.sends) out += send.server == kOrigin && send.in_flight ? 1 : 0;
  return out;
}

TEST(RouterShares, OriginLease_LimitsTheAttemptsInFlight) {
  Config config = FakeHost::aside_config();
  config.routers = 1;
  FakeHost host(config, 12);
  const auto set_lease = [&](double reserved, double leased, Time until) {
    Shares shares;
    shares.origin_reserved = reserved;
    shares.origin_leased = leased;
    shares.origin_lease_end = until;
    host.router.on_shares(host.now, shares);
  };
  set_lease(1, 1, host.now + 100 * kMs);
  RequestId id = 0;
  for (int i = 0; i < 8; ++i) host.request(++id, 0, id * 7919);
  miss_all(host);
  EXPECT_EQ(at_origin(host), 2U);
  EXPECT_EQ(host.router.origin_work().in_flight, 2);
  EXPECT_EQ(host.router.origin_work().queued, 6U);
  // The lease has ended without a new one: after an answer, only the reserved attempt is allowed.
  host.now += 100 * kMs;
  for (std::size_t i = 0; i < host.sends.size(); ++i)
    if (host.sends[i].server == kOrigin && host.sends[i].in_flight) {
      host.result(i, Outcome::served);
      break;
    }
  EXPECT_EQ(at_origin(host), 1U);
  // No share at all: attempts in flight continue, and nothing new is sent to the origin, not even writes.
  set_lease(0, 0, 0);
  host.request(++id, 1, 5);
  EXPECT_EQ(at_origin(host), 1U);
  // A new lease is used at once by the queued requests.
  set_lease(0, 3, host.now + 100 * kMs);
  EXPECT_EQ(at_origin(host), 3U);
}

TEST(RouterShares, TenantQuota_IsTheShareOfThisRouter) {
  Config config = FakeHost::aside_config();
  config.tenants = {{100}, {100}};
  config.routers = 10;
  // The number of requests that are not rejected, of 60 that one tenant sends at once. The tenant's quota for
  // all 10 routers is 100 requests per second. Only requests above this router's share of the
  // quota are rejected, whatever its share of the limit is.
  const auto accepted_with = [&](std::vector<double> quotas) {
    FakeHost host(config, 2);
    Shares shares;
    shares.quotas = std::move(quotas);
    host.router.on_shares(host.now, shares);
    host.advance(10'000 * kMs);
    for (RequestId id = 1; id <= 60; ++id) host.request(id, 0, id * 7919, 0);
    std::size_t rejected = 0;
    for (const auto& [id, how] : host.ended) rejected += how == "rejected" ? 1 : 0;
    return 60 - rejected;
  };
  const std::size_t even = accepted_with({}), none = accepted_with({0, 0}), more = accepted_with({40, 0});
  EXPECT_LT(none, even);
  EXPECT_GT(more, even);
}

}  // namespace
}  // namespace streampick::test
