// Unit tests of TimerQueue and RequestTable: the order of timers, obsolete timers and reuse of slots.
#include "policy/timer_queue.h"

#include <gtest/gtest.h>

namespace streampick::policy::test {
namespace {

Request request_with_id(RequestId id) {
  Request request;
  request.id = id;
  return request;
}

TEST(TimerQueue, TimersDueAtTheSameTime_FireInTheOrderOfAddition) {
  RequestTable requests;
  TimerQueue timers(requests);
  timers.add(20, TimerKind::close_idle);
  timers.add(10, TimerKind::tick);
  timers.add(10, TimerKind::poll_discovery);
  EXPECT_EQ(timers.next_due(), 10);
  EXPECT_FALSE(timers.pop_due(9));
  EXPECT_EQ(timers.pop_due(20)->kind, TimerKind::tick);
  EXPECT_EQ(timers.pop_due(20)->kind, TimerKind::poll_discovery);
  EXPECT_EQ(timers.pop_due(20)->kind, TimerKind::close_idle);
  EXPECT_FALSE(timers.pop_due(20));
  EXPECT_EQ(timers.next_due(), kNever);
}

TEST(TimerQueue, TimerOfAnEndedRequest_IsDroppedEvenAfterReuseOfItsSlot) {
  RequestTable requests;
  TimerQueue timers(requests);
  RequestState& first = requests.open(request_with_id(1), 0);
  timers.add(5, TimerKind::hedge, first.self);
  first.is_over = true;
  requests.release_if_done(first);
  RequestState& second = requests.open(request_with_id(2), 0);
  EXPECT_EQ(second.self.slot, first.self.slot);
  EXPECT_EQ(timers.next_due(), kNever);
  timers.add(6, TimerKind::hedge, second.self);
  EXPECT_EQ(timers.next_due(), 6);
}

TEST(TimerQueue, RequestThatStreamsOrLeftTheQueue_HasNoTimers) {
  RequestTable requests;
  TimerQueue timers(requests);
  RequestState& request = requests.open(request_with_id(1), 0);
  request.is_queued = true;
  timers.add(5, TimerKind::admission_timeout, request.self);
  timers.add(7, TimerKind::deadline, request.self);
  EXPECT_EQ(timers.next_due(), 5);
  request.is_queued = false;
  EXPECT_EQ(timers.next_due(), 7);
  request.is_streaming = true;
  EXPECT_EQ(timers.next_due(), kNever);
}

TEST(RequestTable, RequestOverWithAnAttemptInFlight_KeepsItsSlot) {
  RequestTable requests;
  RequestState& request = requests.open(request_with_id(1), 0);
  request.in_flight_count = 1;
  request.is_over = true;
  requests.release_if_done(request);
  EXPECT_EQ(requests.find(1), &request);
  request.in_flight_count = 0;
  requests.release_if_done(request);
  EXPECT_EQ(requests.find(1), nullptr);
}

}  // namespace
}  // namespace streampick::policy::test
