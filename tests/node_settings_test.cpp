// The configuration as it is read.
#include "loopback.h"

namespace streampick::node::test {
namespace {

TEST(NodeSettings, AreReadAsTheWiresAreAndUnknownKeysAreSkipped) {
  const NodeSettings settings = parse_settings(
      config_json("127.0.0.1:9",
                  list_json(41, true, {{"s-1", "127.0.0.1:8", "origin", "terminating", 1'700}}))
          .dump());
  const Config& config = settings.settings.config;
  EXPECT_EQ(settings.name, "n1");
  EXPECT_EQ(settings.sockets, 256U);
  EXPECT_EQ(config.origin_kind, 1U);
  EXPECT_TRUE(config.aside && config.can_copy && config.can_cancel && !config.must_ask);
  EXPECT_EQ(config.max_retry_after, 2'000'000);
  EXPECT_EQ(config.dial_time_out, 250'000);
  EXPECT_EQ(settings.settings.drain_grace, 2'000'000);
  ASSERT_EQ(config.classes.size(), 3U);
  EXPECT_EQ(config.classes[1].effect, Effect::keyed);
  EXPECT_EQ(settings.settings.names.zones, (std::vector<std::string>{"a", "b"}));
  ASSERT_EQ(settings.known.members.size(), 1U);
  EXPECT_EQ(settings.known.revision, 41U);
  EXPECT_EQ(settings.known.members[0].member.phase, Phase::draining);
  EXPECT_EQ(settings.known.members[0].member.kind, 1U);
  EXPECT_EQ(settings.known.members[0].member.started, 1'700'000);
}

}  // namespace
}  // namespace streampick::node::test
