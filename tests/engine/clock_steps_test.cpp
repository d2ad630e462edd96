// The wall clock steps forward or back by seconds or by an hour, before or during the run. Deadlines,
// idempotency windows, ejections, shutdown phases and slow starts are measured on the monotonic clock and
// must not change.
#include <gtest/gtest.h>

#include "engine/engine_fakes.h"

namespace streampick::test {
namespace {

constexpr Time kMs = 1'000, kSecond = 1'000'000, kHour = 3'600 * kSecond;
constexpr Time kSlowStartDuration = 20 * kSecond;
enum Class : std::uint32_t { kRead, kSave };

struct ClockSteps : ::testing::TestWithParam<Time> {
  // Starts an engine and runs it for 10 s.
  void begin(const std::function<void(Config&)>& adjust = {}) {
    engine::EngineSettings settings;
    Config& config = settings.config;
    config.cache_aside = true;
    config.origin_kind = 1;
    config.max_attempts = 3;
    config.can_cancel = true;
    config.answer_slack = 20 * kMs;
    config.slow_start_initial_share = 0.05;
    config.slow_start_duration = kSlowStartDuration;
    config.classes = {{2 * kSecond, 8 * kSecond, 1, Effect::safe, Group::all, 0},
                      {2 * kSecond, 8 * kSecond, 1, Effect::keyed, Group::all, 5 * kSecond}};
    if (adjust) adjust(config);
    settings.seed = 7;
    engine = std::make_unique<engine::Engine>(time, settings, fleet, [](std::string_view) {});
    const engine::EndpointList known = list_of({{"c-1", 0}, {"c-2", 0}, {"c-3", 0}, {"c-4", 0}});
    engine->start(discovery, known);
    engine->on_endpoint_list(known);
    time.advance(10 * kSecond);
  }
  void step() { time.step_wall_clock(GetParam()); }

  static engine::EndpointList list_of(const std::vector<std::pair<std::string, Time>>& caches,
                                      bool complete = true) {
    engine::EndpointList out;
    out.complete = complete;
    for (const auto& [id, started] : caches) out.members.push_back(listed(id, 0, started));
    if (complete) out.members.push_back(listed("origin", 1, 0));
    return out;
  }
  static engine::ListedEndpoint listed(const std::string& id, std::uint32_t kind, Time started) {
    engine::ListedEndpoint out{id, "127.0.0.1:1", {}};
    out.member.identity = std::hash<std::string>{}(id);
    out.member.kind = kind;
    out.member.started = started;
    return out;
  }
  void list_server(const std::string& id, Time started) {
    engine->on_endpoint_list(list_of({{id, started}}, false));
  }

  RequestId send_request(Class request_class, std::uint64_t key, Time remaining = 8 * kSecond) {
    engine::IncomingRequest incoming;
    incoming.message = std::make_shared<engine::Message>();
    incoming.message->operation = request_class == kRead ? engine::Operation::read : engine::Operation::write;
    incoming.request_class = request_class;
    incoming.transaction_id = ++transaction_id;
    incoming.key = key;
    incoming.has_key = true;
    incoming.remaining = remaining;
    return engine->on_request(sink, std::move(incoming));
  }
  void end_attempt(std::size_t sent, Outcome outcome) {
    engine::Answer answer;
    answer.body = "v";
    engine->on_attempt_ended(fleet.sent.at(sent).attempt, outcome, std::move(answer));
  }
  // Returns how many of 400 first attempts within 0.4 s were sent to this server.
  std::size_t attempts_at(const std::string& server) {
    const std::size_t before = fleet.sent.size();
    for (int i = 0; i < 400; ++i) {
      const std::size_t attempt = fleet.sent.size();
      send_request(kRead, ++last_key * 0x9e3779b97f4a7c15U);
      for (std::size_t sent = attempt; sent < fleet.sent.size(); ++sent) end_attempt(sent, Outcome::served);
      time.advance(kMs);
    }
    return static_cast<std::size_t>(
        std::count_if(fleet.sent.begin() + static_cast<std::ptrdiff_t>(before), fleet.sent.end(),
                      [&](const SentAttempt& sent) { return sent.server == server; }));
  }
  // An even share among five servers is 80.
  void expect_reduced_share(const std::string& server) { EXPECT_LT(attempts_at(server), 25U); }
  void expect_full_share(const std::string& server) { EXPECT_GT(attempts_at(server), 50U); }
  // Expects a slow start that begins now and lasts kSlowStartDuration on the monotonic clock.
  void expect_slow_start(const std::string& server) {
    expect_reduced_share(server);
    time.advance(kSlowStartDuration);
    expect_full_share(server);
  }
  std::size_t responses() const { return sink->responses.size(); }

  ManualTime time;
  Fleet fleet{time};
  FakeDiscovery discovery;
  std::shared_ptr<RecordingSink> sink = std::make_shared<RecordingSink>();
  std::uint64_t transaction_id = 0, last_key = 0;
  std::unique_ptr<engine::Engine> engine;
};

TEST_P(ClockSteps, ServerStartedAfterTheStep_HasASlowStart) {
  begin();
  step();
  list_server("new", time.wall_time());
  expect_slow_start("new");
}

TEST_P(ClockSteps, ServerStartedBeforeTheStep_HasASlowStart) {
  begin();
  const Time started = time.wall_time();
  step();
  list_server("new", started);
  expect_slow_start("new");
}

TEST_P(ClockSteps, StepDuringASlowStart_DoesNotChangeItsEnd) {
  begin();
  const Time started = time.wall_time();
  list_server("new", started);
  expect_reduced_share("new");
  step();
  list_server("new", started);  // listed again, as in a complete list
  expect_slow_start("new");
}

TEST_P(ClockSteps, StepBeforeTheProcess_DoesNotSkipSlowStartOfNewServers) {
  const Time before_step = time.wall_time();
  step();
  begin();
  time.advance(30 * kSecond);
  list_server("other", time.wall_time());
  list_server("new", GetParam() < 0 ? before_step + 40 * kSecond : before_step);
  expect_slow_start("new");
}

TEST_P(ClockSteps, ServerEnabledAtTheStep_HasASlowStart) {
  begin();
  list_server("c-5", 0);
  expect_full_share("c-5");
  engine->set_override("c-5", true, 0);
  const Time enabled_at = time.wall_time();
  step();
  engine->set_override("c-5", false, enabled_at);
  expect_slow_start("c-5");
}

TEST_P(ClockSteps, ServerEnabledAfterTheStep_HasASlowStart) {
  begin();
  list_server("c-5", 0);
  engine->set_override("c-5", true, 0);
  step();
  engine->set_override("c-5", false, time.wall_time());
  expect_slow_start("c-5");
}

TEST_P(ClockSteps, RequestDeadline_IsMonotonic) {
  begin();
  send_request(kRead, 1, 2 * kSecond);
  step();
  time.advance(1'900 * kMs);
  EXPECT_EQ(responses(), 0U);
  time.advance(200 * kMs);
  ASSERT_EQ(responses(), 1U);
  EXPECT_NE(sink->responses[0].second.kind, engine::Response::Kind::served);
}

TEST_P(ClockSteps, IdempotencyWindow_IsMonotonic) {
  begin();
  send_request(kSave, 2);
  ASSERT_EQ(fleet.sent.size(), 1U);
  const Time first = time.now();
  step();
  time.advance(4'400 * kMs);
  end_attempt(0, Outcome::reset);
  ASSERT_EQ(fleet.sent.size(), 2U);
  EXPECT_EQ(fleet.sent[1].begin_by, first + 4'500 * kMs);
}

TEST_P(ClockSteps, AfterTheIdempotencyWindow_NothingIsSentAgain) {
  begin();
  send_request(kSave, 2);
  step();
  time.advance(4'600 * kMs);
  end_attempt(0, Outcome::reset);
  time.advance(kSecond);
  EXPECT_EQ(fleet.sent.size(), 1U);
}

TEST_P(ClockSteps, EjectionTime_IsMonotonic) {
  begin();
  // Three consecutive failures eject a server for 0.75 to 1.25 s.
  for (std::uint64_t key = 1; engine->endpoint_counts().down == 0 && key < 200; ++key) {
    const std::size_t first = fleet.sent.size();
    send_request(kRead, key * 0x9e3779b97f4a7c15U);
    for (std::size_t sent = first; sent < fleet.sent.size(); ++sent)
      end_attempt(sent, fleet.sent[sent].server == "c-1" ? Outcome::connect_failed : Outcome::served);
  }
  ASSERT_EQ(engine->endpoint_counts().down, 1U);
  step();
  time.advance(700 * kMs);
  EXPECT_LT(attempts_at("c-1"), 60U);  // ejected for most of this time
  time.advance(2 * kSecond);
  EXPECT_GT(attempts_at("c-1"), 60U);
  EXPECT_EQ(engine->endpoint_counts().down, 0U);
}

TEST_P(ClockSteps, ShutdownPhases_AreMonotonic) {
  begin();
  FakeDownstream downstream;
  downstream.waiting = 1;
  engine->add(downstream);
  send_request(kRead, 3, 8 * kSecond);
  bool done = false;
  engine->shut_down([&] { done = true; });
  step();
  time.advance(400 * kMs);
  EXPECT_FALSE(downstream.stopped);
  time.advance(200 * kMs);
  EXPECT_TRUE(downstream.stopped);
  time.advance(2'000 * kMs);
  EXPECT_EQ(responses(), 0U);
  EXPECT_FALSE(done);
  time.advance(1'000 * kMs);
  EXPECT_EQ(responses(), 1U);
  EXPECT_TRUE(done);
}

INSTANTIATE_TEST_SUITE_P(By, ClockSteps, ::testing::Values(30 * kSecond, -30 * kSecond, kHour, -kHour),
                         [](const auto& info) {
                           const Time seconds = info.param / kSecond;
                           return (seconds < 0 ? "Backward" : "Forward") + std::to_string(std::abs(seconds)) +
                                  "s";
                         });

}  // namespace
}  // namespace streampick::test
