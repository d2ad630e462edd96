// Calls from begin to end, without an engine: whatever crosses what, each ends once.
#include "plugin/calls.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

#include "plugin/rest.h"

namespace streampick::plugin {
namespace {

using engine::Response;

struct Engine final : engine::RequestHandler {
  struct One {
    std::shared_ptr<engine::ResponseSink> asker;
    engine::IncomingRequest incoming;
    bool withdrawn = false;
  };
  RequestId on_request(const std::shared_ptr<engine::ResponseSink>& asker,
                       engine::IncomingRequest incoming) override {
    if (full) return 0;
    all.push_back({asker, std::move(incoming)});
    if (at_once) {
      all.back().asker->respond(all.back().incoming.tag,
                                {.kind = Response::Kind::rejected, .retry_after = 5});
    }
    return all.size();
  }
  void on_client_cancelled(RequestId request) override {
    EXPECT_FALSE(all.at(request - 1).withdrawn);
    all.at(request - 1).withdrawn = true;
  }
  void reply(std::size_t i, Response reply) {
    all.at(i).asker->respond(all.at(i).incoming.tag, std::move(reply));
  }
  std::deque<One> all;
  bool full = false, at_once = false;
};

struct Open final : Calls::Open {
  void ended(Result result) override { ends.push_back(std::move(result)); }
  std::vector<Result> ends;
};

struct PluginCalls : ::testing::Test {
  PluginCalls() {
    settings.names.classes = {"read", "save"};
    settings.names.keyed = {false, true};
    settings.names.tenants = {"acme"};
    settings.config.classes = {{1'000, 5'000'000, 1, Effect::safe}, {1'000, 5'000'000, 1, Effect::keyed}};
    calls.emplace(settings, 1, [this] { return now; });
    calls->ask_from(engine);
  }
  std::shared_ptr<Open> call(bool save = false, CallOptions options = {}) {
    auto open = std::make_shared<Open>();
    Checked checked = check_call(settings, save, save ? 1 : 0, "k", "v", options, now);
    EXPECT_EQ(checked.wrong, "");
    calls->submit(open, std::move(checked.asked));
    return open;
  }
  Settings settings;
  Engine engine;
  Time now = 1'000'000;
  std::optional<Calls> calls;
};

TEST_F(PluginCalls, AreToldOnceWhateverCrossesWhat) {
  std::minstd_rand random(7);
  std::vector<std::shared_ptr<Open>> all;
  for (int i = 0; i < 3'000; ++i) {
    all.push_back(call(random() % 4 == 0));
    for (int turn = 0; turn < 3; ++turn) {
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

TEST_F(PluginCalls, ThatTheEngineAnswersAtOnceAreNotWithdrawnLater) {
  engine.at_once = true;
  const auto one = call();
  ASSERT_EQ(one->ends.size(), 1U);
  EXPECT_EQ(one->ends[0].status, Status::rejected);
  calls->cancel(one);
  EXPECT_EQ(one->ends.size(), 1U);
  EXPECT_FALSE(engine.all[0].withdrawn);
}

TEST_F(PluginCalls, AreLateByTheCallersTimeWhateverTheEngineThinks) {
  const auto read = call(false, {.deadline = std::chrono::milliseconds(10)});
  const auto save = call(true, {.deadline = std::chrono::milliseconds(10)});
  now += 10'001;
  engine.reply(0, {.kind = Response::Kind::served});
  engine.reply(1, {.kind = Response::Kind::served});
  EXPECT_TRUE(read->ends.at(0).status == Status::failed && read->ends[0].late && !read->ends[0].may_have_run);
  EXPECT_TRUE(save->ends.at(0).status == Status::failed && save->ends[0].late && save->ends[0].may_have_run);
  // Its time was over before it came here at all.
  Checked checked = check_call(settings, false, 0, "k", "", {.deadline = std::chrono::milliseconds(1)}, now);
  now += 1'000;
  const auto over = std::make_shared<Open>();
  calls->submit(over, std::move(checked.asked));
  EXPECT_TRUE(over->ends.at(0).late);
  EXPECT_EQ(engine.all.size(), 2U);
}

TEST_F(PluginCalls, OfAKeyedClassHaveAKeyOfTheirOwnWhereNoneIsGivenAndNoTwoAreAlike) {
  call(true);
  call(true);
  call(true, {.idempotency_key = "mine"});
  call(false);
  EXPECT_FALSE(engine.all[0].incoming.message->idempotency_key.empty());
  EXPECT_NE(engine.all[0].incoming.message->idempotency_key, engine.all[1].incoming.message->idempotency_key);
  EXPECT_EQ(engine.all[2].incoming.message->idempotency_key, "mine");
  EXPECT_EQ(engine.all[3].incoming.message->idempotency_key, "");
}

TEST_F(PluginCalls, ThatWereNotAskedToTheEndAreNotAbsent) {
  const auto code = [](Response reply, bool save = false, bool late = false) {
    return result_of(std::move(reply), save, late).status;
  };
  const auto nothing = [] {
    Response out{.kind = Response::Kind::served};
    out.answer.form = engine::Answer::Form::nothing;
    return out;
  };
  EXPECT_EQ(code({.kind = Response::Kind::failed, .not_found = true}), Status::not_found);
  EXPECT_EQ(code(nothing()), Status::not_found);
  EXPECT_EQ(code(nothing(), true), Status::served);  // a write's answer may hold nothing
  EXPECT_EQ(code({.kind = Response::Kind::rejected, .not_found = true}), Status::rejected);
  EXPECT_EQ(code({.kind = Response::Kind::failed, .late = true, .not_found = true}), Status::failed);
  EXPECT_EQ(code({.kind = Response::Kind::failed, .not_found = true}, true), Status::failed);
  EXPECT_EQ(code(nothing(), false, true), Status::failed);
}

TEST(PluginRest, BeginsOnceNothingWasOpenForItsTimeAndEndsWithTheNextCall) {
  Rest rest(1'000);
  EXPECT_FALSE(rest.began());
  EXPECT_FALSE(rest.began());
  EXPECT_EQ(rest.ended(50), 0);  // one is open still
  EXPECT_FALSE(rest.begins(5'000));
  EXPECT_EQ(rest.ended(100), 1'100);
  EXPECT_FALSE(rest.begins(1'099));
  EXPECT_TRUE(rest.begins(1'100));
  EXPECT_FALSE(rest.begins(1'200));  // it rests already
  EXPECT_TRUE(rest.began());
  EXPECT_FALSE(rest.resting());
  EXPECT_EQ(rest.ended(2'000), 3'000);
  EXPECT_FALSE(rest.began());  // before it was due
  EXPECT_FALSE(rest.begins(3'000));
  EXPECT_EQ(rest.ended(3'500), 4'500);
  EXPECT_EQ(rest.rests(), 1U);
  Rest never;
  never.began();
  EXPECT_EQ(never.ended(0), 0);
  EXPECT_FALSE(never.begins(1'000'000'000));
}

}  // namespace
}  // namespace streampick::plugin
