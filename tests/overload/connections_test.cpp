// Which connections are kept in a crowd.
#include "overload/connections.h"

#include <gtest/gtest.h>

namespace streampick::overload::test {
namespace {

TEST(ConnectionRules, OnlyACrowdEndsAConnectionBehindItsFirstAnswer) {
  const ConnectionRules rules(352);
  EXPECT_EQ(rules.crowd(), 88U);
  EXPECT_TRUE(rules.keep(1, 87));
  EXPECT_FALSE(rules.keep(1, 88));
  EXPECT_TRUE(rules.keep(2, 350));  // it was used again: a client that works
  EXPECT_EQ(rules.idle(87), 10'000'000);
  EXPECT_EQ(rules.idle(88), 2'000'000);
  EXPECT_TRUE(ConnectionRules(0).keep(1, 3));  // however few there are, some are kept
}

}  // namespace
}  // namespace streampick::overload::test
