#include "adapter/wire.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace streampick::wire {
namespace {

const Names kNames = {{"read", "write"}, {"acme"}, {"east", "west"}, {"small", "store"}};

TEST(Wire, RequestLine_IsParsed) {
  Fields fields("0ad570aa5d3a91c4 write acme 91f03b7c55d20a64 8652250 12000 - 5", 3);
  const Request request = parse_inbound(fields, kNames);
  EXPECT_EQ(request.id, 0x0ad570aa5d3a91c4U);
  EXPECT_EQ(request.request_class, 1U);
  EXPECT_EQ(request.tenant, 0U);
  EXPECT_EQ(request.key, 0x91f03b7c55d20a64U);
  EXPECT_EQ(request.deadline, 8652250);
  EXPECT_EQ(request.cost_hint, 12000);
  EXPECT_TRUE(request.write);
}

TEST(Wire, RequestWithoutKeyTenantAndHint_IsParsed) {
  Fields fields("0ad570aa5d3a91c4 read - - 8652250 - - 0", 3);
  const Request request = parse_inbound(fields, kNames);
  EXPECT_FALSE(request.has_key);
  EXPECT_EQ(request.tenant, kNone);
  EXPECT_EQ(request.cost_hint, 0);
}

TEST(Wire, ResultLineWithALoadReport_IsParsed) {
  Fields fields("0ad570aa5d3a91c4 1 s_1 2 18500 0 3 errors_per_s:0.5,outstanding:7,later:1.25", 4);
  const ResultLine line = parse_report_back(fields);
  EXPECT_EQ(line.server, "s_1");
  EXPECT_EQ(line.result.attempt, 1U);
  EXPECT_EQ(line.result.outcome, Outcome::miss);
  EXPECT_FALSE(line.result.request_over);
}

TEST(Wire, MemberLine_IsParsed) {
  Fields fields("m s_1 west store 2 cordoned 1.5 6100000", 5);
  const MemberLine line = parse_member(fields, kNames);
  EXPECT_EQ(line.member.zone, 1U);
  EXPECT_EQ(line.member.kind, 1U);
  EXPECT_EQ(line.member.phase, Phase::draining);
  EXPECT_DOUBLE_EQ(line.member.weight, 1.5);
  EXPECT_EQ(line.member.started, 6100000);
}

TEST(Wire, SettingsLineWithAnUnknownSetting_IsParsedWithoutIt) {
  Fields fields(
      "42 Az=west Balancers=3 FamilyInfo.Mode=aside FamilyInfo.OriginKind=1 New.Thing=x "
      "PolicyLimits.MaxAttempts=3 PolicyLimits.SecondCopies=true Profiles.count=1 "
      "Profiles.0.AimUs=800000 Profiles.0.Effect=keyed Profiles.0.Group=zone Profiles.0.Name=save "
      "Profiles.0.WindowUs=5000 RegistryMode=ask Shapes=small,store Tenants= Zones=east,west",
      2);
  const Settings settings = parse_init(fields);
  EXPECT_EQ(settings.seed, 42U);
  EXPECT_EQ(settings.config.zone, 1U);
  EXPECT_EQ(settings.config.origin_kind, 1U);
  EXPECT_TRUE(settings.config.cache_aside);
  EXPECT_TRUE(settings.config.can_hedge);
  EXPECT_TRUE(settings.config.polls_discovery);
  ASSERT_EQ(settings.config.classes.size(), 1U);
  EXPECT_EQ(settings.config.classes[0].group, Group::zone);
  EXPECT_EQ(settings.config.classes[0].latency_objective, 800000);
}

void expect_rejected(const std::function<void(Fields&)>& parse, std::string_view line,
                     const std::string& field) {
  Fields fields(line, 17);
  try {
    parse(fields);
    ADD_FAILURE() << "accepted: " << line;
  } catch (const ParseError& error) {
    EXPECT_NE(std::string(error.what()).find("line 17"), std::string::npos) << error.what();
    EXPECT_NE(std::string(error.what()).find(field), std::string::npos) << error.what();
  }
}

TEST(Wire, MalformedInput_IsRejectedWithItsLineAndField) {
  const auto inbound = [](Fields& fields) { parse_inbound(fields, kNames); };
  expect_rejected(inbound, "0ad570 read - - 1 - - 0", "RequestId");
  expect_rejected(inbound, "0ad570aa5d3a91c4 song - - 1 - - 0", "Priority");
  expect_rejected(inbound, "0ad570aa5d3a91c4 read - - soon - - 0", "NotAfterUs");
  const auto result = [](Fields& fields) { parse_report_back(fields); };
  expect_rejected(result, "0ad570aa5d3a91c4 0 s 77 1 0 - -", "Result");
  expect_rejected(result, "0ad570aa5d3a91c4 0 s 0 1 0 - qps", "Usage");
  const auto member = [](Fields& fields) { parse_member(fields, kNames); };
  expect_rejected(member, "m s_1 west store 2 tired 1 -", "Phase");
  const auto event = [](Fields& fields) { parse_event(fields); };
  expect_rejected(event, "sing la la", "message");
  const auto init = [](Fields& fields) { parse_init(fields); };
  expect_rejected(init, "1 Profiles.count=1 Profiles.0.Effect=maybe", "Profiles.0.Effect");
}

TEST(Wire, Actions_AreWrittenAsLines) {
  std::string out;
  write_for(out, 3);
  write_hand_off(out, 0x0ad570aa5d3a91c4U, "s_1", 80000);
  write_recall(out, 1, 2);
  write_refuse(out, 1, 500);
  write_end_failed(out, 1);
  write_defer(out, 9, "wake");
  write_follow(out);
  write_ack(out);
  EXPECT_EQ(out,
            "for 3\nhand_off 0ad570aa5d3a91c4 s_1 80000\nrecall 0000000000000001 2\n"
            "refuse 0000000000000001 500\nend_failed 0000000000000001\ndefer 9 wake\nfollow 1\n"
            "ack\n");
}

}  // namespace
}  // namespace streampick::wire
