// Two processes of one router and the folder between them.
#include "takeover/shared_folder.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <vector>

#include "takeover/presence.h"

namespace streampick::takeover::test {
namespace {

class Shared : public ::testing::Test {
 protected:
  Shared()
      : folder_(std::filesystem::path(::testing::TempDir()) /
                ("streampick_shared_" + std::to_string(::getpid()))) {
    std::filesystem::create_directories(folder_);
  }
  ~Shared() override { std::filesystem::remove_all(folder_); }
  SharedFolder open() {
    return {folder_.string(), [this](std::string_view text) { said_.emplace_back(text); }};
  }
  std::filesystem::path folder_;
  std::vector<std::string> said_;
};

TEST_F(Shared, WhatOneIsToldTheOtherFindsAndEachChangeIsMadeToWhatStandsThere) {
  SharedFolder first = open(), second = open();
  EXPECT_FALSE(first.news());
  first.change({}, [](control::Overrides& all) { all.leave_out("s-1", 1); });
  EXPECT_FALSE(first.news());  // its own
  const auto seen = second.news();
  ASSERT_TRUE(seen);
  EXPECT_TRUE(seen->out("s-1"));
  EXPECT_FALSE(second.news());
  // The second has not looked since the first was told more.
  first.change({}, [](control::Overrides& all) { all.leave_out("s-2", 2); });
  const auto both = second.change({}, [](control::Overrides& all) { all.send_clients_away(true); });
  EXPECT_TRUE(both.out("s-1") && both.out("s-2") && both.clients_away());
  const auto told = first.news();
  ASSERT_TRUE(told);
  EXPECT_EQ(*told, both);
  EXPECT_TRUE(said_.empty());
  // Nothing is left lying about.
  std::size_t files = 0;
  for (const auto& entry : std::filesystem::directory_iterator(folder_)) files += entry.exists() ? 1 : 0;
  EXPECT_EQ(files, 2U);
}

TEST_F(Shared, ADamagedOrForeignFileIsToldOfOnceAndCountsAsNone) {
  std::ofstream(folder_ / "streampick.overrides") << "#!/bin/sh\n";
  SharedFolder one = open();
  EXPECT_FALSE(one.news());
  EXPECT_FALSE(one.news());
  EXPECT_EQ(said_.size(), 1U);
  control::Overrides own;
  own.leave_out("s-1", 1);
  const auto now = one.change(own, [](control::Overrides& all) { all.leave_out("s-2", 2); });
  EXPECT_TRUE(now.out("s-1") && now.out("s-2"));
  EXPECT_EQ(*open().news(), now);
}

TEST_F(Shared, EachKnowsWhetherAnotherRunsAsLongAsItRuns) {
  const Presence first(folder_.string());
  EXPECT_TRUE(first.alone());
  {
    const Presence second(folder_.string());
    EXPECT_FALSE(first.alone());
    EXPECT_FALSE(second.alone());
    const Presence third(folder_.string());
    EXPECT_FALSE(third.alone());
  }
  EXPECT_TRUE(first.alone());
  EXPECT_TRUE(Presence("/nonexistent/folder").alone());
}

TEST_F(Shared, WhereTheFolderCanNotBeWrittenTheChangeHoldsHere) {
  SharedFolder one("/nonexistent/folder", [this](std::string_view text) { said_.emplace_back(text); });
  const auto now = one.change({}, [](control::Overrides& all) { all.leave_out("s-1", 1); });
  EXPECT_TRUE(now.out("s-1"));
  EXPECT_FALSE(said_.empty());
}

}  // namespace
}  // namespace streampick::takeover::test
