// End-to-end tests of the RESP front and RESP servers over loopback sockets, including failures of servers
// and clients.
#include <sys/resource.h>
#include <unistd.h>

#include "resp/resp_loopback.h"

namespace streampick::test {
namespace {

// ---- A RESP front over HTTP caches

TEST_F(RespLoopback, Get_IsForwardedToAnHttpCache) {
  std::string body;
  for (int i = 0; i < 3000; ++i) body += static_cast<char>(i % 256);
  cache.answer = [&](const std::string&) { return response(200, body); };
  start_http();
  const auto one = resp_client();
  one->ask({"GET", "sheet 7/2"});
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 1; }));
  EXPECT_EQ(one->reply(0), Value::blob(body));
  EXPECT_EQ(cache.requests.at(0).rfind("GET /read/sheet%207%2F2 HTTP/1.1\r\n", 0), 0U) << cache.requests[0];
}

TEST_F(RespLoopback, Set_IsForwardedAsPutAndAMissingValueIsNull) {
  cache.answer = [](const std::string&) { return response(404); };
  origin.answer = [](const std::string& request) {
    return request.rfind("PUT", 0) == 0 ? response(200, "stored") : response(404);
  };
  start_http();
  const auto one = resp_client();
  one->raw(command({"SET", "k", "value"}) + command({"GET", "k"}) + command({"EXISTS", "k"}) +
           command({"DEL", "k"}) + command({"MGET", "a", "b"}));
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 5; }));
  EXPECT_EQ(one->reply(0), Value::simple("OK"));
  EXPECT_TRUE(one->reply(1).is_null());
  EXPECT_EQ(one->reply(2), Value::integer(0));
  EXPECT_TRUE(one->reply(3).is_error());
  EXPECT_EQ(one->reply(4).items.size(), 2U);
  const auto put = std::find_if(origin.requests.begin(), origin.requests.end(),
                                [](const std::string& request) { return request.rfind("PUT", 0) == 0; });
  ASSERT_NE(put, origin.requests.end());
  EXPECT_NE(put->find("Idempotency-Key: "), std::string::npos);
  EXPECT_EQ(put->substr(put->size() - 5), "value");
}

TEST_F(RespLoopback, SameKeyAtBothFronts_GoesToTheSameServer) {
  FakeServer second(io), third(io);
  cache.answer = second.answer = third.answer = [](const std::string&) { return response(200, "x"); };
  start_with(std::string(kFront) + "write_class = \"save\"\n",
             list_json(1, true,
                       {{"s-1", cache.address()},
                        {"s-2", second.address()},
                        {"s-3", third.address()},
                        {"s-o", origin.address(), "origin"}}));
  const auto resp = resp_client();
  const auto http = client();
  for (std::size_t i = 0; i < 12; ++i) {
    const std::string key =
        i % 2 == 0 ? std::string("7f3a9c21e0b4d65") + "0123456789abcdef"[i] : "sheet-" + std::to_string(i);
    resp->ask({"GET", key});
    ASSERT_TRUE(wait_for([&] { return resp->replies.size() == i + 1; }));
    http->ask(request_text("GET", "/read/" + key, "read"));
    ASSERT_TRUE(wait_for([&] { return http->answers.size() == i + 1; }));
  }
  std::map<std::string, std::size_t> asked;
  for (const FakeServer* server : {&cache, &second, &third}) {
    std::map<std::string, std::size_t> here;
    for (const std::string& request : server->requests) ++here[request.substr(0, request.find("\r\n"))];
    for (const auto& [line, count] : here) EXPECT_EQ(count, 2U) << line;
  }
}

// ---- RESP caches

TEST_F(RespLoopback, Miss_IsServedByTheOriginAndFillsTheCache) {
  add_caches(1);
  store.values["k"] = "from the store";
  start_resp();
  const auto one = resp_client();
  one->ask({"GET", "k"});
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 1; }));
  EXPECT_EQ(one->reply(0), Value::blob("from the store"));
  ASSERT_TRUE(wait_for([&] { return caches[0]->stores == 1; }));
  EXPECT_EQ(caches[0]->values["k"], "from the store");
  one->ask({"GET", "k"});
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 2; }));
  EXPECT_EQ(store.commands, 1U);
  one->ask({"GET", "nowhere"});
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 3; }));
  EXPECT_TRUE(one->reply(2).is_null());
  EXPECT_EQ(caches[0]->stores, 1U);
}

TEST_F(RespLoopback, SupportedCommands_ReachTheOriginAndGetTheirReplies) {
  add_caches(2);
  store.values = {{"a", "1"}, {"b", "22"}};
  start_resp();
  const auto one = resp_client();
  one->raw(command({"MGET", "a", "b", "c"}) + command({"EXISTS", "a", "b", "c"}) + command({"STRLEN", "b"}) +
           command({"TTL", "a"}) + command({"TTL", "c"}) + command({"SET", "a", "new", "GET"}) +
           command({"GETDEL", "a"}) + command({"GETDEL", "a"}) + command({"DEL", "b", "c"}));
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 9; }));
  ASSERT_EQ(one->reply(0).items.size(), 3U);
  EXPECT_EQ(one->reply(0).items[1], Value::blob("22"));
  EXPECT_TRUE(one->reply(0).items[2].is_null());
  EXPECT_EQ(one->reply(1), Value::integer(2));
  EXPECT_EQ(one->reply(2), Value::integer(2));
  EXPECT_EQ(one->reply(3), Value::integer(-1));
  EXPECT_EQ(one->reply(4), Value::integer(-2));
  EXPECT_EQ(one->reply(8), Value::integer(1));
}

// A client reads its own writes, even if it pipelines the read without waiting for the reply to the write.
TEST_F(RespLoopback, PipelinedCommandsOnOneKey_KeepTheirOrderAndWritesInvalidateCopies) {
  add_caches(2);
  store.values = {{"k", "old"}};
  for (const auto& one : caches) one->values = store.values;
  start_resp("write_class = \"pay\"\n", "store_ms = 60000\n");
  const auto one = resp_client();
  one->raw(command({"SET", "k", "1"}) + command({"SET", "k", "2"}) + command({"DEL", "k"}) +
           command({"SET", "k", "3"}));
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 4; }));
  EXPECT_EQ(one->reply(2), Value::integer(1));
  EXPECT_EQ(store.values["k"], "3");
  ASSERT_TRUE(wait_for([&] { return !caches[0]->values.contains("k") && !caches[1]->values.contains("k"); }));
  one->raw(command({"GET", "k"}) + command({"SET", "k", "4"}) + command({"GET", "other"}));
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 7; }));
  EXPECT_EQ(one->reply(4), Value::blob("3"));
  EXPECT_EQ(one->reply(5), Value::simple("OK"));
}

TEST_F(RespLoopback, HttpFrontWithRespCaches_ServesRequests) {
  add_caches(1);
  store.values["k"] = "tile";
  start_with(kServers,
             list_json(1, true, {{"c-0", caches[0]->address()}, {"s-o", store.address(), "origin"}}));
  const auto one = client();
  one->ask(request_text("GET", "/read/k", "read"));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  EXPECT_EQ(one->status(), 200);
  EXPECT_EQ(one->body(), "tile");
  one->ask(request_text("PUT", "/pay/k2", "pay", "drawing"));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 2; }));
  EXPECT_EQ(one->status(1), 200);
  EXPECT_EQ(store.values["k2"], "drawing");
}

// Such a server receives no idempotency key and can't drop repeats, so a keyed write that may have run is not
// sent again.
TEST_F(RespLoopback, KeyedWriteToServersWithoutKeys_IsNotRetried) {
  add_caches(1);
  store.script = [](const std::vector<std::string>&, std::size_t) { return Fault{Fault::Kind::close}; };
  start_resp();
  const auto one = client();
  one->ask(request_text("PUT", "/save/k", "save", "drawing", "8.0", "Idempotency-Key: i\r\n"));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  EXPECT_EQ(one->status(), 502);
  EXPECT_EQ(store.executions["SET k"], 1U);
}

TEST_F(RespLoopback, ServerWithoutResp3_IsUsedAndOneWithAnotherPasswordIsNot) {
  RespCache old(io, {.speaks_resp3 = false, .password = "p"});
  RespCache closed(io, {.password = "other"});
  old.values["k"] = "old";
  start_with(std::string(kFront) + "write_class = \"pay\"\n" + kServers + "password = \"p\"\n",
             list_json(1, true, {{"c-0", old.address()}, {"s-o", closed.address(), "origin"}}));
  const auto one = resp_client();
  one->raw(command({"GET", "k"}) + command({"ROUTE", "DEADLINE", "700", "SET", "k", "v"}));
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 2; }));
  EXPECT_EQ(one->reply(0), Value::blob("old"));
  EXPECT_EQ(one->reply(1).text.rfind("TRYAGAIN", 0), 0U) << one->reply(1).text;
  EXPECT_EQ(closed.commands, 0U);
}

// Servers drop repeats by their KEY. Without a KEY of the client, its repeat gets a new key and would run
// again, so a write that may have run must not be reported as rejected.
TEST_F(RespLoopback, KeyedWriteThatMayHaveRun_IsRejectedOnlyIfTheClientSentItsKey) {
  add_caches(1);
  store.script = [](const std::vector<std::string>&, std::size_t) { return Fault{Fault::Kind::close}; };
  start_resp("write_class = \"save\"\n", "send_ids = true\n");
  const auto one = resp_client();
  one->ask({"SET", "a", "v"});
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 1; }));
  one->ask({"ROUTE", "KEY", "mine", "SET", "b", "v"});
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 2; }));
  EXPECT_EQ(one->reply(0), Value::error("UNAVAILABLE failed; it may have run"));
  EXPECT_EQ(one->reply(1).text.rfind("TRYAGAIN refused, it may have run: repeat it with its KEY", 0), 0U)
      << one->reply(1).text;
  EXPECT_GE(store.commands, 4U);  // both were retried with their keys
  EXPECT_EQ(store.executions.size(), 2U);
  for (const auto& [id, times] : store.executions) EXPECT_EQ(times, 1U);
}

// The log line with counters has the fields that the documentation for operators describes.
TEST_F(RespLoopback, Summary_HasTheCountersOfClientsAndServers) {
  add_caches(1);
  store.values["k"] = "v";
  start_resp();
  const auto one = resp_client();
  one->raw(command({"GET", "k"}) + command({"MGET", "k", "k2"}) + command({"PING"}));
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 3 && caches[0]->stores >= 1; }));
  const std::string line = host->summary();
  EXPECT_NE(line.find(" resp: clients=1 accepted=1 commands=3 requests=3 bad=0 turned_away=0"),
            std::string::npos)
      << line;
  EXPECT_NE(line.find(" resp servers: pushes=0 passed_over=0 shared="), std::string::npos) << line;
  EXPECT_NE(line.find(" voided=0 not_voided=0 broken=0"), std::string::npos) << line;
}

// ---- Failures of servers

TEST_F(RespLoopback, FirstReplyStalls_RepliesKeepTheirOrder) {
  add_caches(3);
  for (const auto& one : caches)
    for (int i = 0; i < 20; ++i) one->values["k" + std::to_string(i)] = "v" + std::to_string(i);
  for (const auto& one : caches)
    one->script = [](const std::vector<std::string>& words, std::size_t) {
      return words.size() > 1 && words[1] == "k0" ? Fault{Fault::Kind::stall} : Fault{};
    };
  start_resp();
  const auto one = resp_client();
  std::string bytes;
  for (int i = 0; i < 20; ++i) bytes += command({"GET", "k" + std::to_string(i)});
  one->raw(bytes);
  ASSERT_TRUE(wait_for([&] { return host->counts().served == 19; }));
  EXPECT_TRUE(one->replies.empty());
  for (const auto& stalled : caches) stalled->release();
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 20; }));
  for (std::size_t i = 0; i < 20; ++i) EXPECT_EQ(one->reply(i), Value::blob("v" + std::to_string(i)));
}

// Received replies remain valid, reads are retried elsewhere, and a write that may have run does not run
// again.
TEST_F(RespLoopback, CacheClosesBetweenReplies_ReadsAreServedAndNoWriteRunsTwice) {
  add_caches(3);
  bool closed = false;
  for (const auto& one : caches) {
    for (int i = 0; i < 40; ++i) one->values["k" + std::to_string(i)] = "v" + std::to_string(i);
    one->script = [&](const std::vector<std::string>&, std::size_t nth) {
      return nth == 5 && !std::exchange(closed, true) ? Fault{Fault::Kind::close_mid_reply} : Fault{};
    };
  }
  std::size_t saves = 0;
  store.script = [&](const std::vector<std::string>&, std::size_t) {
    return ++saves == 2 ? Fault{Fault::Kind::close} : Fault{};
  };
  start_resp("write_class = \"pay\"\n", "connections = 1\npipeline = 32\nstore_queue = 0\n");
  const auto one = resp_client();
  std::string bytes;
  for (int i = 0; i < 40; ++i) bytes += command({"GET", "k" + std::to_string(i)});
  for (int i = 0; i < 3; ++i) bytes += command({"SET", "w" + std::to_string(i), "x"});
  one->raw(bytes);
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 43; }));
  EXPECT_TRUE(closed);
  EXPECT_GE(outcomes(Outcome::reset) + outcomes(Outcome::connect_failed), 2U);
  for (std::size_t i = 0; i < 40; ++i) EXPECT_EQ(one->reply(i), Value::blob("v" + std::to_string(i)));
  EXPECT_EQ(one->reply(41).text, "UNAVAILABLE failed; it may have run");
  for (int i = 0; i < 3; ++i) EXPECT_EQ(store.executions["SET w" + std::to_string(i)], 1U);
}

TEST_F(RespLoopback, PushesBetweenReplies_AreNotReplies) {
  add_caches(1);
  std::size_t turn = 0;
  for (int i = 0; i < 30; ++i) caches[0]->values["k" + std::to_string(i)] = "v" + std::to_string(i);
  caches[0]->script = [&](const std::vector<std::string>&, std::size_t) {
    return Fault{++turn % 2 == 0 ? Fault::Kind::push_before : Fault::Kind::push_after};
  };
  start_resp("write_class = \"pay\"\n", "connections = 1\npipeline = 32\n");
  const auto one = resp_client();
  for (int round = 0; round < 2; ++round) {
    std::string bytes;
    for (int i = 0; i < 30; ++i) bytes += command({"GET", "k" + std::to_string(i)});
    one->raw(bytes);
    ASSERT_TRUE(wait_for([&] { return one->replies.size() == 30U * static_cast<std::size_t>(round + 1); }));
    caches[0]->push_to_all("invalidate");  // on an idle connection
  }
  for (std::size_t i = 0; i < 60; ++i) EXPECT_EQ(one->reply(i), Value::blob("v" + std::to_string(i % 30)));
  EXPECT_GE(host->resp_servers().pushes, 60U);
  EXPECT_EQ(host->counts().served, 60U);
  EXPECT_EQ(caches[0]->accepted, 1U);  // the connection was kept
}

TEST_F(RespLoopback, AggregateWithAPushInside_IsOneMalformedReply) {
  add_caches(1);
  caches[0]->values = {{"a", "1"}, {"b", "2"}};
  caches[0]->script = [&](const std::vector<std::string>& words, std::size_t) {
    return words.at(1) == "a" ? Fault{Fault::Kind::push_inside} : Fault{};
  };
  store.values = {{"a", "from the store"}};
  start_resp("write_class = \"pay\"\n", "connections = 1\npipeline = 32\nstore_queue = 0\n");
  const auto one = resp_client();
  one->raw(command({"GET", "b"}) + command({"GET", "a"}) + command({"GET", "b"}) + command({"GET", "b"}));
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 4; }));
  for (const std::size_t i : {0U, 2U, 3U}) EXPECT_EQ(one->reply(i), Value::blob("2"));
  EXPECT_GE(outcomes(Outcome::malformed), 1U);
  EXPECT_GE(host->resp_servers().pushes, 1U);
}

TEST_F(RespLoopback, LateReply_IsIgnoredAndTheConnectionIsKept) {
  add_caches(1);
  caches[0]->values = {{"slow", "late"}, {"k", "right"}};
  caches[0]->script = [&](const std::vector<std::string>& words, std::size_t) {
    return words.at(1) == "slow" ? Fault{Fault::Kind::stall} : Fault{};
  };
  start_resp("write_class = \"pay\"\n", "connections = 1\npipeline = 8\nstore_queue = 0\n");
  const auto one = resp_client();
  one->ask({"ROUTE", "DEADLINE", "300", "GET", "slow"});
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 1; }));
  EXPECT_TRUE(one->reply(0).is_error());
  one->ask({"GET", "k"});  // behind the stalled command, on the only connection
  quiet(50);
  caches[0]->release();
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 2; }));
  EXPECT_EQ(one->reply(1), Value::blob("right"));
  EXPECT_EQ(host->resp_servers().ignored_replies, 1U);
  EXPECT_EQ(caches[0]->accepted, 1U);
}

TEST_F(RespLoopback, DrainingCacheWithAFullPipeline_AnswersAndReceivesNothingNew) {
  add_caches(2);
  for (const auto& one : caches)
    for (int i = 0; i < 60; ++i) one->values["k" + std::to_string(i)] = "v" + std::to_string(i);
  bool stalls = true;
  caches[0]->script = [&](const std::vector<std::string>&, std::size_t) {
    return stalls ? Fault{Fault::Kind::stall} : Fault{};
  };
  caches[1]->script = caches[0]->script;
  start_resp("write_class = \"pay\"\n", "connections = 1\npipeline = 16\nstore_queue = 0\n");
  accept_watch();
  begin_watch();
  const auto one = resp_client();
  std::string bytes;
  for (int i = 0; i < 40; ++i) bytes += command({"GET", "k" + std::to_string(i)});
  one->raw(bytes);
  ASSERT_TRUE(wait_for([&] { return caches[0]->unreplied() > 1 && caches[1]->unreplied() > 1; }));
  send_phases(2, {{0, "terminating"}});
  quiet(2'100);  // past the grace period of the drain
  const std::uint64_t before = caches[0]->commands + caches[0]->unreplied() - 1;
  stalls = false;
  for (const auto& cache_ : caches) cache_->release();
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 40; }));
  for (int i = 40; i < 60; ++i) one->ask({"GET", "k" + std::to_string(i)});
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 60; }));
  for (std::size_t i = 40; i < 60; ++i) EXPECT_EQ(one->reply(i), Value::blob("v" + std::to_string(i)));
  EXPECT_LE(caches[0]->commands, before);
}

struct RecordingObserver final : engine::AttemptObserver {
  void on_attempt_ended(engine::AttemptId attempt, Outcome outcome, engine::Answer) override {
    ended.emplace_back(attempt, outcome);
  }
  std::vector<std::pair<engine::AttemptId, Outcome>> ended;
};

// A drain forbids to start sending after its grace period, also for an attempt that waited for a connection.
TEST_F(RespLoopback, AttemptThatWaitsPastTheDrainGrace_IsNotSent) {
  add_caches(1);
  caches[0]->script = [](const std::vector<std::string>&, std::size_t nth) {
    return nth == 1 ? Fault{Fault::Kind::stall} : Fault{};
  };
  RecordingObserver observer;
  net::UpstreamResources resources;
  resources.connections.set_limit(8);
  resp::ServerSettings one_at_a_time;
  one_at_a_time.connections = one_at_a_time.pipeline = 1;
  resp::ServerCounts counts;
  resp::RespTransport transport(io, clock, resources, observer, one_at_a_time, counts, "c-0", false);
  transport.set_address(caches[0]->address());
  const auto message = std::make_shared<engine::Message>();
  message->key = "k";
  for (std::uint32_t i = 0; i < 2; ++i) transport.send({1, i}, message, clock.now() + 8'000'000, kNever);
  ASSERT_TRUE(wait_for([&] { return caches[0]->commands == 1; }));
  transport.stop_sending_at(clock.now());
  transport.invalidate("k");
  transport.fill_cache("k", "v");
  caches[0]->release();
  ASSERT_TRUE(wait_for([&] { return observer.ended.size() == 2; }));
  // The waiting attempt ends at once, before the attempt ahead of it is answered.
  EXPECT_EQ(observer.ended[0].second, Outcome::not_sent);
  EXPECT_EQ(observer.ended[1].second, Outcome::served);
  quiet(50);
  EXPECT_EQ(caches[0]->commands, 1U);
}

TEST_F(RespLoopback, NoDescriptorOrFullQueue_AttemptFailsWithoutRunning) {
  add_caches(1);
  RecordingObserver observer;
  net::UpstreamResources resources;  // without a descriptor for servers
  resp::ServerSettings servers;
  servers.waiting = 1;
  resp::ServerCounts counts;
  resp::RespTransport transport(io, clock, resources, observer, servers, counts, "c-0", false);
  transport.set_address(caches[0]->address());
  const auto message = std::make_shared<engine::Message>();
  transport.send({1, 0}, message, clock.now() + 8'000'000, kNever);
  EXPECT_TRUE(observer.ended.empty());  // never from within send()
  ASSERT_TRUE(wait_for([&] { return observer.ended.size() == 1; }));
  EXPECT_EQ(observer.ended[0].second, Outcome::connect_failed);
  resources.connections.set_limit(1);
  transport.send({2, 0}, message, clock.now() + 8'000'000, kNever);
  transport.send({2, 1}, message, clock.now() + 8'000'000,
                 kNever);  // the queue is full, as one attempt waits for the dial
  ASSERT_TRUE(wait_for([&] { return observer.ended.size() == 3; }));
  EXPECT_EQ(observer.ended[1].second, Outcome::connect_failed);
  EXPECT_EQ(observer.ended[1].first.number, 1U);
  EXPECT_EQ(observer.ended[2].second, Outcome::served);
}

// A dial that is in progress at the change leads to the old address and must be replaced.
TEST_F(RespLoopback, AddressChangeDuringTheGreeting_AttemptGoesToTheNewAddress) {
  RespCache before(io, {.work = std::chrono::microseconds(0)});
  add_caches(1);
  caches[0]->values["k"] = "here";
  before.values["k"] = "gone";
  RecordingObserver observer;
  net::UpstreamResources resources;
  resources.connections.set_limit(8);
  resp::ServerSettings servers;
  resp::ServerCounts counts;
  resp::RespTransport transport(io, clock, resources, observer, servers, counts, "c-0", false);
  transport.set_address(before.address());
  const auto message = std::make_shared<engine::Message>();
  message->key = "k";
  transport.send({1, 0}, message, clock.now() + 8'000'000, kNever);
  transport.set_address(caches[0]->address());
  ASSERT_TRUE(wait_for([&] { return observer.ended.size() == 1; }));
  EXPECT_EQ(observer.ended[0].second, Outcome::served);
  EXPECT_EQ(before.commands, 0U);
  EXPECT_EQ(caches[0]->commands, 1U);
}

TEST_F(RespLoopback, NoFreeDescriptor_FrontWaitsAndThenServes) {
  add_caches(1);
  caches[0]->values["k"] = "v";
  start_resp();
  const auto first = resp_client();
  first->ask({"GET", "k"});
  ASSERT_TRUE(wait_for([&] { return first->replies.size() == 1; }));
  net::tcp::socket late(io);
  late.connect(host->resp()->address());  // in the queue of the listener, as the event loop has not run since
  rlimit usual{};
  getrlimit(RLIMIT_NOFILE, &usual);
  const int next = dup(0);
  close(next);
  rlimit none = usual;
  none.rlim_cur = static_cast<rlim_t>(next);
  setrlimit(RLIMIT_NOFILE, &none);
  std::size_t handlers = 0;
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
  while (std::chrono::steady_clock::now() < until) {
    clock.next_batch();
    io.restart();
    handlers += io.run_one_for(std::chrono::milliseconds(10));
  }
  setrlimit(RLIMIT_NOFILE, &usual);
  EXPECT_LT(handlers, 200U);  // the event loop did not spin
  const auto again = std::make_shared<Peer>(std::move(late));
  again->read([](Peer&) {});
  again->write(command({"GET", "k"}));
  EXPECT_TRUE(wait_for([&] { return again->got == "$1\r\nv\r\n"; }));
}

TEST_F(RespLoopback, DrainingPush_ConnectionIsReplaced) {
  add_caches(1);
  caches[0]->values = {{"k", "v"}};
  start_resp("write_class = \"pay\"\n", "connections = 1\n");
  const auto one = resp_client();
  one->ask({"GET", "k"});
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 1; }));
  caches[0]->say_draining();
  ASSERT_TRUE(wait_for([&] { return caches[0]->open() == 0; }));
  one->ask({"GET", "k"});
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 2; }));
  EXPECT_EQ(caches[0]->accepted, 2U);
}

TEST_F(RespLoopback, BytesAfterAMalformedReply_AreNeverAnotherReply) {
  for (const Fault::Kind kind :
       {Fault::Kind::noise, Fault::Kind::extra_reply, Fault::Kind::endless_length, Fault::Kind::wrong_type,
        Fault::Kind::half_close, Fault::Kind::close_unseen}) {
    caches.clear();
    add_caches(3);
    std::size_t turn = 0;
    for (const auto& one : caches) {
      for (int i = 0; i < 30; ++i) one->values["k" + std::to_string(i)] = "v" + std::to_string(i);
      one->script = [&](const std::vector<std::string>&, std::size_t) {
        return ++turn % 7 == 0 ? Fault{kind} : Fault{};
      };
    }
    store.values = caches[0]->values;
    // An extra reply shifts all later replies, which RESP can't detect, so this fault needs a pipeline of 1.
    const std::string pipeline = kind == Fault::Kind::extra_reply ? "pipeline = 1\n" : "pipeline = 4\n";
    start_resp("write_class = \"pay\"\n", "connections = 2\nstore_queue = 0\n" + pipeline);
    const auto one = resp_client();
    std::string bytes;
    for (int i = 0; i < 30; ++i)
      bytes += command({"ROUTE", "DEADLINE", "3000", "GET", "k" + std::to_string(i)});
    one->raw(bytes);
    ASSERT_TRUE(wait_for([&] { return one->replies.size() == 30; })) << static_cast<int>(kind);
    std::size_t served = 0;
    for (std::size_t i = 0; i < 30; ++i) {
      if (one->reply(i).is_error()) continue;
      ++served;
      EXPECT_EQ(one->reply(i), Value::blob("v" + std::to_string(i))) << static_cast<int>(kind);
    }
    EXPECT_GE(served, 25U) << static_cast<int>(kind);
    host.reset();
  }
}

// ---- Clients

TEST_F(RespLoopback, ClientThatPipelines10000AndReadsNothing_DoesNotDelayOthers) {
  add_caches(1);
  caches[0]->values["k"] = std::string(8'000, 'x');
  start_resp();
  net::tcp::socket silent_client(io);
  silent_client.open(net::tcp::v4());
  silent_client.set_option(asio::socket_base::receive_buffer_size(4096));
  silent_client.connect(host->resp()->address());
  auto bytes = std::make_shared<std::string>();
  for (int i = 0; i < 10'000; ++i) *bytes += command({"GET", "k"});
  asio::async_write(silent_client, asio::buffer(*bytes), [bytes](net::error_code, std::size_t) {});
  ASSERT_TRUE(wait_for([&] { return caches[0]->commands >= 64; }));
  quiet(300);
  const std::uint64_t taken = host->counts().requests;
  EXPECT_LT(taken, 2'000U);  // no more than the sockets and a pipeline hold
  const auto other = resp_client();
  other->ask({"GET", "k"});
  ASSERT_TRUE(wait_for([&] { return other->replies.size() == 1; }));
  EXPECT_EQ(other->reply(0).text.size(), 8'000U);
  quiet(200);
  EXPECT_LT(host->counts().requests, taken + 100);
}

TEST_F(RespLoopback, TenThousandPipelinedCommands_AreAnsweredInOrder) {
  add_caches(2);
  for (const auto& one : caches)
    for (int i = 0; i < 100; ++i) one->values["k" + std::to_string(i)] = "v" + std::to_string(i);
  start_resp();
  const auto one = resp_client();
  auto bytes = std::make_shared<std::string>();
  for (int i = 0; i < 10'000; ++i) *bytes += command({"GET", "k" + std::to_string(i % 100)});
  asio::async_write(one->peer->socket, asio::buffer(*bytes), [bytes](net::error_code, std::size_t) {});
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 10'000; })) << one->replies.size();
  std::size_t wrong = 0;
  for (std::size_t i = 0; i < 10'000; ++i)
    wrong += one->reply(i) == Value::blob("v" + std::to_string(i % 100)) ? 0U : 1U;
  EXPECT_EQ(wrong, 0U);
}

TEST_F(RespLoopback, ClientClosesWith100RequestsInFlight_TheyAreCancelled) {
  add_caches(2);
  for (const auto& one : caches)
    one->script = [](const std::vector<std::string>&, std::size_t) { return Fault{Fault::Kind::stall}; };
  start_resp("write_class = \"pay\"\npipeline = 128\n", "connections = 4\npipeline = 4\nstore_queue = 0\n");
  auto one = resp_client();
  std::string bytes;
  for (int i = 0; i < 100; ++i) bytes += command({"GET", "k" + std::to_string(i)});
  one->raw(bytes);
  ASSERT_TRUE(wait_for([&] { return host->counts().requests == 100; }));
  ASSERT_TRUE(wait_for([&] { return commands() + caches[0]->unreplied() + caches[1]->unreplied() >= 16; }));
  one.reset();
  const engine::Counters& counts = host->counts();
  ASSERT_TRUE(wait_for([&] { return counts.cancelled_by_client + counts.refused + counts.failed == 100; }));
  EXPECT_GT(counts.cancelled_by_client, 50U);
  quiet(50);
  const std::uint64_t attempts = host->counts().attempts;
  for (const auto& cache_ : caches) cache_->release();
  quiet(1'500);
  EXPECT_EQ(host->counts().attempts, attempts);
  EXPECT_EQ(host->resp()->open_connections(), 0U);
}

TEST_F(RespLoopback, InvalidInput_GetsAnErrorAndACloseAndOthersAreServed) {
  add_caches(1);
  caches[0]->values["k"] = "v";
  start_resp();
  const auto good = resp_client();
  std::string deep, million = "*1000000\r\n";
  for (int i = 0; i < 10'000; ++i) deep += "*1\r\n";
  for (int i = 0; i < 1'000'000; ++i) million += "$0\r\n\r\n";
  std::size_t replies = 0;
  for (const std::string& bytes :
       {std::string("*3\r\n$3\r\nSET\r\n$1\r\nk\r\n$536870912\r\nxxxx"), deep, million,
        std::string("*1\r\n$-5\r\n"), std::string("*-7\r\n"), std::string("*1\r\n$3\r\nGETxx"),
        std::string("GET \"k\r\n"), std::string(70'000, 'x')}) {
    const auto bad = resp_client();
    auto keep = std::make_shared<std::string>(bytes);
    asio::async_write(bad->peer->socket, asio::buffer(*keep),
                      [keep, peer = bad->peer](net::error_code, std::size_t) {});
    ASSERT_TRUE(wait_for([&] { return bad->peer->ended; })) << bytes.substr(0, 60);
    ASSERT_EQ(bad->replies.size(), 1U) << bytes.substr(0, 60);
    EXPECT_EQ(bad->reply(0).text.rfind("ERR Protocol error: ", 0), 0U) << bad->reply(0).text;
    good->ask({"GET", "k"});
    ++replies;
    ASSERT_TRUE(wait_for([&] { return good->replies.size() == replies; }));
    EXPECT_EQ(good->reply(replies - 1), Value::blob("v"));
  }
}

TEST_F(RespLoopback, HttpPost_IsClosedBeforeItsBodyRuns) {
  add_caches(1);
  start_resp();
  const auto page = resp_client();
  page->raw("POST / HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 15\r\n\r\nSET zz stolen\r\n");
  ASSERT_TRUE(wait_for([&] { return page->peer->ended; }));
  EXPECT_TRUE(page->replies.empty());
  EXPECT_EQ(host->resp()->counts().bad, 1U);
  const auto good = resp_client();
  good->ask({"GET", "zz"});
  ASSERT_TRUE(wait_for([&] { return good->replies.size() == 1; }));
  EXPECT_TRUE(good->reply(0).is_null());
  EXPECT_EQ(host->counts().requests, 1U);
}

TEST_F(RespLoopback, ClientOverTheLimit_IsRejectedOrReplacesAnIdleOne) {
  add_caches(1);
  caches[0]->values["k"] = "v";
  caches[0]->script = [](const std::vector<std::string>& words, std::size_t) {
    return words.at(1) == "slow" ? Fault{Fault::Kind::stall} : Fault{};
  };
  start_resp("write_class = \"pay\"\nmost_clients = 2\n", "store_queue = 0\n");
  const auto busy = resp_client();
  busy->ask({"GET", "slow"});
  ASSERT_TRUE(wait_for([&] { return host->counts().requests == 1; }));
  const auto idle = resp_client();
  idle->ask({"GET", "k"});
  ASSERT_TRUE(wait_for([&] { return idle->replies.size() == 1; }));
  const auto third = resp_client();
  ASSERT_TRUE(wait_for([&] { return third->peer->ended; }));
  ASSERT_EQ(third->replies.size(), 1U);
  EXPECT_EQ(third->reply(0).text, "ERR max number of clients reached");
  quiet(1'100);  // now the idle connection may be closed
  const auto fourth = resp_client();
  fourth->ask({"GET", "k"});
  ASSERT_TRUE(wait_for([&] { return fourth->replies.size() == 1; }));
  EXPECT_EQ(fourth->reply(0), Value::blob("v"));
  EXPECT_TRUE(wait_for([&] { return idle->peer->ended; }));
  EXPECT_FALSE(busy->peer->ended);
}

TEST_F(RespLoopback, RequestsOverTheLimitOfAllClients_AreDelayedAndAnswered) {
  add_caches(1);
  for (int i = 0; i < 50; ++i) caches[0]->values["k" + std::to_string(i)] = "v";
  start_resp("write_class = \"pay\"\nmost_requests = 8\n", "store_queue = 0\n");
  std::vector<std::unique_ptr<RespClient>> all;
  std::string bytes;
  for (int i = 0; i < 50; ++i) bytes += command({"GET", "k" + std::to_string(i)});
  for (int i = 0; i < 10; ++i) {
    all.push_back(resp_client());
    all.back()->raw(bytes);
  }
  ASSERT_TRUE(wait_for([&] {
    return std::all_of(all.begin(), all.end(), [](const auto& one) { return one->replies.size() == 50; });
  }));
  EXPECT_EQ(host->counts().served, 500U);
}

TEST_F(RespLoopback, IdOfAnOpenRequest_IsRejectedAsDuplicate) {
  add_caches(1);
  caches[0]->script = [](const std::vector<std::string>&, std::size_t) { return Fault{Fault::Kind::stall}; };
  start_resp("write_class = \"pay\"\n", "store_queue = 0\n");
  const auto one = resp_client(), two = resp_client();
  one->ask({"ROUTE", "ID", "00000000000000aa", "GET", "k"});
  ASSERT_TRUE(wait_for([&] { return host->counts().requests == 1; }));
  two->ask({"ROUTE", "ID", "00000000000000aa", "GET", "k"});
  ASSERT_TRUE(wait_for([&] { return two->replies.size() == 1; }));
  EXPECT_EQ(two->reply(0).text.rfind("DUPLICATE", 0), 0U);
}

TEST_F(RespLoopback, Shutdown_AnswersPipelinedCommands) {
  add_caches(1);
  caches[0]->values = {{"slow", "s"}, {"k", "v"}};
  caches[0]->script = [](const std::vector<std::string>& words, std::size_t) {
    return words.at(1) == "slow" ? Fault{Fault::Kind::stall} : Fault{};
  };
  start_resp("write_class = \"pay\"\n", "connections = 2\nstore_queue = 0\n");
  const auto one = resp_client(), idle = resp_client();
  one->raw(command({"GET", "slow"}) + command({"GET", "k"}));
  ASSERT_TRUE(wait_for([&] { return host->counts().served == 1; }));
  bool done = false;
  host->drain([&] { done = true; });
  ASSERT_TRUE(wait_for([&] { return idle->peer->ended; }));
  quiet(800);
  EXPECT_FALSE(done);
  caches[0]->release();
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 2; }));
  EXPECT_EQ(one->reply(0), Value::blob("s"));
  EXPECT_EQ(one->reply(1), Value::blob("v"));
  EXPECT_TRUE(wait_for([&] { return done; }));
}

// The router must answer commands that are unread in the kernel when the listener closes.
TEST_F(RespLoopback, Shutdown_AnswersUnreadCommands) {
  add_caches(1);
  // More bytes than one read returns.
  const auto key = [](int i) { return "k" + std::to_string(i) + std::string(100, 'x'); };
  for (int i = 0; i < 800; ++i) caches[0]->values[key(i)] = "v" + std::to_string(i);
  caches[0]->script = [&](const std::vector<std::string>& words, std::size_t) {
    return words.at(1) == key(0) ? Fault{Fault::Kind::stall} : Fault{};
  };
  start_resp("write_class = \"pay\"\npipeline = 4\n", "connections = 4\nstore_queue = 0\n");
  const auto one = resp_client();
  std::string bytes;
  for (int i = 0; i < 800; ++i) bytes += command({"GET", key(i)});
  one->raw(bytes);
  ASSERT_TRUE(wait_for([&] { return host->counts().served == 3; }));
  bool done = false;
  host->drain([&] { done = true; });
  quiet(700);
  EXPECT_EQ(host->counts().requests, 4U);
  caches[0]->release();
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 800; })) << one->replies.size();
  EXPECT_EQ(one->reply(799), Value::blob("v799"));
  EXPECT_TRUE(wait_for([&] { return done; }));
}

TEST_F(RespLoopback, NoReachableServer_IsRejectedAtOnceWithARetryTime) {
  add_caches(1);
  caches[0]->stop_listening();
  store.stop_listening();
  start_resp();
  const auto one = resp_client();
  one->ask({"SET", "k", "v"});
  ASSERT_TRUE(wait_for([&] { return one->replies.size() == 1; }));
  EXPECT_EQ(one->reply(0).text.rfind("TRYAGAIN refused, nothing ran; come back in ", 0), 0U);
}

TEST_F(RespLoopback, DrainOfClients_ClosesConnectionsAndEndsWithJoin) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start_http();
  const auto idle = resp_client();
  idle->ask({"GET", "k"});
  ASSERT_TRUE(wait_for([&] { return idle->replies.size() == 1; }));
  host->operators().answer({management::Command::Kind::leave, {}}, [](const std::string&) {});
  ASSERT_TRUE(wait_for([&] { return idle->peer->ended; }));
  host->operators().answer({management::Command::Kind::join, {}}, [](const std::string&) {});
  const auto again = resp_client();
  again->ask({"GET", "k"});
  ASSERT_TRUE(wait_for([&] { return again->replies.size() == 1; }));
  quiet();
  EXPECT_FALSE(again->peer->ended);
  EXPECT_EQ(host->operators().dump().classes.at("read").served, 2U);
  EXPECT_EQ(host->operators().dump().backend_calls, cache.requests.size());
}

}  // namespace
}  // namespace streampick::test
