// The router over loopback sockets: one test for each thing that went or could go wrong there.
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "loopback.h"

namespace streampick::node::test {
namespace {

const std::string kRead = request_text("GET", "/read/7f3a9c21e0b4d655", "read");

// ---- Answers

TEST_F(Loopback, AReadIsAnsweredWithTheServersBodyByteForByte) {
  std::string body;
  for (int i = 0; i < 3000; ++i) body += static_cast<char>(i % 256);
  cache.answer = [&](const std::string&) { return response(200, body); };
  start();
  const auto one = client();
  one->ask(kRead);
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  EXPECT_EQ(one->status(), 200);
  EXPECT_EQ(one->body(), body);
  ASSERT_EQ(cache.requests.size(), 1U);
  EXPECT_EQ(cache.requests[0].rfind("GET /read/7f3a9c21e0b4d655 HTTP/1.1\r\n", 0), 0U);
  EXPECT_NE(cache.requests[0].find("X-Txn: 9b1f03aa5c7e2d41\r\n"), std::string::npos);
  EXPECT_NE(cache.requests[0].find("X-Remaining: 7.9"), std::string::npos);
}

TEST_F(Loopback, AMissGoesToTheOriginAndAWriteGoesThereAtOnceWithItsKeyAndBody) {
  cache.answer = [](const std::string&) { return response(404); };
  origin.answer = [](const std::string&) { return response(200, "from the origin"); };
  start();
  const auto one = client();
  one->ask(kRead);
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  EXPECT_EQ(one->body(), "from the origin");
  one->ask(
      request_text("PUT", "/save/7f3a9c21e0b4d655?v=2", "save", "value", "8", "Idempotency-Key: k1\r\n"));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 2; }));
  EXPECT_EQ(cache.requests.size(), 1U);
  ASSERT_EQ(origin.requests.size(), 2U);
  EXPECT_EQ(origin.requests[1].rfind("PUT /save/7f3a9c21e0b4d655?v=2 ", 0), 0U);
  EXPECT_NE(origin.requests[1].find("Idempotency-Key: k1\r\n"), std::string::npos);
  EXPECT_EQ(origin.requests[1].substr(origin.requests[1].size() - 5), "value");
  EXPECT_EQ(origin.peers.size(), 1U);
}

TEST_F(Loopback, WhatNobodyAnswersIsEndedOnceByTheModuleAndItsConnectionIsClosed) {
  start();  // the peers hold whatever comes
  const auto one = client();
  one->ask(request_text("GET", "/read/1", "read", "", "0.6"));
  ASSERT_TRUE(wait_for([&] { return !one->answers.empty(); }));
  EXPECT_EQ(one->status(), 503);
  EXPECT_NE(one->answers[0].find("Retry-After: "), std::string::npos);
  quiet();
  EXPECT_EQ(one->answers.size(), 1U);
  EXPECT_EQ(host->counts().guarded, 0U);
  EXPECT_EQ(host->counts().outcomes[static_cast<std::size_t>(Outcome::timeout)], 1U);
  ASSERT_TRUE(wait_for([&] { return cache.open() == 0; }));
}

TEST_F(Loopback, AfterAStallTheAnswerIsStillTheModules) {
  start();
  const auto one = client();
  one->ask(request_text("GET", "/read/1", "read", "", "0.6"));
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  ::usleep(700'000);  // the process was not run: everything of this request is due at once
  ASSERT_TRUE(wait_for([&] { return !one->answers.empty(); }));
  EXPECT_EQ(one->status(), 503);
  EXPECT_EQ(host->counts().guarded, 0U);
}

TEST_F(Loopback, TheFirstOfTwoCopiesIsPassedOnAndTheOtherIsCancelledAndReported) {
  FakeServer second(io);
  start(list_json(
      1, true, {{"s-1", cache.address()}, {"s-2", second.address()}, {"s-o", origin.address(), "origin"}}));
  const auto one = client();
  one->ask(kRead);
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() + second.requests.size() == 2; }));
  second.peers[0]->write(response(200, "quick"));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1 && cache.open() == 0; }));
  EXPECT_EQ(one->body(), "quick");
  quiet();
  EXPECT_EQ(one->answers.size(), 1U);
  EXPECT_EQ(host->counts().cancels, 1U);
  EXPECT_EQ(host->counts().outcomes[static_cast<std::size_t>(Outcome::cancelled)], 1U);
  EXPECT_EQ(second.open(), 1U);  // the winner's connection is kept
}

TEST_F(Loopback, AClientThatClosesIsWithdrawnAndNothingMoreIsSentForIt) {
  start();
  auto one = client();
  one->ask(kRead);
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  one.reset();
  ASSERT_TRUE(wait_for([&] { return host->counts().withdrawn == 1 && cache.open() == 0; }));
  quiet(1'200);  // past the delay of a copy
  EXPECT_EQ(cache.requests.size() + origin.requests.size(), 1U);
}

// ---- Outcomes decide what may be sent again

TEST_F(Loopback, A503WithoutItsHeaderMayHaveRunSoAnUnsafeWriteFailsAndIsNotResent) {
  origin.answer = [](const std::string&) { return response(503); };
  start();
  const auto one = client();
  one->ask(request_text("PUT", "/pay/1", "pay", "x"));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  EXPECT_EQ(one->status(), 502);
  quiet();
  EXPECT_EQ(origin.requests.size(), 1U);
}

TEST_F(Loopback, ATurnedAwayUnsafeWriteIsTriedAgainAndServed) {
  origin.answer = [this](const std::string&) {
    return origin.requests.size() == 1 ? response(503, "", "X-Turned-Away: 1\r\n") : response(200, "done");
  };
  start();
  const auto one = client();
  one->ask(request_text("PUT", "/pay/1", "pay", "x"));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  EXPECT_EQ(one->status(), 200);
  EXPECT_EQ(origin.requests.size(), 2U);
}

TEST_F(Loopback, AConnectionThatBreaksAfterTheLastByteIsAResetSoAnUnsafeWriteFails) {
  origin.close_after_request = true;
  start();
  const auto one = client();
  one->ask(request_text("PUT", "/pay/1", "pay", "x"));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  EXPECT_EQ(one->status(), 502);
  EXPECT_EQ(host->counts().outcomes[static_cast<std::size_t>(Outcome::reset)], 1U);
  quiet();
  EXPECT_EQ(origin.requests.size(), 1U);
}

TEST_F(Loopback, ARefusedConnectionNeverRanSoAnUnsafeWriteIsRefusedWithAdvice) {
  tcp::acceptor shut(io, any_port());
  const std::string nowhere = text_of(shut.local_endpoint());
  shut.close();
  start(list_json(1, true, {{"s-1", cache.address()}, {"s-o", nowhere, "origin"}}));
  const auto one = client();
  one->ask(request_text("PUT", "/pay/1", "pay", "x"));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  EXPECT_EQ(one->status(), 503);
  EXPECT_NE(one->answers[0].find("Retry-After: 0.250"), std::string::npos);
  EXPECT_GE(host->counts().outcomes[static_cast<std::size_t>(Outcome::connect_failed)], 1U);
}

TEST_F(Loopback, AnAnswerThatIsNotHttpIsAnErrorAndTheRouterGoesOn) {
  cache.answer = [](const std::string&) { return std::string("no such protocol\r\n\r\n"); };
  start();
  const auto one = client();
  one->ask(kRead);
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  EXPECT_EQ(host->counts().outcomes[static_cast<std::size_t>(Outcome::error)], 1U);
  cache.answer = [](const std::string&) { return response(200, "well"); };
  one->ask(kRead);
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 2; }));
  EXPECT_EQ(one->status(1), 200);
}

// ---- Connections

TEST_F(Loopback, RequestsOneAfterAnotherUseOneConnection) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  const auto one = client();
  for (std::size_t i = 1; i <= 5; ++i) {
    one->ask(kRead);
    ASSERT_TRUE(wait_for([&] { return one->answers.size() == i; }));
  }
  EXPECT_EQ(cache.requests.size(), 5U);
  EXPECT_EQ(cache.peers.size(), 1U);
}

TEST_F(Loopback, AnIdleConnectionThatTheServerClosedIsNoticedAndNotUsed) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  const auto one = client();
  one->ask(kRead);
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  cache.peers[0]->close();
  ASSERT_TRUE(wait_for([&] { return host->connections == 0; }));
  one->ask(kRead);
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 2; }));
  EXPECT_EQ(one->status(1), 200);
  EXPECT_EQ(host->counts().outcomes[static_cast<std::size_t>(Outcome::reset)], 0U);
}

struct Record final : UpstreamShared {
  void attempt_ended(AttemptId attempt, Outcome outcome, Answer) override {
    ended.emplace_back(attempt, outcome);
  }
  void free_a_connection() override {}
  std::vector<std::pair<AttemptId, Outcome>> ended;
};

class OneServer : public Loopback {
 protected:
  OneServer() {
    record.most_connections = 16;
    record.dial_time_out = 250'000;
    forward->target = "/read/1";
    forward->txn = "9b1f03aa5c7e2d41";
    upstream.set_address(cache.endpoint());
    // A listener whose queue is full: the next connection never comes up and is not refused either.
    deaf.open(tcp::v4());
    deaf.bind(any_port());
    deaf.listen(0);
    for (int i = 0; i < 4; ++i) {
      fill.emplace_back(io);
      fill.back().async_connect(deaf.local_endpoint(), [](error_code) {});
    }
    quiet(50);
  }
  void send(std::uint32_t number) { upstream.send({1, number}, forward, clock.now() + 8'000'000); }

  Record record;
  std::shared_ptr<Forward> forward = std::make_shared<Forward>();
  tcp::acceptor deaf{io};
  std::vector<tcp::socket> fill;
  Upstream upstream{io, clock, record, "s-1"};
};

TEST_F(OneServer, ADialThatIsNotMadeInTimeNeverRan) {
  upstream.set_address(deaf.local_endpoint());
  send(0);
  EXPECT_TRUE(record.ended.empty());
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::connect_failed);
  EXPECT_EQ(record.connections, 0U);
}

TEST_F(OneServer, AnAttemptThatWaitsForADialTakesTheConnectionThatComesFreeFirst) {
  record.dial_time_out = 60'000'000;
  send(0);
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  upstream.set_address(deaf.local_endpoint());
  send(1);
  EXPECT_EQ(record.dials, 2U);
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 2; }));
  EXPECT_EQ(cache.peers.size(), 1U);
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 2; }));
  EXPECT_EQ(record.ended[1].second, Outcome::served);
}

TEST_F(OneServer, NothingIsWrittenPastTheGraceOfADrain) {
  send(0);  // its connection is not made before the loop runs
  upstream.send_nothing_from(clock.now());
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::not_sent);
  quiet();
  EXPECT_TRUE(cache.requests.empty());
}

TEST_F(OneServer, AForgottenAttemptClosesItsConnectionAndReportsNothing) {
  send(0);
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  upstream.forget({1, 0});
  ASSERT_TRUE(wait_for([&] { return cache.open() == 0; }));
  EXPECT_TRUE(record.ended.empty());
}

TEST_F(OneServer, TheConnectionUsedLastIsUsedNextAndOldOnesAreClosed) {
  send(0);
  send(1);
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 2; }));
  cache.peers[1]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  const Time first_idle = clock.now();
  quiet(20);
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 2; }));
  send(2);
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 3; }));
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 3; }));
  EXPECT_EQ(record.ended[2].second, Outcome::served);
  upstream.close_idle(first_idle);
  ASSERT_TRUE(wait_for([&] { return cache.open() == 1; }));
  EXPECT_TRUE(cache.peers[1]->ended);
  EXPECT_EQ(cache.peers.size(), 2U);
}

TEST_F(OneServer, AnInterimAnswerIsPassedOverAndAClosingOneIsNotUsedAgain) {
  send(0);
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  cache.peers[0]->write("HTTP/1.1 100 Continue\r\n\r\n");
  quiet(30);
  EXPECT_TRUE(record.ended.empty());
  cache.peers[0]->write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nuntil the end");
  cache.peers[0]->close();
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::served);
  EXPECT_EQ(record.connections, 0U);
}

TEST_F(OneServer, WithoutADescriptorAnAttemptNeverRan) {
  record.most_connections = 0;
  send(0);
  EXPECT_TRUE(record.ended.empty());  // not from within send
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::connect_failed);
  EXPECT_TRUE(cache.peers.empty());
}

TEST_F(OneServer, AServerThatStopsReadingHalfwayNeverRanTheRequest) {
  // More than the sockets between can hold, so that the last byte is never written.
  forward->method = boost::beast::http::verb::put;
  forward->body.assign(32 * 1024 * 1024, 'x');
  tcp::acceptor strict(io, any_port());
  upstream.set_address(strict.local_endpoint());
  tcp::socket taken(io);
  strict.async_accept(taken, [](error_code) {});
  send(0);
  ASSERT_TRUE(wait_for([&] { return taken.is_open(); }));
  quiet();
  taken.close();
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::connect_failed);
}

// ---- Bad input

TEST_F(Loopback, BadRequestsAreToldApart) {
  start();
  const std::vector<std::pair<std::string, int>> cases = {
      {"nonsense\r\n\r\n", 400},
      {"GET /read/1 HTTP/1.1\r\nX-Lane: read\r\nX-Remaining: 1\r\n\r\n", 400},
      {"GET /read/1 HTTP/1.1\r\nX-Txn: xyz\r\nX-Lane: read\r\nX-Remaining: 1\r\n\r\n", 400},
      {"GET /read/1 HTTP/1.1\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Remaining: 1\r\n\r\n", 400},
      {"GET /read/1 HTTP/1.1\r\nX-Txn: 9b1f03aa5c7e2d41\r\nX-Lane: read\r\n\r\n", 400},
      {request_text("GET", "/read/1", "read", "", "soon"), 400},
      {request_text("GET", "/read/1", "read", "", "nan"), 400},
      {request_text("GET", "/read/1", "read", "", "-1"), 400},
      {request_text("GET", "/song/1", "song"), 400},
      {request_text("GET", "/read/1", "save"), 400},
      {request_text("GET", "/song/1", "read"), 404},
      {request_text("GET", "/", "read"), 404},
      {request_text("POST", "/read/1", "read", "x"), 405},
      {request_text("DELETE", "/read/1", "read"), 405},
      {request_text("PUT", "/save/1", "save", std::string(64 * 1024 + 1, 'x')), 413},
      {"GET /up HTTP/1.1\r\n\r\n", 200},
      {"PUT /up HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405},
  };
  for (const auto& [text, status] : cases) {
    const auto one = client();
    one->ask(text);
    ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; })) << text.substr(0, 200);
    EXPECT_EQ(one->status(), status) << text.substr(0, 200);
  }
  EXPECT_TRUE(cache.requests.empty() && origin.requests.empty());
}

TEST_F(Loopback, ABodyOf64KiBAndRequestsInOneSegmentAreTaken) {
  origin.answer = [](const std::string&) { return response(200, "x"); };
  start();
  const auto one = client();
  const std::string put = request_text("PUT", "/save/1", "save", std::string(64 * 1024, 'x'));
  one->ask(put + put);
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 2; }));
  EXPECT_EQ(one->status(0), 200);
  EXPECT_EQ(one->status(1), 200);
}

// ---- Limits

TEST_F(Loopback, WithNoDescriptorLeftTheListenerWaitsAndGoesOn) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  const auto one = client();
  one->ask(kRead);
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  one->peer->close();
  quiet(50);
  const auto two = client();  // in the listener's queue: the loop has not run since
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const int next = dup(0);
  close(next);
  rlimit none = before;
  none.rlim_cur = static_cast<rlim_t>(next);
  setrlimit(RLIMIT_NOFILE, &none);
  std::size_t handlers = 0;
  const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
  while (std::chrono::steady_clock::now() < until) {
    clock.next_batch();
    io.restart();
    handlers += io.run_one_for(std::chrono::milliseconds(10));
  }
  setrlimit(RLIMIT_NOFILE, &before);
  EXPECT_LT(handlers, 200U);  // it did not spin
  two->ask(kRead);
  ASSERT_TRUE(wait_for([&] { return two->answers.size() == 1; }));
  EXPECT_EQ(two->status(), 200);
}

TEST_F(Loopback, MoreClientsThanDescriptorsTakeTheIdleOnesPlaces) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  nlohmann::json config =
      config_json(text_of(discovery.local_endpoint()),
                  list_json(1, true, {{"s-1", cache.address()}, {"s-o", origin.address(), "origin"}}));
  config["limits"]["sockets"] = 64;  // 16 of them for clients
  settings = parse_settings(config.dump());
  host = std::make_unique<Host>(io, clock, settings);
  std::vector<std::unique_ptr<FakeClient>> all;
  for (int i = 0; i < 40; ++i) {
    all.push_back(client());
    all.back()->ask(kRead);
    ASSERT_TRUE(wait_for([&] { return all.back()->answers.size() == 1; })) << i;
  }
}

// ---- Discovery

class Watched : public Loopback {
 protected:
  void accept() {
    tcp::socket socket(io);
    bool came = false;
    discovery.async_accept(socket, [&](error_code error) { came = !error; });
    ASSERT_TRUE(wait_for([&] { return came; }));
    agent = std::make_shared<Peer>(std::move(socket));
    agent->read([](Peer&) {});
    ASSERT_TRUE(wait_for([&] { return agent->got.find("\r\n\r\n") != std::string::npos; }));
  }
  void begin() { agent->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); }
  void chunk(const std::string& text) {
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    agent->write(size.data() + text + "\r\n");
  }
  // The server that a new read goes to.
  bool read_goes_to(FakeServer& server) {
    const std::size_t before = server.requests.size();
    const auto one = client();
    one->ask(kRead);
    return wait_for([&] { return !one->answers.empty(); }) && server.requests.size() == before + 1;
  }
  std::shared_ptr<Peer> agent;
};

TEST_F(Watched, ChangesAndWholeListsAreTakenThoughTheirLinesAreSplit) {
  cache.answer = origin.answer = [](const std::string&) { return response(200, "x"); };
  FakeServer other(io, [](const std::string&) { return response(200, "y"); });
  start();
  accept();
  EXPECT_EQ(agent->got.rfind("GET /discovery/hosts?watch=1&after=1 ", 0), 0U);
  EXPECT_TRUE(read_goes_to(cache));
  begin();
  const std::string drains =
      list_json(2, false, {{"s-cache", cache.address(), "box", "terminating"}, {"s-new", other.address()}})
          .dump() +
      "\n";
  chunk(drains.substr(0, 30));
  quiet(30);
  chunk(drains.substr(30) + "\n\n");
  quiet(30);
  EXPECT_TRUE(read_goes_to(other));
  // A whole list without s-new: it is gone. s-cache is back, elsewhere.
  FakeServer moved(io, [](const std::string&) { return response(200, "z"); });
  chunk(list_json(3, true, {{"s-cache", moved.address()}, {"s-origin", origin.address(), "origin"}}).dump() +
        "\n");
  quiet(30);
  EXPECT_TRUE(read_goes_to(moved));
}

TEST_F(Watched, AWatchThatEndsOrSpeaksNonsenseIsSetUpAgainAfterTheLastRevision) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  accept();
  begin();
  chunk(list_json(7, false, {}).dump() + "\n");
  quiet(30);
  agent->close();
  accept();
  EXPECT_EQ(agent->got.rfind("GET /discovery/hosts?watch=1&after=7 ", 0), 0U);
  EXPECT_TRUE(read_goes_to(cache));
  begin();
  chunk("{\"revision\": 8, \"complete\": true, \"members\": [{\"id\": 5}]}\n");
  accept();
  EXPECT_EQ(agent->got.rfind("GET /discovery/hosts?watch=1&after=7 ", 0), 0U);
  EXPECT_TRUE(read_goes_to(cache));
  agent->write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  accept();
  EXPECT_TRUE(read_goes_to(cache));
}

TEST_F(Watched, ASilentWatchIsGivenUpAndTheOldListStaysInUse) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  accept();
  begin();
  accept();  // without a line for longer than the empty ones are apart
  EXPECT_TRUE(read_goes_to(cache));
}

TEST_F(Watched, AServerThatDrainsWhileAnAttemptIsHeldForItIsSentNothing) {
  cache.answer = origin.answer = [](const std::string&) { return response(200, "x"); };
  start();
  accept();
  begin();
  chunk(list_json(2, false, {{"s-origin", origin.address(), "origin", "terminating"}}).dump() + "\n");
  quiet(30);
  const auto one = client();
  one->ask(request_text("PUT", "/pay/1", "pay", "x", "1.0"));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  EXPECT_EQ(one->status(), 503);
  EXPECT_TRUE(origin.requests.empty());
}

// ---- The end

TEST_F(Loopback, ToldToStopItAnswersWhatItTookAndWhatStillComes) {
  start();
  const auto busy = client(), idle = client();
  busy->ask(kRead);
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  bool done = false;
  host->drain([&] { done = true; });
  ASSERT_TRUE(wait_for([&] { return idle->peer->ended; }));
  const auto late = client();
  late->ask(request_text("GET", "/read/2", "read"));
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 2; }));
  EXPECT_FALSE(done);
  for (const auto& peer : cache.peers) peer->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return busy->answers.size() == 1 && late->answers.size() == 1; }));
  EXPECT_NE(busy->answers[0].find("Connection: close"), std::string::npos);
  EXPECT_NE(late->answers[0].find("Connection: close"), std::string::npos);
  ASSERT_TRUE(wait_for([&] { return done; }));
  EXPECT_THROW(client(), boost::system::system_error);
}

TEST_F(Loopback, ToldToStopItFailsWhatNobodyAnswersBeforeItIsKilled) {
  start();
  const auto one = client();
  one->ask(request_text("GET", "/read/2", "read", "", "60"));
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  bool done = false;
  host->drain([&] { done = true; });
  ASSERT_TRUE(wait_for([&] { return done; }));
  EXPECT_EQ(one->answers.size(), 1U);
}

TEST_F(Loopback, ToldToStopItWaitsForARequestThatHasBegunToComeIn) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  const auto one = client();
  one->ask(kRead.substr(0, 20));
  quiet(50);
  bool done = false;
  host->drain([&] { done = true; });
  quiet(1'000);  // past the time of accepting
  EXPECT_FALSE(done);
  one->ask(kRead.substr(20));
  ASSERT_TRUE(wait_for([&] { return done; }));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  EXPECT_EQ(one->status(), 200);
}

TEST_F(Loopback, ToldToStopItDoesNotWaitForEverForAClientThatStandsStill) {
  start();
  const auto one = client();
  one->ask("GET /read/1 HT");
  quiet(50);
  bool done = false;
  host->drain([&] { done = true; });
  EXPECT_TRUE(wait_for([&] { return done; }));
}

// ---- The program

int exit_code(const std::string& command) {
  const int status = std::system(command.c_str());
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(Program, ABadConfigurationEndsItWithOneLine) {
  const auto folder = std::filesystem::path(::testing::TempDir());
  const std::string config = (folder / ("streampick_config_" + std::to_string(::getpid()))).string();
  const std::string log = config + ".err";
  const std::string run = "NODE_CONFIG='" + config + "' " STREAMPICK_ROUTER " 2> '" + log + "'";
  std::filesystem::remove(config);
  for (const std::string text : {"", "{", "{}", "[]", "{\"settings\": 5, \"listen\": 3}"}) {
    if (!text.empty()) std::ofstream(config) << text;
    EXPECT_EQ(exit_code(run), 2) << text;
    std::ifstream lines(log);
    std::string line;
    EXPECT_TRUE(std::getline(lines, line) && line.find("configuration") != std::string::npos) << line;
    EXPECT_FALSE(std::getline(lines, line)) << line;
  }
  EXPECT_EQ(exit_code("env -u NODE_CONFIG " STREAMPICK_ROUTER " 2> /dev/null"), 2);
}

TEST(Program, SigtermEndsItWithZero) {
  const auto config =
      std::filesystem::path(::testing::TempDir()) / ("streampick_term_" + std::to_string(::getpid()));
  std::ofstream(config) << config_json("127.0.0.1:1", list_json(1, true, {})).dump();
  EXPECT_EQ(exit_code("NODE_CONFIG='" + config.string() +
                      "' timeout --preserve-status -s TERM 2 " STREAMPICK_ROUTER " 2> /dev/null"),
            0);
}

TEST(NodeSettings, AreReadAsTheWiresAreAndUnknownKeysAreSkipped) {
  const NodeSettings settings = parse_settings(
      config_json("127.0.0.1:9",
                  list_json(41, true, {{"s-1", "127.0.0.1:8", "origin", "terminating", 1'700}}))
          .dump());
  const Config& config = settings.settings.config;
  EXPECT_EQ(settings.name, "n1");
  EXPECT_EQ(settings.sockets, 256U);
  EXPECT_EQ(config.origin_kind, 1U);
  EXPECT_TRUE(config.aside && config.can_copy && config.can_cancel && !config.must_ask);
  EXPECT_EQ(config.max_retry_after, 2'000'000);
  EXPECT_EQ(config.dial_time_out, 250'000);
  EXPECT_EQ(settings.settings.drain_grace, 2'000'000);
  ASSERT_EQ(config.classes.size(), 3U);
  EXPECT_EQ(config.classes[1].effect, Effect::keyed);
  EXPECT_EQ(settings.settings.names.zones, (std::vector<std::string>{"a", "b"}));
  ASSERT_EQ(settings.known.members.size(), 1U);
  EXPECT_EQ(settings.known.revision, 41U);
  EXPECT_EQ(settings.known.members[0].member.phase, Phase::draining);
  EXPECT_EQ(settings.known.members[0].member.kind, 1U);
  EXPECT_EQ(settings.known.members[0].member.started, 1'700'000);
}

}  // namespace
}  // namespace streampick::node::test
