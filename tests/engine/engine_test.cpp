// The engine on manually advanced time: exactly one response in any order of events, the deadline guard,
// draining, overrides and shutdown.
#include "engine/engine_fixture.h"

namespace streampick::test {
namespace {

TEST_F(EngineTest, ServedRead_HasOneResponseWithItsTag) {
  ASSERT_NE(ask(kRead, 41), 0U);
  ASSERT_EQ(fleet.sent.size(), 1U);
  end(0, Outcome::served, "tile");
  ASSERT_EQ(responses(), 1U);
  EXPECT_EQ(sink->responses[0].first, 41U);
  EXPECT_EQ(response().kind, engine::Response::Kind::served);
  EXPECT_EQ(response().answer.body, "tile");
}

// ---- Clients whose disconnect is visible before it is reported

TEST_F(EngineTest, DisconnectSeenBeforeAHedge_SendsNoHedgeAndCancelsTheRequest) {
  ask(kRead);
  sink->gone = true;
  time.advance(1'500 * kMs);  // past the hedge's delay
  EXPECT_EQ(fleet.sent.size(), 1U);
  EXPECT_EQ(engine->counts().cancelled_by_client, 1U);
  EXPECT_EQ(responses(), 0U);
}

TEST_F(EngineTest, DisconnectSeenBeforeARetry_SendsNoRetry) {
  ask(kRead);
  sink->gone = true;
  end(0, Outcome::overloaded);
  time.advance(10 * kSecond);
  EXPECT_EQ(fleet.sent.size(), 1U);
  EXPECT_EQ(engine->counts().cancelled_by_client, 1U);
  EXPECT_EQ(responses(), 0U);
}

// An attempt that waited for its connection asks may_write() right before its first byte.
TEST_F(EngineTest, DisconnectedOrFinishedRequest_MayNotWrite) {
  const RequestId request = ask(kRead);
  const engine::AttemptId attempt = fleet.sent.at(0).attempt;
  ASSERT_TRUE(engine->may_write(attempt));
  EXPECT_LE(*engine->may_write(attempt), time.now() + 8 * kSecond);
  EXPECT_FALSE(engine->may_write({request, 7}));
  sink->gone = true;
  EXPECT_FALSE(engine->may_write(attempt));
  EXPECT_EQ(engine->counts().cancelled_by_client, 0U);  // not from within may_write()
  end(0, Outcome::not_sent);
  EXPECT_EQ(engine->counts().cancelled_by_client, 1U);
  EXPECT_FALSE(engine->may_write(attempt));
  EXPECT_EQ(responses(), 0U);
}

// The client's timeout counts from the last byte of the upload.
TEST_F(EngineTest, UploadInProgress_TellsTheServerTheTimeAfterTheLastByte) {
  const auto [request, body] = start_upload(kPay, 2 * kSecond);
  const engine::AttemptId attempt = fleet.sent.at(0).attempt;
  EXPECT_LE(*engine->may_write(attempt), time.now() + 2 * kSecond);
  sink->last_sending_at = [&] { return time.now(); };
  time.advance(10 * kSecond);
  EXPECT_LE(*engine->may_write(attempt), time.now() + 2 * kSecond);
  const Time last_known = time.now();
  sink->last_sending_at = [=] { return last_known; };
  time.advance(kSecond);
  EXPECT_LE(*engine->may_write(attempt), last_known + 2 * kSecond);
}

TEST_F(EngineTest, SecondOrLateAnswer_IsNotForwarded) {
  ask(kRead);
  time.advance(1'500 * kMs);  // a hedged request is sent
  ASSERT_GE(fleet.sent.size(), 2U);
  end(1, Outcome::served, "hedge");
  end(1, Outcome::served, "again");
  end(0, Outcome::served, "late");
  EXPECT_EQ(responses(), 1U);
  EXPECT_EQ(response().answer.body, "hedge");
  EXPECT_EQ(engine->counts().served, 1U);
  EXPECT_EQ(engine->counts().outcomes[static_cast<std::size_t>(Outcome::served)], 1U);
}

TEST_F(EngineTest, CancelCrossingAnAnswer_EndsTheAttemptOnce) {
  ask(kRead);
  time.advance(1'500 * kMs);
  ASSERT_GE(fleet.sent.size(), 2U);
  end(0, Outcome::served, "first");  // the Router cancels the hedged request within this call
  EXPECT_TRUE(fleet.sent[1].cancelled);
  end(1, Outcome::served, "crossed");
  EXPECT_EQ(responses(), 1U);
  const auto& outcomes = engine->counts().outcomes;
  EXPECT_EQ(outcomes[static_cast<std::size_t>(Outcome::cancelled)], engine->counts().cancelled_attempts);
  EXPECT_EQ(outcomes[static_cast<std::size_t>(Outcome::served)], 1U);
}

TEST_F(EngineTest, DisconnectedClient_GetsNoResponseAndNoFurtherAttempt) {
  const RequestId id = ask(kRead);
  engine->on_client_cancelled(id);
  engine->on_client_cancelled(id);
  end(0, Outcome::served);
  time.advance(9 * kSecond);
  EXPECT_EQ(responses(), 0U);
  EXPECT_EQ(fleet.sent.size(), 1U);
  EXPECT_EQ(engine->counts().cancelled_by_client, 1U);
}

// An origin read continues after its client has disconnected, so that caches can be filled. Its answer is not
// a response to any client.
TEST_F(EngineTest, AnswerAfterTheEnd_IsNotCounted) {
  const RequestId id = ask(kRead);
  end(0, Outcome::miss);
  ASSERT_EQ(fleet.sent.size(), 2U);
  ASSERT_EQ(fleet.sent[1].server, "origin");
  engine->on_client_cancelled(id);
  ASSERT_FALSE(fleet.sent[1].cancelled);
  end(1, Outcome::served, "late");
  EXPECT_EQ(responses(), 0U);
  EXPECT_EQ(engine->counts().served, 0U);
  EXPECT_EQ(engine->counts().outcomes[static_cast<std::size_t>(Outcome::served)], 1U);
}

TEST_F(EngineTest, UnsafeWriteThatMayHaveRun_FailsOnceAndReportsIt) {
  ask(kPay);
  ASSERT_EQ(fleet.sent.size(), 1U);
  EXPECT_EQ(fleet.sent[0].server, "origin");
  end(0, Outcome::reset);
  ASSERT_EQ(responses(), 1U);
  EXPECT_EQ(response().kind, engine::Response::Kind::failed);
  EXPECT_TRUE(response().may_have_run);
  time.advance(9 * kSecond);
  EXPECT_EQ(fleet.sent.size(), 1U);
}

TEST_F(EngineTest, UnsafeWriteThatNeverRan_IsRetriedOrRejected) {
  ask(kPay);
  ASSERT_EQ(fleet.sent.size(), 1U);
  std::size_t ended = 0;
  for (int i = 0; i < 9'000; ++i) {
    while (ended < fleet.sent.size()) end(ended++, Outcome::connect_failed);
    time.advance(kMs);
  }
  ASSERT_EQ(responses(), 1U);
  EXPECT_EQ(response().kind, engine::Response::Kind::rejected);
  EXPECT_FALSE(response().may_have_run);
}

TEST_F(EngineTest, SilentServers_RequestFailsBeforeTheDeadline) {
  const Time asked = time.now();
  ask(kRead, 0, 600 * kMs);
  while (responses() == 0 && time.now() < asked + 2 * kSecond) time.advance(kMs);
  ASSERT_EQ(responses(), 1U);
  EXPECT_LE(time.now(), asked + 600 * kMs);
  EXPECT_EQ(engine->counts().deadline_guards, 0U);
}

TEST_F(EngineTest, AfterASuspension_NoBurstOfHedgesIsSent) {
  ask(kRead, 0, 600 * kMs);
  time.stall(5 * kSecond);
  time.advance(10 * kMs);
  ASSERT_EQ(responses(), 1U);
  EXPECT_EQ(engine->counts().deadline_guards, 0U);
  EXPECT_EQ(fleet.sent.size(), 1U);
}

TEST_F(EngineTest, OpenTransactionId_IsNotAcceptedTwice) {
  ASSERT_NE(ask(kRead), 0U);
  --transaction_id;
  EXPECT_EQ(ask(kRead), 0U);
  end(0, Outcome::served);
  --transaction_id;
  EXPECT_EQ(ask(kRead), 0U);  // the id stays in use for a short time after the response
  time.advance(3 * kSecond);
  --transaction_id;
  EXPECT_NE(ask(kRead), 0U);
}

// Guards against a write that runs twice because its id comes again after its client has left.
TEST_F(EngineTest, TransactionIdOfAWriteThatMayHaveRun_IsNotAcceptedAgain) {
  const RequestId left = ask(kPay);
  ASSERT_NE(left, 0U);
  engine->on_client_cancelled(left);
  end(0, Outcome::served);
  time.advance(20 * kSecond);
  --transaction_id;
  EXPECT_EQ(ask(kPay), 0U);
  time.advance(60 * kSecond);
  --transaction_id;
  EXPECT_NE(ask(kPay), 0U);  // ids are not kept for ever
}

// An id whose attempt certainly did not run is freed as soon as that of a read.
TEST_F(EngineTest, TransactionIdOfAWriteThatDidNotRun_IsAcceptedAgain) {
  const RequestId left = ask(kPay);
  ASSERT_NE(left, 0U);
  engine->on_client_cancelled(left);
  end(0, Outcome::connect_failed);
  time.advance(3 * kSecond);
  --transaction_id;
  EXPECT_NE(ask(kPay), 0U);
}

TEST_F(EngineTest, DrainingServer_GetsNoNewRequestsAndIsRemovedAfterItsLastAttempt) {
  ask(kRead, 1);
  const std::string server = fleet.sent[0].server;
  engine->on_endpoint_list(list(2, false, {{server, Phase::draining}}));
  for (int i = 0; i < 50; ++i) {
    ask(kRead, 0, 8 * kSecond, static_cast<std::uint64_t>(i) * 0x9e3779b97f4a7c15U);
    time.advance(50 * kMs);
  }
  std::size_t late = 0;
  for (const SentAttempt& sent : fleet.sent)
    late += sent.server == server && sent.at > fleet.sent[0].at ? 1U : 0U;
  EXPECT_EQ(late, 0U);
  engine->on_endpoint_list(list(3, false, {{server, Phase::gone}}));
  EXPECT_FALSE(fleet.gone.contains(server));
  end(0, Outcome::served);
  ASSERT_GE(responses(), 1U);
  EXPECT_EQ(sink->responses.back().first, 1U);
  EXPECT_EQ(sink->responses.back().second.kind, engine::Response::Kind::served);
  EXPECT_TRUE(fleet.gone.contains(server));
}

TEST_F(EngineTest, Shutdown_FailsOpenRequestsAndEndsOnceDownstreamsAreDone) {
  ask(kRead, 5, 8 * kSecond);
  downstream.waiting = 1;
  bool done = false;
  engine->shut_down([&] { done = true; });
  EXPECT_EQ(downstream.drains, 1);
  time.advance(600 * kMs);
  EXPECT_TRUE(downstream.stopped);
  EXPECT_FALSE(done);
  time.advance(2'700 * kMs);
  ASSERT_EQ(responses(), 1U);
  EXPECT_FALSE(done);  // the downstream has not written the response yet
  downstream.waiting = 0;
  time.advance(300 * kMs);
  EXPECT_TRUE(done);
}

TEST_F(EngineTest, CacheMiss_IsFilledUnlessAWriteCrossedTheRead) {
  fleet.wants_cache_fills = true;
  engine.reset();
  build();
  const auto read = [&] {
    const std::size_t from = fleet.sent.size();
    ask(kRead);
    end(from, Outcome::miss);
    EXPECT_EQ(fleet.sent.back().server, "origin");
    return std::pair{from, fleet.sent.size() - 1};
  };
  auto [cache, origin] = read();
  end(origin, Outcome::served, "value");
  ASSERT_EQ(fleet.cache_fills.size(), 1U);
  EXPECT_EQ(fleet.cache_fills[0], (std::pair<std::string, std::string>{fleet.sent[cache].server, "value"}));
  time.advance(kSecond);

  std::tie(cache, origin) = read();
  ask(kSave);
  const std::size_t write = fleet.sent.size() - 1;
  end(origin, Outcome::served, "older");  // the write is in progress
  EXPECT_EQ(fleet.cache_fills.size(), 1U);
  time.advance(kSecond);
  std::tie(cache, origin) = read();
  end(write, Outcome::served, "");
  end(origin, Outcome::served, "older still");  // the write ended after the read request arrived
  EXPECT_EQ(fleet.cache_fills.size(), 1U);
  time.advance(kSecond);
  std::tie(cache, origin) = read();
  end(origin, Outcome::served, "newer");
  EXPECT_EQ(fleet.cache_fills.size(), 2U);
}

// ---- Stuck attempts and suspensions of the process

TEST_F(EngineTest, RetriedOriginRead_ClosesItsConnectionAndAHedgeLoserDoesNot) {
  ask(kRead, 1, 8 * kSecond, 1);
  end(0, Outcome::miss);
  ASSERT_EQ(fleet.sent.at(1).server, "origin");
  for (std::uint64_t key = 2; key < 42; ++key) {
    ask(kRead, key, 8 * kSecond, key);
    end(fleet.sent.size() - 1, Outcome::miss);
    time.advance(5 * kMs);
    end(fleet.sent.size() - 1, Outcome::served);
  }
  time.advance(1'000 * kMs);
  EXPECT_TRUE(fleet.sent.at(1).closed);
  ASSERT_EQ(fleet.sent.back().server, "origin");
  EXPECT_EQ(fleet.sent.back().attempt.request, fleet.sent.at(1).attempt.request);
  end(fleet.sent.size() - 1, Outcome::served);
  // A hedged request that lost: its connection stays open for the answer.
  const std::size_t first = fleet.sent.size();
  ask(kRead, 100, 8 * kSecond, 100);
  time.advance(1'000 * kMs);
  ASSERT_GT(fleet.sent.size(), first + 1);
  end(first, Outcome::served);
  EXPECT_TRUE(fleet.sent.at(first + 1).cancelled);
  EXPECT_FALSE(fleet.sent.at(first + 1).closed);
}

// When a request is finished, an origin read that was sent continues, so that its answer can be stored. One
// that still waits for its connection is cancelled, whether the request was answered by another server or its
// client has disconnected.
TEST_F(EngineTest, FinishedRequest_CancelsAttemptsThatWaitForAConnection) {
  const auto not_sent = [this] {
    return engine->counts().outcomes[static_cast<std::size_t>(Outcome::not_sent)];
  };
  for (const bool answered : {true, false}) {
    for (const bool connecting : {true, false}) {
      fleet.connecting.clear();
      if (connecting) fleet.connecting.insert("origin");
      const std::size_t first = fleet.sent.size();
      const std::uint64_t before = not_sent();
      const RequestId request = ask(kRead, 1, 8 * kSecond, 300 + first);
      time.advance(900 * kMs);  // within this time the hedge (the second attempt) is sent
      ASSERT_EQ(fleet.sent.size(), first + 2);
      end(first, Outcome::miss);
      ASSERT_EQ(fleet.sent.size(), first + 3);
      ASSERT_EQ(fleet.sent.back().server, "origin");
      answered ? end(first + 1, Outcome::served) : engine->on_client_cancelled(request);
      EXPECT_EQ(fleet.sent[first + 2].cancelled_unsent, connecting) << answered;
      EXPECT_FALSE(fleet.sent[first + 2].cancelled);
      EXPECT_EQ(not_sent() - before, connecting ? 1U : 0U);
      if (!connecting) end(first + 2, Outcome::served);
    }
  }
}

TEST_F(EngineTest, AfterASuspension_OverdueRequestsFailAndOthersHaveLessTime) {
  ask(kRead, 1, 2 * kSecond, 1);
  ask(kRead, 2, 8 * kSecond, 2);
  const std::size_t before = fleet.sent.size();
  engine->process_suspended(3 * kSecond);  // `time` does not count the suspension
  ASSERT_EQ(responses(), 1U);
  EXPECT_EQ(sink->responses[0].first, 1U);
  EXPECT_EQ(response().kind, engine::Response::Kind::failed);
  EXPECT_TRUE(response().late);
  EXPECT_EQ(fleet.sent.size(), before);  // no hedged request because of the suspension
  time.advance(5 * kSecond);             // 3 of its 8 s passed in the suspension
  EXPECT_EQ(responses(), 2U);
  EXPECT_TRUE(log.empty());  // no deadline guard was logged
}

// A list may be outdated when it is read, after a suspension or an interrupted watch: the grace period that
// the discovery protocol allows is not used.
TEST_F(EngineTest, DepartureInAList_TakesEffectAtOnceEvenAfterASuspension) {
  engine->process_suspended(3 * kSecond);
  engine->on_endpoint_list(list(2, true, {{"c-1", Phase::draining}, {"c-2", Phase::ready}}, true));
  EXPECT_EQ(fleet.sending_stops_at("c-1"), time.now());
  engine->on_endpoint_list(list(3, false, {{"c-2", Phase::draining}}));
  EXPECT_EQ(fleet.sending_stops_at("c-2"), time.now());
}

// ---- Idempotency windows

TEST_F(EngineTest, Repeat_BeginsWithinTheWindowOfTheFirstAttemptThatMayHaveRun) {
  engine->on_endpoint_list(list(2, true, {{"c-1", Phase::ready}}, true));
  ask(kSave);
  ASSERT_EQ(fleet.sent.size(), 1U);
  EXPECT_EQ(fleet.sent[0].begin_by, kNever);
  const Time first = time.now();
  time.advance(300 * kMs);
  end(0, Outcome::reset);
  ASSERT_EQ(fleet.sent.size(), 2U);
  EXPECT_EQ(fleet.sent[1].begin_by, first + 4'500 * kMs);
  // An attempt that never ran opens no window.
  ask(kSave, 1);
  end(2, Outcome::connect_failed);
  time.advance(300 * kMs);
  ASSERT_EQ(fleet.sent.size(), 4U);
  EXPECT_EQ(fleet.sent[3].begin_by, kNever);
  // A read may be repeated at any time.
  ask(kRead, 2);
  end(4, Outcome::reset);
  ASSERT_EQ(fleet.sent.size(), 6U);
  EXPECT_EQ(fleet.sent[5].begin_by, kNever);
}

// The repeat fails to connect just before the window's end; after the retry delay the next one would be too
// late.
TEST_F(EngineTest, QueueingBeyondTheWindow_EndsTheRequestWithoutARepeat) {
  build([](Config& config) { config.classes[kSave].idempotency_window = 500 * kMs; });
  engine->on_endpoint_list(list(2, true, {{"c-1", Phase::ready}}, true));
  ask(kSave);
  time.advance(100 * kMs);
  end(0, Outcome::reset);
  ASSERT_EQ(fleet.sent.size(), 2U);
  time.advance(340 * kMs);
  end(1, Outcome::connect_failed);
  time.advance(1'000 * kMs);
  EXPECT_EQ(fleet.sent.size(), 2U);
  ASSERT_EQ(responses(), 1U);
  EXPECT_EQ(response().kind, engine::Response::Kind::failed);
  EXPECT_TRUE(response().may_have_run);
}

// New settings do not apply to an open request.
TEST_F(EngineTest, ShorterWindowInNewSettings_HoldsForNewRequestsOnly) {
  engine->on_endpoint_list(list(2, true, {{"c-1", Phase::ready}}, true));
  ask(kSave);
  const Time first = time.now();
  Config next;
  next.cache_aside = true;
  next.origin_kind = 1;
  next.max_attempts = 3;
  next.classes = {{2 * kSecond, 8 * kSecond, 1, Effect::safe, Group::all, 0},
                  {2 * kSecond, 8 * kSecond, 1, Effect::keyed, Group::all, 200 * kMs},
                  {2 * kSecond, 8 * kSecond, 1, Effect::unsafe, Group::all, 0}};
  engine->reconfigure(next, {"read", "save", "pay"});
  time.advance(300 * kMs);
  end(0, Outcome::reset);
  ASSERT_EQ(fleet.sent.size(), 2U);
  EXPECT_EQ(fleet.sent[1].begin_by, first + 4'500 * kMs);
}

// ---- Shutdown

TEST_F(EngineTest, ShutdownWithShortDeadlines_EndsBeforeTheKill) {
  build([](Config& config) {
    for (RequestClass& rules : config.classes) rules.deadline = kSecond;
  });
  ask(kRead, 0, kSecond);
  bool done = false;
  engine->shut_down([&] { done = true; });
  downstream.waiting = 1;
  time.advance(400 * kMs);
  ask(kRead, 1, kSecond);
  time.advance(1'000 * kMs);
  EXPECT_EQ(responses(), 2U);
  time.advance(200 * kMs);  // 1.6 s after the signal: the platform kills the process after 1.7 s
  EXPECT_TRUE(done);
}

// ---- Operators

TEST_F(EngineTest, DisabledServer_GetsNoRequestsWhateverTheListContains) {
  time.advance(kSecond);
  engine->set_override("c-1", true, 0);
  EXPECT_EQ(fleet.sending_stops_at("c-1"), time.now());
  EXPECT_EQ(fleet.sending_stops_at("c-2"), kNever);
  const Time disabled_at = time.now();
  time.advance(kSecond);
  engine->on_endpoint_list(list(2, true, {{"c-1", Phase::ready}, {"c-2", Phase::ready}}, true));
  EXPECT_EQ(fleet.sending_stops_at("c-1"), disabled_at);
  // The server leaves the list and returns with a new Upstream.
  engine->on_endpoint_list(list(3, true, {{"c-2", Phase::ready}}, true));
  EXPECT_TRUE(fleet.gone.contains("c-1"));
  EXPECT_FALSE(engine->lists_cache("c-1"));
  time.advance(kSecond);
  engine->on_endpoint_list(list(4, true, {{"c-1", Phase::ready}, {"c-2", Phase::ready}}, true));
  EXPECT_EQ(fleet.sending_stops_at("c-1"), time.now());
  EXPECT_EQ(engine->endpoint_counts().listed, 2U);
  EXPECT_EQ(engine->endpoint_counts().down, 1U);
  for (std::uint64_t key = 0; key < 50; ++key) ask(kRead, 0, 8 * kSecond, key);
  time.advance(1'500 * kMs);  // hedged requests too
  EXPECT_FALSE(fleet.sent.empty());
  for (const SentAttempt& sent : fleet.sent) EXPECT_NE(sent.server, "c-1");
  engine->set_override("c-1", false, time.now());
  EXPECT_EQ(fleet.sending_stops_at("c-1"), kNever);
}

// Guards against an override that is set before its server is listed and does not reach the decision module.
TEST_F(EngineTest, ServerListedAfterItWasDisabled_GetsNoRequests) {
  engine->set_override("c-3", true, 0);
  engine->on_endpoint_list(list(2, false, {{"c-3", Phase::ready}}));
  for (std::uint64_t key = 0; key < 50; ++key) ask(kRead, 0, 8 * kSecond, key);
  EXPECT_FALSE(fleet.sent.empty());
  for (const SentAttempt& sent : fleet.sent) EXPECT_NE(sent.server, "c-3");
}

// Guards against an override that stays with a server's number when another server gets the number.
TEST_F(EngineTest, ServerWithTheNumberOfADisabledOne_GetsRequests) {
  engine->set_override("c-1", true, 0);
  engine->on_endpoint_list(list(2, true, {{"c-2", Phase::ready}}, true));
  ASSERT_TRUE(fleet.gone.contains("c-1"));
  engine->on_endpoint_list(list(3, true, {{"c-2", Phase::ready}, {"c-3", Phase::ready}}, true));
  ASSERT_EQ(engine->servers(), 3U);  // c-3 has the number that c-1 had
  for (std::uint64_t key = 0; key < 50; ++key) ask(kRead, 0, 8 * kSecond, key);
  const auto is_c3 = [](const SentAttempt& sent) { return sent.server == "c-3"; };
  EXPECT_TRUE(std::any_of(fleet.sent.begin(), fleet.sent.end(), is_c3));
}

TEST_F(EngineTest, ServerEnabledWhileListedAsDraining_GetsNoRequests) {
  engine->set_override("c-1", true, 0);
  engine->on_endpoint_list(list(2, false, {{"c-1", Phase::draining}}));
  engine->set_override("c-1", false, time.now());
  EXPECT_LE(fleet.sending_stops_at("c-1"), time.now());
  for (std::uint64_t key = 0; key < 50; ++key) ask(kRead, 0, 8 * kSecond, key);
  for (const SentAttempt& sent : fleet.sent) EXPECT_NE(sent.server, "c-1");
}

TEST_F(EngineTest, DisabledServer_GetsNoCacheFill) {
  fleet.wants_cache_fills = true;
  build();
  ask(kRead);
  const std::string first = fleet.sent.at(0).server;
  end(0, Outcome::miss);
  engine->set_override(first, true, 0);
  end(1, Outcome::served, "tile");
  EXPECT_EQ(responses(), 1U);
  for (const auto& [server, value] : fleet.cache_fills) EXPECT_NE(server, first);
}

TEST_F(EngineTest, DownstreamAddedWhileDraining_IsNotifiedOfStartAndEnd) {
  engine->set_draining(true);
  engine->set_draining(true);
  EXPECT_EQ(downstream.drains, 1);
  FakeDownstream late;
  engine->add(late);
  EXPECT_EQ(late.drains, 1);
  engine->set_draining(false);
  EXPECT_EQ(downstream.ends + late.ends, 2);
}

TEST_F(EngineTest, Metrics_CountEachResultOnceAndDisconnectedClientsNowhere) {
  const RequestId disconnected = ask(kRead, 0, 8 * kSecond, 1);
  ask(kRead, 0, 8 * kSecond, 2);
  EXPECT_EQ(engine->metrics().in_flight(), 2U);
  engine->on_client_cancelled(disconnected);
  EXPECT_EQ(engine->metrics().in_flight(), 1U);
  end(1, Outcome::served);
  EXPECT_EQ(engine->metrics().in_flight(), 1U);  // until the response is written
  sink->responses.clear();
  EXPECT_EQ(engine->metrics().in_flight(), 0U);
  engine->on_rejected_unread(kRead);
  const auto& ends = engine->metrics().classes().begin()->second;
  EXPECT_EQ(ends.served, 1U);
  EXPECT_EQ(ends.rejected, 1U);
  EXPECT_EQ(ends.failed, 0U);
}

// The deadline counts from the last byte of the body, not from the first.
TEST_F(EngineTest, StreamedBody_HasItsDeadlineFromTheLastByte) {
  const auto [id, upload] = start_upload(kPay, kSecond);
  sink->last_sending_at = [&] { return time.now(); };
  time.advance(5 * kSecond);
  EXPECT_EQ(responses(), 0U);
  const Time completed = time.now();
  sink->last_sending_at = [=] { return completed; };
  upload->end(engine::BodyStream::State::complete);
  engine->on_body_complete(id);
  time.advance(900 * kMs);
  EXPECT_EQ(responses(), 0U);
  time.advance(200 * kMs);
  ASSERT_EQ(responses(), 1U);
  EXPECT_NE(response().kind, engine::Response::Kind::served);
}

// Guards against a request without a final answer: a client whose body stands in the kernel's buffers has
// sent its last byte, although the downstream has not read it.
TEST_F(EngineTest, BodyNotReadToItsEnd_IsAnsweredInTheTimeSinceTheClientWasKnownToSend) {
  const auto [id, upload] = start_upload(kPay, kSecond);
  const Time paused = time.now() + 400 * kMs;
  sink->last_sending_at = [&, paused] { return std::min(time.now(), paused); };
  upload->write("half");
  std::string read_bytes;
  upload->read(read_bytes);
  time.advance(1'300 * kMs);
  EXPECT_EQ(responses(), 0U);
  time.advance(100 * kMs);
  ASSERT_EQ(responses(), 1U);
  EXPECT_EQ(response().kind, engine::Response::Kind::failed);
  EXPECT_TRUE(fleet.sent.at(0).closed);
  EXPECT_TRUE(log.empty());
}

// Guards against a deadline that starts anew when the rest of a body is read late.
TEST_F(EngineTest, BodyReadLate_HasItsDeadlineFromTheTimeTheClientWasKnownToSend) {
  const auto [id, upload] = start_upload(kPay, kSecond);
  time.advance(700 * kMs);
  upload->end(engine::BodyStream::State::complete);
  engine->on_body_complete(id);
  time.advance(250 * kMs);
  EXPECT_EQ(responses(), 0U);
  time.advance(50 * kMs);
  EXPECT_EQ(responses(), 1U);
}

// Guards against a request that waits for the origin for as long as an upload may last.
TEST_F(EngineTest, StreamedBodyWithoutAServer_IsRejectedInTime) {
  build_on(fleet, list(1, true, {{"c-1", Phase::ready}}), {});
  start_upload(kPay, kSecond);
  time.advance(kSecond);
  ASSERT_EQ(responses(), 1U);
  EXPECT_EQ(response().kind, engine::Response::Kind::rejected);
  EXPECT_TRUE(fleet.sent.empty());
}

// Guards against a rejection at the earlier deadline, while the client is still sending and a server may
// come.
TEST_F(EngineTest, StreamedBodyWithoutAServer_IsRejectedInTheTimeSinceTheClientWasKnownToSend) {
  build_on(fleet, list(1, true, {{"c-1", Phase::ready}}), {});
  start_upload(kPay, kSecond);
  const Time paused = time.now() + 600 * kMs;
  sink->last_sending_at = [&, paused] { return std::min(time.now(), paused); };
  time.advance(1'500 * kMs);
  EXPECT_EQ(responses(), 0U);
  time.advance(100 * kMs);
  ASSERT_EQ(responses(), 1U);
  EXPECT_EQ(response().kind, engine::Response::Kind::rejected);
}

TEST_F(EngineTest, ConsumedBody_IsNotSentAgain) {
  for (const Class kind : {kSave, kPay}) {
    fleet.sent.clear();
    const auto upload = start_upload(kind, 8 * kSecond).second;
    ASSERT_EQ(fleet.sent.size(), 1U);
    upload->write("half");
    std::string read_bytes;
    upload->read(read_bytes);
    const std::size_t before = responses();
    end(0, Outcome::connect_failed);
    EXPECT_EQ(responses(), before + 1);  // immediately
    time.advance(2 * kSecond);
    EXPECT_EQ(fleet.sent.size(), 1U);
    EXPECT_EQ(sink->responses.back().second.kind, engine::Response::Kind::rejected);
  }
}

// Where hundreds of routers use the same servers, each closes connections that it uses rarely. A router count
// that changes at run time applies from then on.
TEST_F(EngineTest, RouterCount_TakesEffectForNewDecisions) {
  build([](Config& config) {
    config.connect_timeout = 250 * kMs;
    config.keep_alive = 60 * kSecond;
    config.handshake_cost = 0.01;
    config.connection_cost = 0.09;
  });
  const auto closed_by = [&](std::uint32_t routers) {
    engine->set_routers(routers);
    EXPECT_EQ(engine->routers(), routers);
    fleet.close_idle_calls = 0;
    for (int i = 0; i < 5; ++i) {
      ask(kRead);
      engine->on_attempt_ended(fleet.sent.back().attempt, Outcome::served, {});
      time.advance(kSecond);
    }
    return fleet.close_idle_calls;
  };
  EXPECT_EQ(closed_by(1), 0);
  EXPECT_GT(closed_by(300), 0);
  EXPECT_EQ(closed_by(1), 0);
}

}  // namespace
}  // namespace streampick::test
