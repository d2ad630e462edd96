// Reads and writes at the origin: single flight, the concurrency limit and stalled reads.
#include <gtest/gtest.h>

#include "fake_host.h"

namespace streampick::test {
namespace {

TEST(OriginReads, SameKey_IsReadOnceFromTheOrigin) {
  FakeHost host(FakeHost::hedging_config());
  host.request(1, 0, 5);
  host.request(2, 0, 5);
  host.result(0, Outcome::miss);
  host.result(1, Outcome::miss);
  ASSERT_EQ(host.sends.size(), 3U);
  const ServerId filled = host.sends[0].server;
  host.result(2, Outcome::served);
  ASSERT_EQ(host.sends.size(), 4U);
  EXPECT_EQ(host.sends[3].request, 2U);
  EXPECT_EQ(host.sends[3].server, filled);
}

TEST(OriginReads, ManyMisses_ReadsInFlightAreLimitedAndWritesStillSent) {
  FakeHost host(FakeHost::hedging_config());
  for (RequestId id = 1; id <= 40; ++id) {
    host.request(id, 0, id);
    host.result(host.sends.size() - 1, Outcome::miss);
    if (host.sends.back().server != kOrigin) continue;
  }
  const auto at_origin =
      std::count_if(host.sends.begin(), host.sends.end(), [](const Send& s) { return s.server == kOrigin; });
  EXPECT_LE(at_origin, 8);
  host.request(99, 1, 99);
  EXPECT_EQ(host.sends_of(99), 1U);
}

// A read that misses and is answered by the origin after `took` microseconds.
void read_through(FakeHost& host, RequestId id, Time took) {
  host.request(id, 0, id * 7919);
  host.result(host.sends.size() - 1, Outcome::miss);
  ASSERT_EQ(host.sends.back().server, kOrigin);
  host.advance(took);
  host.result(host.sends.size() - 1, Outcome::served);
}

TEST(StalledOriginReads, ReadOvertakenByManyOthers_IsSentAgainOnce) {
  FakeHost host(FakeHost::hedging_config());
  host.request(1, 0, 1);
  host.result(0, Outcome::miss);
  ASSERT_EQ(host.sends.size(), 2U);
  ASSERT_EQ(host.sends[1].server, kOrigin);
  for (RequestId id = 2; id <= 45; ++id) read_through(host, id, 5 * kMs);
  host.advance(300 * kMs);
  ASSERT_EQ(host.cancels.size(), 1U);
  EXPECT_EQ(host.cancels[0], std::pair(RequestId{1}, 1U));
  host.result(1, Outcome::cancelled);
  EXPECT_EQ(host.sends_of(1), 3U);
  EXPECT_EQ(host.sends.back().server, kOrigin);
  host.result(host.sends.size() - 1, Outcome::served);
  EXPECT_EQ(host.ended[1], "served");
}

TEST(StalledOriginReads, SlowOrigin_ReadsAreNotSentAgain) {
  FakeHost host(FakeHost::hedging_config());
  for (RequestId id = 1; id <= 4; ++id) {
    host.request(id, 0, id * 7919);
    host.result(host.sends.size() - 1, Outcome::miss);
  }
  const std::size_t before = host.sends.size();
  host.advance(3'000 * kMs);  // no read is answered, so none is overtaken
  EXPECT_TRUE(host.cancels.empty());
  EXPECT_EQ(host.sends.size(), before);
}

TEST(StalledOriginReads, StalledReads_DoNotCountAgainstTheLimit) {
  FakeHost host(FakeHost::hedging_config());
  // Three reads, on connections that never answer, use all but one of the initial limit.
  for (RequestId id = 1; id <= 3; ++id) {
    host.request(id, 0, id * 104'729);
    host.result(host.sends.size() - 1, Outcome::miss);
  }
  for (RequestId id = 10; id <= 60; ++id) read_through(host, id, 5 * kMs);
  host.advance(400 * kMs);
  EXPECT_EQ(host.cancels.size(), 3U);
  // Four more reads are sent at once, where the limit had room for one before.
  const std::size_t before = host.sends.size();
  for (RequestId id = 100; id < 104; ++id) {
    host.request(id, 0, id * 7919);
    host.result(host.sends.size() - 1, Outcome::miss);
  }
  EXPECT_EQ(host.sends.size() - before, 8U);
}

}  // namespace
}  // namespace streampick::test
