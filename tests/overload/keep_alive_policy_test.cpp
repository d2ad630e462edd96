#include "overload/keep_alive_policy.h"

#include <gtest/gtest.h>

namespace streampick::overload::test {
namespace {

TEST(KeepAlivePolicy, UnderPressure_ClosesConnectionsAfterTheirFirstResponseAndShortensTheIdleTimeout) {
  const KeepAlivePolicy policy(352);
  EXPECT_EQ(policy.pressure_threshold(), 88U);
  EXPECT_TRUE(policy.keeps_open(1, 87));
  EXPECT_FALSE(policy.keeps_open(1, 88));
  EXPECT_TRUE(policy.keeps_open(2, 350));  // it was reused: an active client
  EXPECT_EQ(policy.idle_timeout(87), 10'000'000);
  EXPECT_EQ(policy.idle_timeout(88), 2'000'000);
  // Even with no descriptors, 3 connections are below the pressure threshold.
  EXPECT_TRUE(KeepAlivePolicy(0).keeps_open(1, 3));
}

}  // namespace
}  // namespace streampick::overload::test
