// The line of reads that wait for room at the caches, by itself.
#include <gtest/gtest.h>

#include <deque>

#include "policy/admission.h"

namespace streampick::test {
namespace {

struct Nowhere final : ActionSink {
  void send(RequestId, ServerId, Time) override {}
  void cancel(RequestId, std::uint32_t) override {}
  void refuse(RequestId, Time) override { ++refused; }
  void fail(RequestId) override {}
  void close_idle(ServerId) override {}
  void watch_members() override {}
  std::size_t refused = 0;
};

Config one_class() {
  Config config;
  config.routers = 1;
  config.max_attempts = 2;
  config.max_retry_after = 1'000'000;
  config.classes = {{200'000, 1'000'000, 1, Effect::safe, Group::all, 0}};
  return config;
}

// Overload that lasts: the line is never empty, and what has left it from its old end must not stay behind.
TEST(EntryLine, HoldsNoMoreThanThoseWhoWaitHoweverLongItStands) {
  Nowhere sink;
  policy::Admission admission(one_class(), 1, 0, sink);
  admission.cache_limit_.value = 1;
  admission.cache_in_flight_ = 1;  // and never less
  std::deque<std::uint32_t> waiting;
  std::size_t most = 0;
  for (RequestId id = 1; id <= 20'000; ++id) {
    admission.now_ += 1'000;
    const std::uint32_t slot = admission.open_slot();
    Request request;
    request.id = id;
    request.deadline = admission.now_ + 1'000'000;
    const std::uint32_t generation = admission.open_[slot].generation + 1;
    admission.open_[slot] = {.request = request, .over = false, .used = true, .generation = generation};
    admission.slots_[id] = slot;
    admission.stand_in_line(slot);
    waiting.push_back(slot);
    if (waiting.size() < 40) continue;
    admission.leave_line(waiting.front());
    waiting.pop_front();
    most = std::max(most, admission.entry_line_.size());
  }
  EXPECT_GT(sink.refused, 19'000U);
  EXPECT_LE(most, 40U);
}

// Where connections are kept for good one that is never used again stands first in the line for good.
TEST(IdleLine, HoldsNoMoreThanAFewForEachServerHoweverOftenTheyAreUsed) {
  Nowhere sink;
  policy::Admission admission(one_class(), 1, 0, sink);
  admission.servers_.resize(3);
  AttemptResult result;
  result.outcome = Outcome::served;
  std::size_t most = 0;
  for (int use = 0; use < 20'000; ++use) {
    admission.now_ += 1'000;
    admission.link(use == 0 ? 0 : 1 + use % 2, {}, result);
    most = std::max(most, admission.idle_[0].size() + admission.idle_[1].size());
  }
  EXPECT_LE(most, 2 * 3 + 64 + 1U);
  EXPECT_GE(admission.idle_[0].size() + admission.idle_[1].size(), 3U);  // each server's last use is there
}

}  // namespace
}  // namespace streampick::test
