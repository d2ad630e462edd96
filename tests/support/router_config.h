/// \file
/// Configurations of the router and endpoint lists, as the platform's JSON.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#ifdef STREAMPICK_WITH_OPTIONS
#include "platform/node_settings.h"
#include "platform/options.h"
#endif

namespace streampick::test {

/// One endpoint of an endpoint list.
struct MemberText {
  std::string id, address, kind = "box", phase = "in_service";
  std::int64_t up_since_ms = 0;
};

/// An endpoint list as discovery delivers it.
inline nlohmann::json list_json(std::uint64_t revision, bool complete,
                                const std::vector<MemberText>& members) {
  nlohmann::json list = {
      {"revision", revision}, {"complete", complete}, {"members", nlohmann::json::array()}};
  for (const MemberText& member : members)
    list["members"].push_back({{"id", member.id},
                               {"host_port", member.address},
                               {"locality", "a"},
                               {"flavor", member.kind},
                               {"cell", 1},
                               {"phase", member.phase},
                               {"size", 1.0},
                               {"up_since_ms", member.up_since_ms}});
  return list;
}

/// A configuration with the classes read (safe), save (idempotent by key) and pay (unsafe). `known`: the
/// endpoint list to start with.
inline nlohmann::json config_json(const std::string& discovery, const nlohmann::json& known) {
  const auto profile = [](const char* name, const char* effect) {
    return nlohmann::json{{"Name", name},       {"Effect", effect},         {"Group", "all"},
                          {"AimUs", 2'000'000}, {"HardLimitUs", 8'000'000}, {"WindowUs", 5'000'000},
                          {"Worth", 1.0}};
  };
  return {{"name", "n1"},
          {"listen", "127.0.0.1:0"},
          {"discovery", discovery},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 256}}},
          {"known", known},
          {"later", {{"unknown", true}}},
          {"settings",
           {{"Az", "a"},
            {"Balancers", 1},
            {"Zones", {"a", "b"}},
            {"Shapes", {"box", "origin"}},
            {"Tenants", nlohmann::json::array()},
            {"FamilyInfo", {{"Mode", "aside"}, {"OriginKind", 1}}},
            {"PolicyLimits",
             {{"MaxAttempts", 3},
              {"SecondCopies", true},
              {"Cancelling", true},
              {"RetryAfter", true},
              {"MaxRetryAfterUs", 2'000'000},
              {"DialTimeoutUs", 250'000},
              {"KeepaliveUs", 60'000'000}}},
            {"Guarantees", {{"AnswerSlackUs", 20'000}, {"StopSendingWithinUs", 2'000'000}, {"Novel", 1}}},
            {"RegistryMode", "push"},
            {"Profiles", {profile("read", "safe"), profile("save", "keyed"), profile("pay", "unsafe")}}}}};
}

#ifdef STREAMPICK_WITH_OPTIONS
/// The error message for an options file together with this configuration; empty: both are valid.
inline std::string options_error(const std::string& toml, const nlohmann::json& config) {
  try {
    platform::Options options = platform::parse_options(toml, "o.toml");
    platform::NodeSettings settings = platform::parse_settings(config.dump());
    platform::resolve(options, settings);
#ifdef STREAMPICK_WITH_FLEET
    fleet::resolve(options.fleet, settings, options.file);
    fleet::resolve(options.shares, options.fleet, settings, options.file);
#endif
  } catch (const options::Error& error) {
    return error.what();
  }
  return "";
}
#endif

}  // namespace streampick::test
