// The operators' overrides and the text that passes them from one process to the next.
#include "control/admin_overrides.h"

#include <gtest/gtest.h>

#include <random>
#include <stdexcept>

namespace streampick::control::test {
namespace {

TEST(AdminOverrides, RepeatedDisable_IsUndoneByOneEnable) {
  AdminOverrides overrides;
  EXPECT_TRUE(overrides.disable("s-1", 100));
  EXPECT_TRUE(overrides.disable("s-1", 200));
  EXPECT_TRUE(overrides.is_disabled("s-1"));
  EXPECT_EQ(overrides.endpoints().at("s-1").changed_at, 100);
  EXPECT_TRUE(overrides.enable("s-1", 300));
  EXPECT_FALSE(overrides.is_disabled("s-1"));
  EXPECT_EQ(overrides.endpoints().at("s-1").changed_at, 300);
  EXPECT_FALSE(overrides.enable("s-1", 400));
  EXPECT_EQ(overrides.endpoints().at("s-1").changed_at, 300);
  EXPECT_FALSE(overrides.enable("s-2", 400));
}

TEST(AdminOverrides, EndpointLimit_CountsEnabledEndpointsUntilTheirRetentionEnds) {
  AdminOverrides overrides;
  for (std::size_t i = 0; i < AdminOverrides::kMaxEndpoints; ++i)
    ASSERT_TRUE(overrides.disable("s-" + std::to_string(i), 1));
  EXPECT_FALSE(overrides.disable("one more", 1));
  EXPECT_TRUE(overrides.disable("s-0", 2));
  EXPECT_TRUE(overrides.enable("s-0", 10));
  const AdminOverrides::Endpoints all_past_retention = overrides.endpoints();
  const AdminOverrides::Endpoints none_past_retention;
  overrides.remove_expired(10 + AdminOverrides::kRetention, all_past_retention);
  EXPECT_EQ(overrides.endpoints().size(), AdminOverrides::kMaxEndpoints);
  overrides.remove_expired(11 + AdminOverrides::kRetention, none_past_retention);
  EXPECT_EQ(overrides.endpoints().size(), AdminOverrides::kMaxEndpoints);
  overrides.remove_expired(11 + AdminOverrides::kRetention, all_past_retention);
  EXPECT_EQ(overrides.endpoints().size(), AdminOverrides::kMaxEndpoints - 1);
  EXPECT_TRUE(overrides.disable("one more", 12 + AdminOverrides::kRetention));
}

TEST(AdminOverrides, SerializedOverrides_AreParsedUnchanged) {
  std::mt19937 random(7);
  for (int i = 0; i < 200; ++i) {
    AdminOverrides overrides;
    for (unsigned n = random() % 20; n > 0; --n) {
      const std::string id = "s-" + std::to_string(random() % 12);
      random() % 3 == 0 ? overrides.enable(id, random()) : overrides.disable(id, random());
    }
    overrides.set_draining(random() % 2 == 0);
    EXPECT_EQ(AdminOverrides::parse(overrides.serialize()), overrides);
  }
}

TEST(AdminOverrides, MalformedText_IsRejectedWithOneLine) {
  AdminOverrides overrides;
  overrides.disable("s-1", 5);
  const std::string good = overrides.serialize();
  const std::string head = "{\"format\":\"streampick overrides\",\"version\":1,\"clients_away\":false,";
  for (const std::string& bad :
       {std::string(), std::string("{}"), std::string("[]"), std::string("{\"format\":\"other\"}"),
        head + "\"servers\":{}}", head + "\"servers\":[{\"id\":\"\",\"out\":true,\"since_us\":1}]}",
        head + "\"servers\":[{\"id\":\"a\",\"out\":1,\"since_us\":1}]}",
        head + "\"servers\":[{\"id\":\"a\",\"out\":true,\"since_us\":-1}]}",
        std::string(AdminOverrides::kMaxTextSize + 1, ' ')}) {
    try {
      AdminOverrides::parse(bad);
      ADD_FAILURE() << bad.substr(0, 80);
    } catch (const std::runtime_error& error) {
      EXPECT_EQ(std::string(error.what()).find('\n'), std::string::npos);
    }
  }
  for (std::size_t cut = 0; cut + 2 < good.size(); ++cut)
    EXPECT_THROW(AdminOverrides::parse(good.substr(0, cut)), std::runtime_error) << cut;
  // With any one byte changed the text is either parsed or rejected with std::runtime_error.
  std::mt19937 random(3);
  for (int i = 0; i < 3'000; ++i) {
    std::string text = good;
    text[random() % text.size()] = static_cast<char>(random());
    try {
      AdminOverrides::parse(text);
    } catch (const std::runtime_error&) {
    }
  }
}

}  // namespace
}  // namespace streampick::control::test
