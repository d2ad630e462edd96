// Class numbers stay valid while settings change.
#include "engine/class_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

namespace streampick::test {
namespace {

RequestClass class_rules(Time deadline, std::uint32_t attempts = 3) {
  RequestClass out;
  out.latency_objective = 1;
  out.deadline = deadline;
  out.max_attempts = attempts;
  return out;
}

std::uint32_t number_of(const engine::ClassTable& table, const std::string& name) {
  const auto& names = table.names();
  const auto found = std::find(names.begin(), names.end(), name);
  return found == names.end() ? kNone : static_cast<std::uint32_t>(found - names.begin());
}

TEST(ClassTable, SettingsChange_KeepsNumbersOfUnchangedClassesOnly) {
  engine::ClassTable table({class_rules(100), class_rules(200)}, {"read", "save"});
  table.change({class_rules(250), class_rules(100)}, {"save", "read"});
  EXPECT_EQ(number_of(table, "read"), 0U);
  EXPECT_EQ(number_of(table, "save"), 1U);  // no request was open under the old rules
  EXPECT_EQ(table.rules()[1].deadline, 250);
  EXPECT_EQ(table.rules()[1].similar_class, 1U);
  table.request_opened(1);
  table.change({class_rules(100), class_rules(300)}, {"read", "save"});
  EXPECT_EQ(number_of(table, "save"), 2U);
  EXPECT_EQ(table.rules()[1].deadline, 250);  // still the rules of the open request
  EXPECT_EQ(table.rules()[2].similar_class, 1U);
  table.change({class_rules(100)}, {"read"});
  EXPECT_EQ(number_of(table, "save"), kNone);
  EXPECT_EQ(table.rules()[1].deadline, 250);
  table.request_closed(1);
  table.change({class_rules(100), class_rules(1)}, {"read", "pay"});
  EXPECT_EQ(number_of(table, "pay"), 1U);
  EXPECT_EQ(table.rules().size(), 3U);
}

TEST(ClassTable, FewerAttempts_GiveEveryClassANewNumber) {
  engine::ClassTable table({class_rules(100, 3), class_rules(200, 3)}, {"read", "save"});
  table.request_opened(0);
  table.change({class_rules(100, 1), class_rules(200, 1)}, {"read", "save"});
  EXPECT_EQ(table.rules()[0].max_attempts, 3U);
  EXPECT_EQ(table.rules()[number_of(table, "read")].max_attempts, 1U);
  EXPECT_NE(number_of(table, "read"), 0U);
}

// Over random changes of settings: an open request keeps the rules that it arrived under, names refer to the
// rules of the newest settings, and the table does not grow with the number of changes.
TEST(ClassTable, ThousandSettingsChanges_KeepRulesOfOpenRequestsAndStayBounded) {
  std::mt19937 random(29);
  const std::vector<std::string> all = {"read", "save", "pay", "look", "list"};
  engine::ClassTable table({class_rules(1)}, {"read"});
  struct Open {
    std::uint32_t number;
    RequestClass rules;
  };
  std::vector<Open> open;
  for (int step = 0; step < 1'000; ++step) {
    std::vector<RequestClass> rules;
    std::vector<std::string> names;
    for (const std::string& name : all) {
      if (random() % 3 == 0) continue;
      names.push_back(name);
      rules.push_back(class_rules(1 + random() % 4, 1 + random() % 2));
    }
    if (names.empty()) continue;
    table.change(rules, names);
    for (std::size_t i = 0; i < names.size(); ++i) {
      const std::uint32_t number = number_of(table, names[i]);
      ASSERT_NE(number, kNone);
      ASSERT_EQ(table.rules()[number].deadline, rules[i].deadline);
      ASSERT_EQ(table.rules()[number].max_attempts, rules[i].max_attempts);
    }
    ASSERT_EQ(std::count(table.names().begin(), table.names().end(), "\n"),
              static_cast<std::ptrdiff_t>(table.names().size() - names.size()));
    for (unsigned n = random() % 4; n > 0; --n) {
      const std::uint32_t number = number_of(table, names[random() % names.size()]);
      table.request_opened(number);
      open.push_back({number, table.rules()[number]});
    }
    while (open.size() > 10 || (!open.empty() && random() % 2 == 0)) {
      const std::size_t which = random() % open.size();
      table.request_closed(open[which].number);
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(which));
    }
    for (const Open& request : open) ASSERT_EQ(table.rules()[request.number], request.rules);
    ASSERT_LE(table.rules().size(), all.size() + 10 + all.size());
  }
}

}  // namespace
}  // namespace streampick::test
