#include "plugin/resume.h"

#include <gtest/gtest.h>

namespace streampick::plugin {
namespace {

constexpr long long kMs = 1'000;

TEST(Resume, ALittleLateIsNoPause) {
  Resume resume;
  EXPECT_EQ(resume.woke(1'000 * kMs, 990 * kMs), 0);
  EXPECT_EQ(resume.woke(1'000 * kMs, 0), 0);            // nothing was due
  EXPECT_EQ(resume.woke(1'000 * kMs, 2'000 * kMs), 0);  // woken by something else, early
  EXPECT_TRUE(resume.may_send(1'000 * kMs));
}

TEST(Resume, APauseIsLeftOutAndHoldsWhatIsNewUntilTheListIsRead) {
  Resume resume;
  EXPECT_EQ(resume.woke(4'000 * kMs, 1'000 * kMs), 3'000 * kMs);
  EXPECT_EQ(resume.skipped(), 3'000 * kMs);
  EXPECT_FALSE(resume.may_send(4'000 * kMs));
  resume.list_read();
  EXPECT_TRUE(resume.may_send(4'001 * kMs));
  EXPECT_EQ(resume.pauses(), 1U);
}

TEST(Resume, AListThatCanNotBeHadHoldsForABoundedTimeOnly) {
  Resume resume({.least = 100 * kMs, .hold = 500 * kMs});
  resume.woke(4'000 * kMs, 1'000 * kMs);
  EXPECT_EQ(resume.hold_until(), 4'500 * kMs);
  EXPECT_FALSE(resume.may_send(4'499 * kMs));
  EXPECT_TRUE(resume.may_send(4'500 * kMs));
  EXPECT_EQ(resume.hold_until(), 0);
}

TEST(Resume, EachPauseHoldsAnew) {
  Resume resume;
  resume.woke(2'000 * kMs, 1'000 * kMs);
  resume.list_read();
  resume.woke(9'000 * kMs, 5'000 * kMs);
  EXPECT_FALSE(resume.may_send(9'000 * kMs));
  EXPECT_EQ(resume.skipped(), 5'000 * kMs);
}

}  // namespace
}  // namespace streampick::plugin
