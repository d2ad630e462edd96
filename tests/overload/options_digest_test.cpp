// Digests of the settings read from section [overload] of the options file, and of its error messages.
#include <gtest/gtest.h>

#include <array>
#include <string>

#include "overload/options.h"
#include "support/digest.h"

namespace streampick::overload::test {
namespace {

using streampick::test::Digest;
using streampick::test::has_hash;

void add_result(Digest& digest, const std::string& toml) {
  try {
    const Settings settings = read_options(options::Table::parse(toml, "o.toml"));
    digest.add("settings", settings.client_minimum_share, settings.upstream_minimum_share,
               settings.connection_pressure_share, settings.idle_timeout,
               settings.idle_timeout_under_pressure, settings.target_loop_lag, settings.saturated_cpu,
               settings.max_drain_time, settings.max_draining_share, settings.max_draining_per_endpoint,
               settings.max_buffered_response, settings.max_response, settings.max_buffering_time);
    for (const std::string& name : settings.protected_classes) digest.add("spared", name);
  } catch (const options::Error& error) {
    digest.add("error", error.what());
  }
}

TEST(OverloadOptionsDigest, KeysAtAndBeyondTheirBounds_AreReadAsRecorded) {
  constexpr std::array kKeys = {"clients_floor",        "servers_floor", "crowd",      "calm_idle_ms",
                                "crowded_idle_ms",      "late_ms",       "busy",       "spared",
                                "drain_wait_ms",        "drain_share",   "drain_here", "whole_answer_bytes",
                                "longest_answer_bytes", "unknown"};
  constexpr std::array kValues = {"-1",
                                  "0",
                                  "0.009",
                                  "0.01",
                                  "0.04",
                                  "0.05",
                                  "0.1",
                                  "0.5",
                                  "0.66",
                                  "0.67",
                                  "0.9",
                                  "0.91",
                                  "1",
                                  "1.5",
                                  "1.6",
                                  "99",
                                  "100",
                                  "1000",
                                  "1001",
                                  "2000",
                                  "10000",
                                  "10001",
                                  "65535",
                                  "65536",
                                  "1048576",
                                  "1048577",
                                  "33554432",
                                  "86400000",
                                  "86400001",
                                  "1099511627776",
                                  "1099511627777",
                                  "\"text\"",
                                  "[]",
                                  "[\"read\"]",
                                  "[\"a\", \"b\"]",
                                  "true",
                                  "[1]"};
  Digest digest;
  add_result(digest, "");
  for (const char* key : kKeys) {
    for (const char* value : kValues) {
      const std::string toml = std::string(key) + " = " + value + "\n";
      digest.add("file", key, value);
      add_result(digest, toml);
    }
  }
  EXPECT_TRUE(has_hash(digest, "1c3a79011fd0fc94"));
}

TEST(OverloadOptionsDigest, ContradictingKeys_AreReadAsRecorded) {
  Digest digest;
  add_result(digest, "clients_floor = 0.5\nservers_floor = 0.5\n");
  add_result(digest, "clients_floor = 0.6\nservers_floor = 0.5\n");
  add_result(digest, "calm_idle_ms = 1000\ncrowded_idle_ms = 1001\n");
  add_result(digest, "calm_idle_ms = 1000\ncrowded_idle_ms = 1000\n");
  add_result(digest, "whole_answer_bytes = 70000\nlongest_answer_bytes = 69999\n");
  add_result(digest, "whole_answer_bytes = 70000\nlongest_answer_bytes = 70000\n");
  add_result(digest, "late_ms = 5\n\nbusy = 0.5\nspared = [\"save\", \"pay\"]\nlate_mss = 1\n");
  EXPECT_TRUE(has_hash(digest, "fb59dd1a1fdfa6be"));
}

}  // namespace
}  // namespace streampick::overload::test
