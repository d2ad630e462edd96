// Tests of Registry: invalid values are quarantined and remove no member.
#include "roster/etcd/registry.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace streampick::etcd {
namespace {

struct EtcdRegistry : ::testing::Test {
  EtcdRegistry() {
    names.zones = {"a", "b"};
    names.kinds = {"cache", "origin"};
  }
  static std::string value(const std::string& id, const std::string& address,
                           const std::string& phase = "in_service", const std::string& zone = "a") {
    return nlohmann::json{{"id", id},  {"host_port", address}, {"locality", zone}, {"flavor", "cache"},
                          {"cell", 1}, {"phase", phase},       {"size", 1.0},      {"up_since_ms", 0}}
        .dump();
  }
  std::vector<engine::EndpointList> put(const std::string& key, const std::string& text) {
    ++revision;
    const auto found = created.emplace(key, revision).first;
    return registry.apply({1, revision, false, {}, {{key, text, found->second, revision}}});
  }
  std::vector<engine::EndpointList> remove(const std::string& key) {
    ++revision;
    const Departure departure{key, created.at(key)};
    created.erase(key);
    return registry.apply({1, revision, false, {departure}, {}});
  }
  std::string all() const {
    std::string out;
    for (const auto& one : registry.list().members) out += one.id + "@" + one.address + " ";
    return out;
  }
  Names names;
  Registry registry{names};
  std::int64_t revision = 0;
  std::map<std::string, std::int64_t> created;
};

TEST_F(EtcdRegistry, AddedChangedAndRemovedKeys_AreReported) {
  auto told = put("/c/1", value("s-1", "127.0.0.1:1"));
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told[0].members.at(0).member.phase, Phase::ready);
  EXPECT_TRUE(put("/c/1", value("s-1", "127.0.0.1:1")).empty());  // same value written again
  told = put("/c/1", value("s-1", "127.0.0.1:1", "terminating"));
  EXPECT_EQ(told.at(0).members.at(0).member.phase, Phase::draining);
  told = remove("/c/1");
  ASSERT_EQ(told.size(), 1U);
  EXPECT_EQ(told[0].members.at(0).member.phase, Phase::gone);
  EXPECT_EQ(registry.members(), 0U);
}

TEST_F(EtcdRegistry, InvalidValue_KeepsLastValidEntryAndIsReportedOnce) {
  put("/c/1", value("s-1", "127.0.0.1:1"));
  for (const std::string& bad :
       {std::string("{"), std::string("[]"), std::string("{}"), value("s-1", "nowhere"),
        value("s-1", "127.0.0.1:1", "asleep"), value("s-1", "127.0.0.1:1", "in_service", "zz"),
        value("", "127.0.0.1:1"), std::string(5'000, ' ')}) {
    EXPECT_TRUE(put("/c/1", bad).empty());
    EXPECT_EQ(all(), "s-1@127.0.0.1:1 ");
    EXPECT_EQ(registry.quarantined(), 1U);
    const auto faults = registry.take_faults();
    ASSERT_EQ(faults.size(), 1U) << bad.substr(0, 80);
    EXPECT_EQ(faults[0].key, "/c/1");
    EXPECT_NE(faults[0].reason.find("expected"), std::string::npos) << faults[0].reason;
    put("/c/1", bad);
    EXPECT_TRUE(registry.take_faults().empty());
  }
  put("/c/1", value("s-1", "127.0.0.1:2"));
  EXPECT_EQ(all(), "s-1@127.0.0.1:2 ");
  EXPECT_EQ(registry.quarantined(), 0U);
}

TEST_F(EtcdRegistry, ConflictingIdOrAddress_IsQuarantinedUntilFirstKeyIsRemoved) {
  put("/c/1", value("s-1", "127.0.0.1:1"));
  EXPECT_TRUE(put("/c/2", value("s-1", "127.0.0.1:2")).empty());
  EXPECT_TRUE(put("/c/3", value("s-3", "127.0.0.1:1")).empty());
  EXPECT_EQ(all(), "s-1@127.0.0.1:1 ");
  EXPECT_EQ(registry.quarantined(), 2U);
  const auto told = remove("/c/1");
  ASSERT_EQ(told.size(), 2U);  // the departure comes first, in its own list
  EXPECT_EQ(told[0].members.at(0).member.phase, Phase::gone);
  EXPECT_EQ(told[1].members.size(), 2U);
  EXPECT_EQ(all(), "s-1@127.0.0.1:2 s-3@127.0.0.1:1 ");
  EXPECT_EQ(registry.quarantined(), 0U);
}

TEST_F(EtcdRegistry, KeyThatNamesAnotherMember_ReportsThePreviousOneAsGone) {
  put("/c/1", value("s-1", "127.0.0.1:1"));
  const auto told = put("/c/1", value("s-2", "127.0.0.1:1"));
  ASSERT_EQ(told.at(0).members.size(), 2U);
  EXPECT_EQ(told[0].members[0].id, "s-1");
  EXPECT_EQ(told[0].members[0].member.phase, Phase::gone);
  EXPECT_EQ(told[0].members[1].id, "s-2");
}

TEST_F(EtcdRegistry, CompletePublication_ReturnsCompleteList) {
  const auto told = registry.apply({1,
                                    9,
                                    true,
                                    {},
                                    {{"/c/1", value("s-1", "127.0.0.1:1"), 3, 3},
                                     {"/c/2", "{", 4, 4},
                                     {"/c/3", value("s-3", "127.0.0.1:3"), 5, 5}}});
  ASSERT_EQ(told.size(), 1U);
  EXPECT_TRUE(told[0].complete);
  EXPECT_EQ(told[0].members.size(), 2U);
  EXPECT_EQ(told[0].revision, 9U);
}

TEST_F(EtcdRegistry, DepartureAndReturnInOnePublication_AreTwoLists) {
  put("/c/1", value("s-1", "127.0.0.1:1"));
  const auto told =
      registry.apply({1, 9, false, {{"/c/1", 1}}, {{"/c/1", value("s-1", "127.0.0.1:1"), 9, 9}}});
  ASSERT_EQ(told.size(), 2U);
  EXPECT_EQ(told[0].members.at(0).member.phase, Phase::gone);
  EXPECT_EQ(told[1].members.at(0).member.phase, Phase::ready);
}

}  // namespace
}  // namespace streampick::etcd
