// plugin::Calls with a fake engine: each call ends exactly once, in whatever order responses, cancels and
// deadlines come.
#include "plugin/calls.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "plugin/rest.h"

namespace streampick::plugin {
namespace {

using engine::Response;

struct Engine final : engine::RequestHandler {
  struct Submitted {
    std::shared_ptr<engine::ResponseSink> sink;
    engine::IncomingRequest incoming;
    bool cancelled = false;
  };
  RequestId on_request(const std::shared_ptr<engine::ResponseSink>& sink,
                       engine::IncomingRequest incoming) override {
    if (reject_all) return 0;
    submitted.push_back({sink, std::move(incoming)});
    if (respond_within_request) {
      submitted.back().sink->respond(submitted.back().incoming.tag,
                                     {.kind = Response::Kind::rejected, .retry_after = 5});
    }
    return submitted.size();
  }
  void on_client_cancelled(RequestId request) override {
    EXPECT_FALSE(submitted.at(request - 1).cancelled);
    submitted.at(request - 1).cancelled = true;
  }
  void reply(std::size_t i, Response reply) {
    submitted.at(i).sink->respond(submitted.at(i).incoming.tag, std::move(reply));
  }
  std::deque<Submitted> submitted;
  bool reject_all = false, respond_within_request = false;
};

struct Open final : Calls::OpenCall {
  void on_end(Result result) override { ends.push_back(std::move(result)); }
  std::vector<Result> ends;
};

struct PluginCalls : ::testing::Test {
  PluginCalls() {
    settings.names.classes = {"read", "save"};
    settings.names.keyed = {false, true};
    settings.names.tenants = {"acme"};
    settings.config.classes = {{1'000, 5'000'000, 1, Effect::safe}, {1'000, 5'000'000, 1, Effect::keyed}};
    calls.emplace(settings, 1, [this] { return now; });
    calls->set_engine(engine);
  }
  std::shared_ptr<Open> call(bool save = false, CallOptions options = {}) {
    auto open = std::make_shared<Open>();
    CheckedCall checked = check_call(settings, save, save ? 1 : 0, "k", "v", options, now);
    EXPECT_EQ(checked.error, "");
    calls->submit(open, std::move(checked.request));
    return open;
  }
  Settings settings;
  Engine engine;
  Time now = 1'000'000;
  std::optional<Calls> calls;
};

TEST_F(PluginCalls, CancelsRacingResponses_EndEachCallOnce) {
  std::minstd_rand random(7);
  std::vector<std::shared_ptr<Open>> all;
  for (int i = 0; i < 3'000; ++i) {
    all.push_back(call(random() % 4 == 0));
    for (int event = 0; event < 3; ++event) {
      const std::size_t which = random() % all.size();
      switch (random() % 5) {
        case 0: calls->cancel(all[which]); break;
        case 1: engine.reply(which, {.kind = Response::Kind::served}); break;
        case 2: engine.reply(which, {.kind = Response::Kind::failed}); break;
        case 3: engine.reply(which, {.kind = Response::Kind::rejected}); break;
        default: now += 100; break;
      }
    }
  }
  calls->close();
  for (const auto& one : all) EXPECT_EQ(one->ends.size(), 1U);
  EXPECT_EQ(calls->open_connections(), 0U);
  const Calls::Counts& counts = calls->counts();
  EXPECT_EQ(counts.served + counts.rejected + counts.failed + counts.cancelled, 3'000U);
  EXPECT_GT(counts.cancelled, 0U);
}

TEST_F(PluginCalls, ResponseWithinSubmit_LeavesNothingToCancel) {
  engine.respond_within_request = true;
  const auto one = call();
  ASSERT_EQ(one->ends.size(), 1U);
  EXPECT_EQ(one->ends[0].status, Status::rejected);
  calls->cancel(one);
  EXPECT_EQ(one->ends.size(), 1U);
  EXPECT_FALSE(engine.submitted[0].cancelled);
}

TEST_F(PluginCalls, ResponseAfterTheCallersDeadline_IsLate) {
  const auto read = call(false, {.deadline = std::chrono::milliseconds(10)});
  const auto save = call(true, {.deadline = std::chrono::milliseconds(10)});
  now += 10'001;
  engine.reply(0, {.kind = Response::Kind::served});
  engine.reply(1, {.kind = Response::Kind::served});
  EXPECT_TRUE(read->ends.at(0).status == Status::failed && read->ends[0].late && !read->ends[0].may_have_run);
  EXPECT_TRUE(save->ends.at(0).status == Status::failed && save->ends[0].late && save->ends[0].may_have_run);
  // The deadline passed before submit().
  CheckedCall checked =
      check_call(settings, false, 0, "k", "", {.deadline = std::chrono::milliseconds(1)}, now);
  now += 1'000;
  const auto over = std::make_shared<Open>();
  calls->submit(over, std::move(checked.request));
  EXPECT_TRUE(over->ends.at(0).late);
  EXPECT_EQ(engine.submitted.size(), 2U);
}

TEST_F(PluginCalls, KeyedSaveWithoutIdempotencyKey_GetsAUniqueOne) {
  call(true);
  call(true);
  call(true, {.idempotency_key = "mine"});
  call(false);
  EXPECT_FALSE(engine.submitted[0].incoming.message->idempotency_key.empty());
  EXPECT_NE(engine.submitted[0].incoming.message->idempotency_key,
            engine.submitted[1].incoming.message->idempotency_key);
  EXPECT_EQ(engine.submitted[2].incoming.message->idempotency_key, "mine");
  EXPECT_EQ(engine.submitted[3].incoming.message->idempotency_key, "");
}

TEST_F(PluginCalls, ResponseOtherThanAServersMiss_IsNotReportedAsNotFound) {
  const auto code = [](Response reply, bool save = false, bool late = false) {
    return result_of(std::move(reply), save, late).status;
  };
  const auto null_answer = [] {
    Response out{.kind = Response::Kind::served};
    out.answer.form = engine::Answer::Form::nothing;
    return out;
  };
  EXPECT_EQ(code({.kind = Response::Kind::failed, .not_found = true}), Status::not_found);
  EXPECT_EQ(code(null_answer()), Status::not_found);
  EXPECT_EQ(code(null_answer(), true), Status::served);  // a save may be answered with null
  EXPECT_EQ(code({.kind = Response::Kind::rejected, .not_found = true}), Status::rejected);
  EXPECT_EQ(code({.kind = Response::Kind::failed, .late = true, .not_found = true}), Status::failed);
  EXPECT_EQ(code({.kind = Response::Kind::failed, .not_found = true}, true), Status::failed);
  EXPECT_EQ(code(null_answer(), false, true), Status::failed);
}

TEST(PluginIdleTracker, NoOpenCallForIdleAfter_IsIdleUntilTheNextCall) {
  IdleTracker tracker(1'000);
  EXPECT_FALSE(tracker.on_call_started());
  EXPECT_FALSE(tracker.on_call_started());
  EXPECT_EQ(tracker.on_call_ended(50), 0);  // one call is still open
  EXPECT_FALSE(tracker.enter_if_due(5'000));
  EXPECT_EQ(tracker.on_call_ended(100), 1'100);
  EXPECT_FALSE(tracker.enter_if_due(1'099));
  EXPECT_TRUE(tracker.enter_if_due(1'100));
  EXPECT_FALSE(tracker.enter_if_due(1'200));  // it is idle already
  EXPECT_TRUE(tracker.on_call_started());
  EXPECT_FALSE(tracker.is_idle());
  EXPECT_EQ(tracker.on_call_ended(2'000), 3'000);
  EXPECT_FALSE(tracker.on_call_started());  // before the idle period was due
  EXPECT_FALSE(tracker.enter_if_due(3'000));
  EXPECT_EQ(tracker.on_call_ended(3'500), 4'500);
  EXPECT_EQ(tracker.idle_periods(), 1U);
  IdleTracker never;
  never.on_call_started();
  EXPECT_EQ(never.on_call_ended(0), 0);
  EXPECT_FALSE(never.enter_if_due(1'000'000'000));
}

}  // namespace
}  // namespace streampick::plugin
