#include "plugin/resume.h"

#include <gtest/gtest.h>

namespace streampick::plugin {
namespace {

using engine::ListRequestId;

constexpr long long kMs = 1'000;

TEST(SuspensionDetector, ShortDelay_IsNoSuspension) {
  SuspensionDetector detector;
  EXPECT_EQ(detector.on_wakeup(1'000 * kMs, 990 * kMs), 0);
  EXPECT_EQ(detector.on_wakeup(1'000 * kMs, 0), 0);            // nothing was due
  EXPECT_EQ(detector.on_wakeup(1'000 * kMs, 2'000 * kMs), 0);  // woken by something else, early
  EXPECT_TRUE(detector.may_send(1'000 * kMs));
}

TEST(SuspensionDetector, Suspension_IsLeftOutOfTheTimeAndHoldsAttemptsUntilTheListIsRead) {
  SuspensionDetector detector;
  EXPECT_EQ(detector.on_wakeup(4'000 * kMs, 1'000 * kMs), 3'000 * kMs);
  EXPECT_EQ(detector.suspended_time(), 3'000 * kMs);
  EXPECT_FALSE(detector.may_send(4'000 * kMs));
  detector.await(ListRequestId{2});
  EXPECT_FALSE(detector.may_send(4'000 * kMs));
  detector.on_list_read(ListRequestId{2});
  EXPECT_TRUE(detector.may_send(4'001 * kMs));
  EXPECT_EQ(detector.suspensions(), 1U);
}

TEST(SuspensionDetector, UnreadableList_HoldsAttemptsForMaxHold) {
  SuspensionDetector detector({.min_delay = 100 * kMs, .max_hold = 500 * kMs});
  detector.on_wakeup(4'000 * kMs, 1'000 * kMs);
  EXPECT_EQ(detector.hold_until(), 4'500 * kMs);
  EXPECT_FALSE(detector.may_send(4'499 * kMs));
  EXPECT_TRUE(detector.may_send(4'500 * kMs));
  EXPECT_EQ(detector.hold_until(), 0);
}

// Guards against attempts at a server that left during the suspension: a list that was sent before it, or
// that an earlier request asked for, does not end the hold.
TEST(SuspensionDetector, ListOfAnEarlierRequest_DoesNotEndTheHold) {
  SuspensionDetector detector;
  detector.on_wakeup(4'000 * kMs, 1'000 * kMs);
  detector.on_list_read(ListRequestId{1});  // before the list is requested anew
  EXPECT_FALSE(detector.may_send(4'000 * kMs));
  detector.await(ListRequestId{2});
  detector.on_list_read(ListRequestId{1});  // after that
  EXPECT_FALSE(detector.may_send(4'001 * kMs));
  detector.on_wakeup(9'000 * kMs, 5'000 * kMs);
  detector.on_list_read(ListRequestId{2});  // requested before the second suspension
  EXPECT_FALSE(detector.may_send(9'000 * kMs));
  detector.await(ListRequestId{3});
  detector.on_list_read(ListRequestId{4});  // the watch was opened once more meanwhile
  EXPECT_TRUE(detector.may_send(9'001 * kMs));
}

TEST(SuspensionDetector, SecondSuspension_HoldsAttemptsAgain) {
  SuspensionDetector detector;
  detector.on_wakeup(2'000 * kMs, 1'000 * kMs);
  detector.await(ListRequestId{2});
  detector.on_list_read(ListRequestId{2});
  detector.on_wakeup(9'000 * kMs, 5'000 * kMs);
  EXPECT_FALSE(detector.may_send(9'000 * kMs));
  EXPECT_EQ(detector.suspended_time(), 5'000 * kMs);
}

}  // namespace
}  // namespace streampick::plugin
