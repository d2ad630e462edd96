// Changes of the overrides, applied when they are made and applied later.
#include "control/admin_change.h"

#include <gtest/gtest.h>

namespace streampick::control::test {
namespace {

using Kind = AdminChange::Kind;

TEST(AdminChange, EachKind_IsApplied) {
  AdminOverrides overrides;
  EXPECT_EQ(apply({Kind::enable_endpoint, "s-1", 1}, overrides), ApplyResult::no_effect);
  EXPECT_EQ(apply({Kind::disable_endpoint, "s-1", 2}, overrides), ApplyResult::applied);
  EXPECT_TRUE(overrides.is_disabled("s-1"));
  EXPECT_EQ(apply({Kind::disable_endpoint, "s-1", 3}, overrides), ApplyResult::applied);
  EXPECT_EQ(apply({Kind::enable_endpoint, "s-1", 4}, overrides), ApplyResult::applied);
  EXPECT_FALSE(overrides.is_disabled("s-1"));
  EXPECT_EQ(apply({Kind::start_drain}, overrides), ApplyResult::applied);
  EXPECT_TRUE(overrides.is_draining());
  EXPECT_EQ(apply({Kind::end_drain}, overrides), ApplyResult::applied);
  EXPECT_FALSE(overrides.is_draining());
  for (std::size_t i = 0; i < AdminOverrides::kMaxEndpoints; ++i)
    overrides.disable("o-" + std::to_string(i), 5);
  EXPECT_EQ(apply({Kind::disable_endpoint, "one more", 6}, overrides), ApplyResult::too_many);
}

TEST(AdminChange, DelayedChange_YieldsOnlyToALaterChangeOfTheSameEndpoint) {
  AdminOverrides overrides;
  overrides.disable("s-1", 10);
  overrides.enable("s-1", 20);
  overrides.disable("s-2", 30);
  EXPECT_EQ(apply_delayed({Kind::disable_endpoint, "s-1", 15}, overrides), ApplyResult::no_effect);
  EXPECT_FALSE(overrides.is_disabled("s-1"));
  EXPECT_EQ(apply_delayed({Kind::enable_endpoint, "s-2", 25}, overrides), ApplyResult::no_effect);
  EXPECT_TRUE(overrides.is_disabled("s-2"));
  EXPECT_EQ(apply_delayed({Kind::disable_endpoint, "s-1", 21}, overrides), ApplyResult::applied);
  EXPECT_TRUE(overrides.is_disabled("s-1"));
  EXPECT_EQ(apply_delayed({Kind::enable_endpoint, "s-2", 30}, overrides), ApplyResult::applied);
  EXPECT_FALSE(overrides.is_disabled("s-2"));
}

}  // namespace
}  // namespace streampick::control::test
