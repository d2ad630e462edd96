// Parsing of the platform's configuration.
#include "support/loopback.h"

namespace streampick::test {
namespace {

TEST(NodeSettings, ValidConfiguration_IsParsedAndUnknownKeysAreIgnored) {
  const platform::NodeSettings settings = platform::parse_settings(
      config_json("127.0.0.1:9",
                  list_json(41, true, {{"s-1", "127.0.0.1:8", "origin", "terminating", 1'700}}))
          .dump());
  const Config& config = settings.settings.config;
  EXPECT_EQ(settings.name, "n1");
  EXPECT_EQ(settings.sockets, 256U);
  EXPECT_EQ(config.origin_kind, 1U);
  EXPECT_TRUE(config.cache_aside && config.can_hedge && config.can_cancel && !config.polls_discovery);
  EXPECT_EQ(config.max_retry_after, 2'000'000);
  EXPECT_EQ(config.connect_timeout, 250'000);
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

// An invalid configuration and the expected error message. `at` is a JSON pointer; without a `value` the key
// is removed.
struct InvalidValue {
  const char* at;
  const char* value;
  const char* message;
};
void PrintTo(const InvalidValue& invalid, std::ostream* out) {
  *out << invalid.at << " = " << (invalid.value == nullptr ? "nothing" : invalid.value);
}

class InvalidNodeSettings : public ::testing::TestWithParam<InvalidValue> {};

TEST_P(InvalidNodeSettings, InvalidValue_IsReportedWithKeyValueAndExpectation) {
  nlohmann::json config = config_json(
      "127.0.0.1:9", list_json(41, true, {{"s-1", "127.0.0.1:8", "origin", "terminating", 1'700}}));
  config["settings"]["Tenants"] = {{{"Name", "acme"}, {"QuotaPerS", 10}}};
  EXPECT_NO_THROW(platform::parse_settings(config.dump()));
  const nlohmann::json::json_pointer at(GetParam().at);
  if (GetParam().value != nullptr) {
    config[at] = nlohmann::json::parse(GetParam().value);
  } else {
    config.at(at.parent_pointer()).erase(at.back());
  }
  std::string message;
  try {
    platform::parse_settings(config.dump());
  } catch (const std::exception& error) {
    message = error.what();
  }
  EXPECT_EQ(message, GetParam().message);
}

#define ADDRESS "expected an address and a port, as 10.0.0.4:3000"
INSTANTIATE_TEST_SUITE_P(
    TopLevel, InvalidNodeSettings,
    ::testing::Values(
        InvalidValue{
            "", "[]",
            "the document: found an empty list, expected an object with the keys settings, listen and "
            "discovery"},
        InvalidValue{"", "null",
                     "the document: found null, expected an object with the keys settings, listen and "
                     "discovery"},
        InvalidValue{"", R"({"a":1})", "settings: missing, expected an object with the settings"},
        InvalidValue{"/settings", "[1]", "settings: found a list, expected an object with the settings"},
        InvalidValue{"/name", "7", "name: found 7, expected a text"},
        InvalidValue{"/listen", nullptr, "listen: missing, " ADDRESS},
        InvalidValue{"/listen", "3000", "listen: found 3000, " ADDRESS},
        InvalidValue{"/listen", R"("localhost")", "listen: found \"localhost\", " ADDRESS},
        InvalidValue{"/discovery", "null", "discovery: missing, " ADDRESS},
        InvalidValue{"/discovery", "{}", "discovery: found an empty object, " ADDRESS},
        InvalidValue{"/discovery", R"("127.0.0.1:99999")", "discovery: found \"127.0.0.1:99999\", " ADDRESS},
        InvalidValue{"/seed", "[1]", "seed: found a list, expected a whole number, or a text"},
        InvalidValue{"/limits", "5", "limits: found 5, expected an object"},
        InvalidValue{"/limits/cores", "0", "limits.cores: found 0, expected a number above 0"},
        InvalidValue{"/limits/cores", R"("1")", "limits.cores: found \"1\", expected a number above 0"},
        InvalidValue{"/limits/memory_mb", "-1",
                     "limits.memory_mb: found -1, expected a whole number from 1 to 1073741824"},
        InvalidValue{"/limits/sockets", "true",
                     "limits.sockets: found true, expected a whole number from 1 to 1073741824"},
        InvalidValue{"/limits/sockets", "1.5",
                     "limits.sockets: found 1.5, expected a whole number from 1 to 1073741824"}));
INSTANTIATE_TEST_SUITE_P(
    Known, InvalidNodeSettings,
    ::testing::Values(
        InvalidValue{"/known", "3", "known: found 3, expected an object"},
        InvalidValue{"/known/revision", nullptr, "known.revision: missing, expected a whole number"},
        InvalidValue{"/known/revision", "-3", "known.revision: found -3, expected a whole number from 0 on"},
        InvalidValue{"/known/complete", "1", "known.complete: found 1, expected true or false"},
        InvalidValue{"/known/members", nullptr, "known.members: missing, expected a list of servers"},
        InvalidValue{"/known/members", "{}",
                     "known.members: found an empty object, expected a list of servers"},
        InvalidValue{"/known/members/0", "1", "known.members[0]: found 1, expected an object"},
        InvalidValue{"/known/members/0/id", R"("")",
                     "known.members[0].id: found \"\", expected a text of 1 to 256 bytes"},
        InvalidValue{"/known/members/0/host_port", R"("x:1")",
                     "known.members[0].host_port: found \"x:1\", expected an address and a port, as "
                     "10.1.0.18:3000"},
        InvalidValue{"/known/members/0/phase", R"("up")",
                     "known.members[0].phase: found \"up\", expected in_service, terminating or terminated"},
        InvalidValue{"/known/members/0/locality", "1",
                     "known.members[0].locality: found 1, expected a zone's name"},
        InvalidValue{"/known/members/0/flavor", "[]",
                     "known.members[0].flavor: found an empty list, expected a kind's name"},
        InvalidValue{"/known/members/0/cell", "-1",
                     "known.members[0].cell: found -1, expected a whole number from 0 to 4294967295"},
        InvalidValue{"/known/members/0/size", "-0.5",
                     "known.members[0].size: found -0.5, expected a number of 0 or more"},
        InvalidValue{"/known/members/0/up_since_ms", R"("now")",
                     "known.members[0].up_since_ms: found \"now\", expected milliseconds"}));
#define LIMIT "/settings/PolicyLimits/"
#define GUARANTEE "/settings/Guarantees/"
#define FIRST_CLASS "/settings/Profiles/0/"
INSTANTIATE_TEST_SUITE_P(
    Settings, InvalidNodeSettings,
    ::testing::Values(
        InvalidValue{"/settings/Zones", R"({"a":1})",
                     "settings.Zones: found 'an object or a list of them', expected a text"},
        InvalidValue{"/settings/FamilyInfo", "5", "settings.FamilyInfo: found '5', expected an object"},
        InvalidValue{
            "/settings/FamilyInfo/OriginKind", nullptr,
            "settings.FamilyInfo.OriginKind: missing, expected the index of the origin's kind in Shapes"},
        InvalidValue{"/settings/FamilyInfo/OriginKind", R"("origin")",
                     "settings.FamilyInfo.OriginKind: found 'origin', expected a number of -1 or more"},
        InvalidValue{"/settings/Balancers", "-1",
                     "settings.Balancers: found '-1', expected a whole number of 0 or more"},
        InvalidValue{"/settings/PolicyLimits", R"("none")",
                     "settings.PolicyLimits: found 'none', expected an object"},
        InvalidValue{
            LIMIT "MaxAttempts", R"({"a":1})",
            "settings.PolicyLimits.MaxAttempts: found 'an object or a list of them', expected a whole "
            "number of 0 or more"},
        InvalidValue{LIMIT "SecondCopies", "2",
                     "settings.PolicyLimits.SecondCopies: found '2', expected true or false"},
        InvalidValue{LIMIT "Cancelling", R"("on")",
                     "settings.PolicyLimits.Cancelling: found 'on', expected true or false"},
        InvalidValue{LIMIT "RetryAfter", "[1,2]",
                     "settings.PolicyLimits.RetryAfter: found '1,2', expected true or false"},
        InvalidValue{
            LIMIT "MaxRetryAfterUs", "-1",
            "settings.PolicyLimits.MaxRetryAfterUs: found '-1', expected a whole number of 0 or more"},
        InvalidValue{LIMIT "DialTimeoutUs", R"("0.25s")",
                     "settings.PolicyLimits.DialTimeoutUs: found '0.25s', expected a whole number of 0 or "
                     "more"},
        InvalidValue{LIMIT "KeepaliveUs", "true",
                     "settings.PolicyLimits.KeepaliveUs: found 'true', expected a whole number of 0 or more"},
        InvalidValue{"/settings/Costs", R"({"Connection":-2})",
                     "settings.Costs.Connection: found '-2', expected a number of 0 or more"},
        InvalidValue{GUARANTEE "AnswerSlackUs", "-5",
                     "settings.Guarantees.AnswerSlackUs: found '-5', expected a whole number of 0 or more"},
        InvalidValue{GUARANTEE "StopSendingWithinUs", R"("soon")",
                     "settings.Guarantees.StopSendingWithinUs: found 'soon', expected a whole number of 0 or "
                     "more"},
        InvalidValue{GUARANTEE "ColdUs", "-1",
                     "settings.Guarantees.ColdUs: found '-1', expected a whole number of 0 or more"},
        InvalidValue{"/settings/Tenants", "[1,2]",
                     "settings.Tenants: found '1,2', expected a list of objects"},
        InvalidValue{"/settings/Tenants/0/QuotaPerS", "-1",
                     "settings.Tenants[0].QuotaPerS: found '-1', expected a number of 0 or more"}));
INSTANTIATE_TEST_SUITE_P(
    Profiles, InvalidNodeSettings,
    ::testing::Values(
        InvalidValue{"/settings/Profiles", nullptr,
                     "settings.Profiles: missing, expected a list of at least one class"},
        InvalidValue{"/settings/Profiles", "[]",
                     "settings.Profiles: missing, expected a list of at least one class"},
        InvalidValue{FIRST_CLASS "AimUs", "0",
                     "settings.Profiles[0].AimUs: found '0', expected a whole number of 1 or more"},
        InvalidValue{FIRST_CLASS "HardLimitUs", nullptr,
                     "settings.Profiles[0].HardLimitUs: missing, expected a whole number of 1 or more"},
        InvalidValue{FIRST_CLASS "Worth", R"("much")",
                     "settings.Profiles[0].Worth: found 'much', expected a number of 0 or more"},
        InvalidValue{FIRST_CLASS "WindowUs", "-1",
                     "settings.Profiles[0].WindowUs: found '-1', expected a whole number of 0 or more"},
        InvalidValue{FIRST_CLASS "Effect", nullptr,
                     "settings.Profiles[0].Effect: missing, expected safe, keyed or unsafe"},
        InvalidValue{FIRST_CLASS "Effect", R"("sometimes")",
                     "settings.Profiles[0].Effect: found 'sometimes', expected safe, keyed or unsafe"},
        InvalidValue{FIRST_CLASS "Group", R"("rack")",
                     "settings.Profiles[0].Group: found 'rack', expected all, zone or cell"}));
#undef ADDRESS
#undef LIMIT
#undef GUARANTEE
#undef FIRST_CLASS

TEST(NodeSettings, TextThatIsNotJson_IsReportedWithItsLine) {
  const auto message_of = [](const std::string& text) -> std::string {
    try {
      platform::parse_settings(text);
    } catch (const std::exception& error) {
      return error.what();
    }
    return "accepted";
  };
  EXPECT_EQ(message_of("{\"listen\":\n  nonsense}"), "line 2: byte 14 can't be read, expected JSON");
  EXPECT_EQ(message_of("{\"listen\":"), "line 1: the text ends, expected JSON");
  EXPECT_EQ(message_of(""), "line 1: the text ends, expected JSON");
}

}  // namespace
}  // namespace streampick::test
