// Reload of the configuration: it is applied or rejected as a whole, and open requests keep their former
// rules.
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "net/log.h"
#include "support/loopback.h"

namespace streampick::test {
namespace {

using json = nlohmann::json;

class Reload : public Loopback {
 protected:
  Reload()
      : file_(std::filesystem::path(::testing::TempDir()) /
              ("streampick_reload_" + std::to_string(::getpid()))) {}
  ~Reload() override { std::filesystem::remove(file_); }
  void begin() {
    config_ = config_json(
        text_of(discovery.local_endpoint()),
        list_json(1, true, {{"s-cache", cache.address()}, {"s-origin", origin.address(), "origin"}}));
    start_with(config_);
  }
  void start_with(const json& config) {
    settings = platform::parse_settings(config.dump());
    host = std::make_unique<daemon::Host>(io, clock, settings);
  }
  bool reload(const std::string& text) {
    std::ofstream(file_, std::ios::trunc) << text;
    return host->reload(file_.string());
  }
  bool reload(const json& config) { return reload(config.dump()); }
  int status_of(const std::string& request) {
    const auto one = client();
    one->ask(request);
    EXPECT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
    return one->answers.empty() ? 0 : one->status();
  }
  json& class_settings(std::size_t i) { return config_["settings"]["Profiles"][i]; }
  std::filesystem::path file_;
  json config_;
};

TEST_F(Reload, AddedRemovedAndChangedClasses_HoldForNewRequests) {
  cache.answer = origin.answer = [](const std::string&) { return response(200, "x"); };
  begin();
  EXPECT_EQ(status_of(request_text("GET", "/look/1", "look")), 400);
  json look = class_settings(0);
  look["Name"] = "look";
  json without = config_;
  config_["settings"]["Profiles"].push_back(look);
  ASSERT_TRUE(reload(config_));
  EXPECT_EQ(status_of(request_text("GET", "/look/1", "look")), 200);
  EXPECT_EQ(status_of(request_text("PUT", "/pay/1", "pay", "x")), 200);
  class_settings(2)["Effect"] = "keyed";
  ASSERT_TRUE(reload(config_));
  EXPECT_EQ(status_of(request_text("PUT", "/pay/1", "pay", "x")), 400);  // an idempotency key is required now
  EXPECT_EQ(status_of(request_text("PUT", "/pay/1", "pay", "x", "8.0", "Idempotency-Key: k\r\n")), 200);
  ASSERT_TRUE(reload(without));
  EXPECT_EQ(status_of(request_text("GET", "/look/1", "look")), 400);
  const auto metrics = host->operators().dump();
  EXPECT_EQ(metrics.classes.at("look").served, 1U);
  EXPECT_EQ(metrics.classes.at("pay").served, 2U);
  EXPECT_EQ(metrics.reconfig_ok, 3U);
  EXPECT_EQ(metrics.reconfig_failed, 0U);
}

// An unsafe write that may have run is not retried, though its class is keyed after the reload: its request
// began before.
TEST_F(Reload, OpenRequest_KeepsTheRulesOfItsStart) {
  begin();
  const auto one = client();
  one->ask(request_text("PUT", "/pay/1", "pay", "x"));
  ASSERT_TRUE(wait_for([&] { return origin.requests.size() == 1; }));
  class_settings(2)["Effect"] = "keyed";
  class_settings(2)["HardLimitUs"] = 3'000'000;
  ASSERT_TRUE(reload(config_));
  origin.peers[0]->close();
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  EXPECT_EQ(one->status(), 502);
  EXPECT_EQ(origin.requests.size(), 1U);
  // The reverse: a keyed write is retried, though its class is unsafe after the reload.
  const auto two = client();
  two->ask(request_text("PUT", "/pay/1", "pay", "x", "3.0", "Idempotency-Key: k\r\n"));
  ASSERT_TRUE(wait_for([&] { return origin.requests.size() == 2; }));
  class_settings(2)["Effect"] = "unsafe";
  ASSERT_TRUE(reload(config_));
  origin.answer = [](const std::string&) { return response(200, "done"); };
  origin.peers[1]->close();
  ASSERT_TRUE(wait_for([&] { return two->answers.size() == 1; }));
  EXPECT_EQ(two->status(), 200);
  EXPECT_EQ(origin.requests.size(), 3U);
}

TEST_F(Reload, LowerAttemptLimit_HoldsForNewRequestsOnly) {
  begin();
  const auto rejected_response = [](const std::string&) { return response(503, "", "X-Turned-Away: 1\r\n"); };
  const auto one = client();
  one->ask(request_text("PUT", "/pay/1", "pay", "x", "2.0"));
  ASSERT_TRUE(wait_for([&] { return origin.requests.size() == 1; }));
  config_["settings"]["PolicyLimits"]["MaxAttempts"] = 1;
  ASSERT_TRUE(reload(config_));
  origin.peers[0]->write(response(503, "", "X-Turned-Away: 1\r\n"));
  ASSERT_TRUE(wait_for([&] { return origin.requests.size() == 2; }));  // it keeps its limit of three attempts
  origin.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  origin.answer = rejected_response;
  EXPECT_EQ(status_of(request_text("PUT", "/pay/1", "pay", "x", "2.0")), 503);
  EXPECT_EQ(origin.requests.size(), 3U);
}

TEST_F(Reload, InvalidFile_IsRejectedAsAWholeAndCounted) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  begin();
  const std::string good = config_.dump();
  std::vector<std::string> bad = {"", "{", good.substr(0, good.size() / 2), "[]", "{\"settings\": 5}"};
  const auto with = [&](const std::function<void(json&)>& change) {
    json next = config_;
    change(next);
    // An added class shows whether any part of the configuration was applied.
    json look = next["settings"]["Profiles"].is_array() ? next["settings"]["Profiles"][0] : json();
    if (look.is_object()) look["Name"] = "look", next["settings"]["Profiles"].push_back(look);
    bad.push_back(next.dump());
  };
  for (const char* key : {"settings", "listen", "discovery", "limits", "seed"})
    with([&](json& next) { next[key] = nullptr; });
  for (const char* key : {"listen", "discovery", "limits", "seed"})
    with([&](json& next) { next.erase(key); });
  for (const char* key : {"PolicyLimits", "Guarantees", "RegistryMode", "Shapes"})
    with([&](json& next) { next["settings"].erase(key); });
  for (const char* key : {"MaxAttempts", "DialTimeoutUs"})
    with([&](json& next) { next["settings"]["PolicyLimits"].erase(key); });
  for (const char* key : {"Name", "Effect", "AimUs", "HardLimitUs", "Worth"})
    with([&](json& next) { next["settings"]["Profiles"][1].erase(key); });
  for (const json& value :
       {json(0), json(-1), json("x"), json("3"), json(nullptr), json(true), json::array(), json(1e300)}) {
    with([&](json& next) { next["settings"]["PolicyLimits"]["MaxAttempts"] = value; });
    with([&](json& next) { next["settings"]["Profiles"][0]["HardLimitUs"] = value; });
  }
  std::string nan = good;
  nan.replace(nan.find("8000000"), 7, "NaN");
  bad.push_back(nan);
  std::vector<std::string> logged;
  {
    net::ScopedLogSink sink([&](std::string_view text) { logged.emplace_back(text); });
    // The log limits the lines per second: wait for a second without lines of other tests.
    quiet(1'100);
    net::log("a new second");
    for (const std::string& text : bad) {
      logged.clear();
      EXPECT_FALSE(reload(text)) << text;
      ASSERT_EQ(logged.size(), 1U) << text;
      EXPECT_NE(logged[0].find(file_.string()), std::string::npos) << logged[0];
    }
  }
  EXPECT_EQ(host->operators().dump().reconfig_failed, bad.size());
  EXPECT_EQ(status_of(request_text("GET", "/look/1", "look")), 400);
  EXPECT_EQ(status_of(a_read()), 200);
  EXPECT_TRUE(reload(good));
  EXPECT_EQ(host->operators().dump().reconfig_ok, 1U);
}

TEST_F(Reload, ManyReloadsUnderLoad_KeepClassesBounded) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  begin();
  const auto one = client();
  for (int i = 0; i < 200; ++i) {
    class_settings(0)["HardLimitUs"] = 4'000'000 + i;
    ASSERT_TRUE(reload(config_));
    one->ask(a_read());
    ASSERT_TRUE(wait_for([&] { return one->answers.size() == static_cast<std::size_t>(i) + 1; }));
    ASSERT_EQ(one->status(static_cast<std::size_t>(i)), 200);
  }
  EXPECT_EQ(host->operators().dump().classes.at("read").served, 200U);
  EXPECT_EQ(host->operators().dump().classes.size(), 3U);
}

}  // namespace
}  // namespace streampick::test
