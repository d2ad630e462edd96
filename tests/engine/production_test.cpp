/// The engine on virtual time in situations of production: faults after a long idle period, attempts that
/// fail immediately, cache misses under low load, and the replacement of half of the servers.
#include <set>

#include "engine/engine_fixture.h"
#include "engine/scripted_upstreams.h"

namespace streampick::test {
namespace {

constexpr Time kHour = 3'600 * kSecond, kDay = 24 * kHour;
constexpr Time kObjective = 2 * kSecond;  // the fixture's latency objective

// ---- Faults after a long idle period

class AfterQuietTime : public EngineTest {
 protected:
  // Sends requests that are all served within 5 ms.
  void serve_some(std::uint64_t requests = 40) {
    for (std::uint64_t key = 0; key < requests; ++key) {
      ask(kRead, 0, 8 * kSecond, key);
      time.advance(5 * kMs);
      end_new(Outcome::served);
      time.advance(45 * kMs);
    }
  }
  // Ends every new attempt except those at the server `silent`.
  void end_new(Outcome outcome, const std::string& silent = {}) {
    for (; next_attempt_ < fleet.sent.size(); ++next_attempt_)
      if (fleet.sent[next_attempt_].server != silent) end(next_attempt_, outcome);
  }
  // Lets time pass without requests; expects no attempt and no response.
  void idle_for(Time length) {
    const std::size_t sent = fleet.sent.size(), answered = responses();
    time.advance(length);
    EXPECT_EQ(fleet.sent.size(), sent);
    EXPECT_EQ(responses(), answered);
  }
  // Serves all attempts except those at `silent` until the next response. Returns the time until then.
  Time answered_after(const std::string& silent) {
    const Time asked = time.now();
    const std::size_t before = responses();
    while (responses() == before && time.now() < asked + 10 * kSecond) {
      end_new(Outcome::served, silent);
      if (responses() == before) time.advance(kMs);
    }
    return time.now() - asked;
  }
  // Returns the number of attempts for `requests` requests if every attempt is reset immediately.
  std::size_t attempts_where_all_is_reset(std::uint64_t requests) {
    const std::size_t before = fleet.sent.size(), answered = responses();
    for (std::uint64_t key = 0; key < requests; ++key) {
      ask(kRead, 0, 8 * kSecond, key);
      while (next_attempt_ < fleet.sent.size()) end_new(Outcome::reset);
    }
    EXPECT_EQ(responses() - answered, requests);
    return fleet.sent.size() - before;
  }
  std::size_t next_attempt_ = 0;
};

TEST_F(AfterQuietTime, OneDayIdle_FirstReadsAreServedInTimeDespiteASilentServer) {
  serve_some();
  for (const char* silent : {"c-1", "c-2"}) {
    idle_for(kDay);
    for (std::uint64_t key = 0; key < 6; ++key) {
      ask(kRead, 0, 8 * kSecond, key);
      EXPECT_LE(answered_after(silent), kObjective) << silent << ", key " << key;
      EXPECT_EQ(sink->responses.back().second.kind, engine::Response::Kind::served);
    }
    time.advance(10 * kSecond);
    next_attempt_ = fleet.sent.size();
  }
  EXPECT_EQ(engine->counts().deadline_guards, 0U);
}

TEST_F(AfterQuietTime, OneDayIdle_ReplacedListAppliesToTheFirstRequest) {
  serve_some();
  idle_for(kDay);
  engine->on_endpoint_list(list(2, true, {{"c-3", Phase::ready}, {"c-4", Phase::ready}}, true));
  EXPECT_TRUE(fleet.gone.contains("c-1") && fleet.gone.contains("c-2"));
  const std::size_t first = fleet.sent.size();
  serve_some();
  std::set<std::string> used;
  for (std::size_t i = first; i < fleet.sent.size(); ++i) used.insert(fleet.sent[i].server);
  EXPECT_EQ(used, (std::set<std::string>{"c-3", "c-4"}));
}

// The budgets of retries and hedged requests neither shrink nor grow while no requests arrive.
TEST_F(AfterQuietTime, OneDayIdle_FaultsCostNoMoreAttemptsThanOnANewRouter) {
  const std::size_t fresh = attempts_where_all_is_reset(100);
  build();
  idle_for(kDay);
  EXPECT_LE(attempts_where_all_is_reset(100), fresh);
  EXPECT_LT(fresh, 200U);  // if all attempts fail, not every request is retried
}

// All servers are slow for a while and recover during an hour without requests.
TEST_F(AfterQuietTime, OneHourAfterFaults_NothingIsRejected) {
  constexpr Time kSlow = 3 * kSecond;
  serve_some();
  for (std::uint64_t tenth = 0; tenth < 150; ++tenth) {
    if (tenth < 100) ask(kRead, 0, 8 * kSecond, tenth);
    time.advance(100 * kMs);
    for (; next_attempt_ < fleet.sent.size() && fleet.sent[next_attempt_].at + kSlow <= time.now();
         ++next_attempt_)
      end(next_attempt_, Outcome::served);
  }
  time.advance(8 * kSecond);
  next_attempt_ = fleet.sent.size();
  idle_for(kHour);
  const std::size_t before = responses();
  for (std::uint64_t key = 0; key < 12; ++key) ask(kRead, 0, 8 * kSecond, key);
  for (int i = 0; i < 400 && responses() < before + 12; ++i) {
    time.advance(5 * kMs);
    end_new(Outcome::served);
  }
  ASSERT_EQ(responses(), before + 12);
  for (std::size_t i = before; i < responses(); ++i)
    EXPECT_EQ(response(i).kind, engine::Response::Kind::served);
}

// ---- Attempts that fail immediately

struct Failing {
  Class request_class;
  Outcome outcome;
};

class FailingAtOnce : public EngineTest, public ::testing::WithParamInterface<int> {
 protected:
  static Failing param() {
    constexpr std::array outcomes = {Outcome::connect_failed, Outcome::reset, Outcome::overloaded,
                                     Outcome::error, Outcome::malformed};
    const auto number = static_cast<std::size_t>(GetParam());
    return {static_cast<Class>(number / outcomes.size()), outcomes.at(number % outcomes.size())};
  }
};
INSTANTIATE_TEST_SUITE_P(ClassesAndOutcomes, FailingAtOnce, ::testing::Range(0, 15));

TEST_P(FailingAtOnce, ImmediateFailures_BoundAttemptsAndGiveOneResponse) {
  constexpr std::size_t kMaxAttempts = 3;  // the fixture's
  const Failing failing = param();
  const Time asked = time.now();
  ask(failing.request_class);
  std::size_t ended = 0;
  for (int i = 0; i < 9'000; ++i) {
    while (ended < fleet.sent.size()) {
      end(ended++, failing.outcome);
      ASSERT_LE(fleet.sent.size(), kMaxAttempts);  // also within one turn of the event loop
    }
    ASSERT_TRUE(responses() == 1 || time.now() < asked + 8 * kSecond);
    time.advance(kMs);
  }
  EXPECT_EQ(responses(), 1U);
  EXPECT_NE(response().kind, engine::Response::Kind::served);
  EXPECT_GE(fleet.sent.size(), 1U);
  EXPECT_EQ(engine->counts().deadline_guards, 0U);
}

// The first attempt hangs; the hedged request fails at once, every time.
TEST_F(EngineTest, ImmediatelyFailingHedges_AreBounded) {
  ask(kRead);
  std::size_t ended = 1;
  for (int i = 0; i < 7'900; ++i) {
    while (ended < fleet.sent.size()) end(ended++, Outcome::connect_failed);
    time.advance(kMs);
  }
  EXPECT_LE(fleet.sent.size(), 3U);
  end(0, Outcome::served);
  EXPECT_EQ(responses(), 1U);
}

// ---- Delay between reading the clock and writing

// The router may be delayed between reading the clock and writing the repeat. The repeat must still be within
// the idempotency window.
TEST_F(EngineTest, Repeat_LeavesAMarginForADelayedLoop) {
  constexpr Time kDelay = 150 * kMs;
  for (const Time window : {1'500 * kMs, 5 * kSecond}) {
    build([&](Config& config) { config.classes[kSave].idempotency_window = window; });
    fleet.sent.clear();
    const Time first = time.now();
    ask(kSave);
    end(0, Outcome::reset);
    ASSERT_EQ(fleet.sent.size(), 2U);
    EXPECT_LE(fleet.sent[1].begin_by - first, window - kDelay);
    EXPECT_GT(fleet.sent[1].begin_by - first, window / 2);
  }
}

// ---- Servers with scripted faults

class Scripted : public EngineTest {
 protected:
  Scripted() { engine.reset(); }
  ~Scripted() override { engine.reset(); }
  void build_scripted(std::vector<ServerFault> faults, const engine::EndpointList& known) {
    scripted_ = std::make_unique<ScriptedUpstreams>(time, 11, std::move(faults));
    build_on(*scripted_, known);
    scripted_->report_to(*engine);
  }
  std::unique_ptr<ScriptedUpstreams> scripted_;
};

// A scripted cache server lacks each key at the first request for it.
TEST_F(Scripted, CalmTraffic_ReadsEachMissedKeyOnceFromTheOrigin) {
  constexpr std::uint64_t kKeys = 200;
  build_scripted({}, list(1, true, {{"c-1", Phase::ready}, {"c-2", Phase::ready}}, true));
  for (std::uint64_t key = 0; key < kKeys; ++key) {
    ask(kRead, key, 8 * kSecond, key * 0x9e3779b97f4a7c15U);
    time.advance(50 * kMs);
  }
  time.advance(kSecond);
  EXPECT_EQ(responses(), kKeys);
  EXPECT_EQ(engine->counts().served, kKeys);
  EXPECT_EQ(scripted_->requests["origin"], kKeys);
}

/// Requests, rejections and attempts in one tenth of a second.
struct Slot {
  std::uint64_t requests = 0, rejected = 0, attempts = 0;
};

// Counts the windows of 4 s with at least 15 requests, all of which were rejected without an attempt.
std::size_t windows_that_reject_all(const std::vector<Slot>& slots) {
  constexpr std::size_t kWindow = 40;  // 4 s
  constexpr std::uint64_t kMinRequests = 15;
  std::size_t out = 0;
  for (std::size_t first = 0; first + kWindow <= slots.size(); ++first) {
    Slot sum;
    for (std::size_t i = first; i < first + kWindow; ++i) {
      sum.requests += slots[i].requests;
      sum.rejected += slots[i].rejected;
      sum.attempts += slots[i].attempts;
    }
    if (sum.requests >= kMinRequests && sum.rejected >= sum.requests && sum.attempts == 0) ++out;
  }
  return out;
}

// Ten of twenty servers are replaced, one each second: a server drains for a second and departs, and a newly
// started one is listed in its place. One of the other servers hangs.
TEST_F(Scripted, HalfOfTheServersReplaced_NeverRejectsEverythingForFourSeconds) {
  constexpr int kServers = 20, kReplaced = 10;
  std::vector<std::pair<std::string, Phase>> caches;
  for (int i = 0; i < kServers; ++i) caches.emplace_back("c-" + std::to_string(i), Phase::ready);
  build_scripted({{ServerFault::Kind::stall, 0, 20 * kSecond, "c-19"}}, list(1, true, caches, true));
  std::vector<Slot> slots;
  std::uint64_t revision = 1;
  for (int tenth = 0; tenth < 200; ++tenth) {
    const int leaves = tenth / 10 - 3;
    if (tenth % 10 == 0 && leaves >= 0 && leaves <= kReplaced) {
      std::vector<std::pair<std::string, Phase>> changes;
      if (leaves < kReplaced) changes.emplace_back("c-" + std::to_string(leaves), Phase::draining);
      if (leaves > 0) {
        changes.emplace_back("c-" + std::to_string(leaves - 1), Phase::gone);
        changes.emplace_back("new-" + std::to_string(leaves - 1), Phase::ready);
      }
      engine::EndpointList changes_list = list(++revision, false, changes);
      for (engine::ListedEndpoint& one : changes_list.members)
        if (one.id.starts_with("new-")) one.member.started = time.now();
      engine->on_endpoint_list(changes_list);
    }
    const engine::Counters before = engine->counts();
    for (std::uint64_t i = 0; i < 2; ++i) {
      ask(kRead, 0, 8 * kSecond, (static_cast<std::uint64_t>(tenth) * 2 + i) % 150 * 0x9e3779b97f4a7c15U);
      time.advance(50 * kMs);
    }
    const engine::Counters& after = engine->counts();
    slots.push_back(
        {after.requests - before.requests, after.refused - before.refused, after.attempts - before.attempts});
  }
  EXPECT_EQ(windows_that_reject_all(slots), 0U);
  const engine::Counters& all = engine->counts();
  EXPECT_LT(all.refused * 20, all.requests);  // and fewer than 5% of all requests are rejected
}

}  // namespace
}  // namespace streampick::test
