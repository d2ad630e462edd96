// Ends of clients' connections, theirs and ours, that cross a request, an answer or a signal to stop; over
// loopback sockets, each crossing brought about by the order in which both sides are let run.
#include "http1/leaving.h"

#include <unistd.h>

#include <thread>

#include "http1/one_server.h"

namespace streampick::test {
namespace {

constexpr std::size_t kEnough = 3;  // more reads than the first limit on cache work lets out at one server

// ---- Told to stop

TEST_F(Leaving, ARequestThatIsThereUnreadWhenToldToStopIsServed) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  const auto resting = client();
  resting->ask(a_read());
  ASSERT_TRUE(wait_for([&] { return resting->answers.size() == 1; }));
  resting->ask(a_read());  // in the kernel's hands: the loop does not run
  ::usleep(20'000);
  drain();
  ASSERT_TRUE(wait_for([&] { return resting->answers.size() == 2; }));
  EXPECT_EQ(resting->status(1), 200);
  EXPECT_NE(resting->answers[1].find("Connection: close"), std::string::npos);
  EXPECT_TRUE(wait_for([&] { return done; }));
}

TEST_F(Leaving, ASecondRequestBehindTheFirstIsAnsweredTooWhenToldToStop) {
  start();
  const auto one = client();
  one->ask(a_read() + request_text("GET", "/read/2", "read"));
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  drain();
  cache.answer = [](const std::string&) { return response(200, "x"); };
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 2; }));
  EXPECT_EQ(one->answers[0].find("Connection: close"), std::string::npos);
  EXPECT_NE(one->answers[1].find("Connection: close"), std::string::npos);
  EXPECT_TRUE(wait_for([&] { return done; }));
}

// Refused at once, within the call that read both.
TEST_F(Leaving, ASecondRequestInTheSameReadIsAnsweredTooWhenToldToStop) {
  start();
  const auto one = client();
  quiet(20);
  drain();
  one->ask("GET /up HTTP/1.1\r\n\r\n" + a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 2; }));
  EXPECT_EQ(one->status(0), 503);
  EXPECT_EQ(one->status(1), 200);
  EXPECT_TRUE(wait_for([&] { return done; }));
}

// Closed with no answer, its client would have to count its request as refused.
TEST_F(Leaving, AClientThatHasJustConnectedIsGivenTimeToAsk) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  const auto one = client();
  quiet(20);  // accepted, and nothing of it has come
  drain();
  quiet(100);
  EXPECT_FALSE(one->peer->ended);
  one->ask(a_read());
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  EXPECT_EQ(one->status(), 200);
  EXPECT_TRUE(wait_for([&] { return done; }));
}

TEST_F(Leaving, AClientInTheListenersQueueWhenAcceptingEndsIsServed) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  drain();
  quiet(300);
  const auto one = client();  // connected by the kernel; the loop does not run until accepting has ended
  one->ask(a_read());
  ::usleep(300'000);
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  EXPECT_EQ(one->status(), 200);
  EXPECT_TRUE(wait_for([&] { return done; }));
}

// A client that rests until the router ends the connection, and asks in that very moment. Its request must
// not be sent on, for it will send it again elsewhere; and the end must not be a reset, which could take an
// answer with it.
TEST_F(Leaving, ARequestThatCrossesTheEndOfARestingConnectionIsNotSentOn) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  Raw one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return host->counts().served == 1; }));
  quiet(20);
  drain();
  one.write(a_read());  // the end is on its way, and not seen yet
  ::usleep(20'000);
  one.take();
  EXPECT_NE(one.got.find("200"), std::string::npos);
  EXPECT_EQ(one.end, asio::error::eof);
  expect_nothing_more(1);
  EXPECT_TRUE(wait_for([&] { return done; }));
}

// Bytes that are unread when a connection is closed make the kernel reset it, and what the client has not
// read yet is gone.
TEST_F(Leaving, TheLastAnswerArrivesThoughItsClientSendsOn) {
  const std::string body = pattern(200'000);
  cache.answer = [&](const std::string&) { return response(200, body); };
  start();
  Raw one(io, host->address());
  one.write(request_text("GET", "/read/1", "read", "", "8.0", "Connection: close\r\n"));
  ASSERT_TRUE(wait_for([&] { return host->counts().served == 1; }));
  one.write(std::string(100'000, 'x'));
  drain();
  ASSERT_TRUE(ended(one));
  EXPECT_EQ(one.end, asio::error::eof);
  ASSERT_GE(one.got.size(), body.size());
  EXPECT_TRUE(one.got.compare(one.got.size() - body.size(), body.size(), body) == 0);
  one.socket.close();
  EXPECT_TRUE(wait_for([&] { return done; }));
}

// The process ends when the router is done: that closes what is left, with a reset where bytes are unread.
TEST_F(Leaving, ItIsNotDoneBeforeItsLastAnswerIsTaken) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  Raw one(io, host->address());
  drain();
  quiet(450);
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return host->counts().served == 1; }));
  EXPECT_FALSE(done);
  quiet(600);  // past the end of accepting
  EXPECT_FALSE(done);
  one.take();
  EXPECT_EQ(one.end, asio::error::eof);
  one.socket.close();
  EXPECT_TRUE(wait_for([&] { return done; }));
}

TEST_F(Leaving, AFloodThatGoesDoesNotHoldTheEndOpen) {
  start();
  Raw one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  bool stop = false;
  std::thread flood([&] {
    const std::string much(64 * 1024, 'x');
    net::error_code error;
    while (!stop && !error) asio::write(one.socket, asio::buffer(much), error);
  });
  quiet(50);
  drain();
  cache.peers[0]->write(response(200, "x"));
  EXPECT_TRUE(wait_for([&] { return done; }));
  stop = true;
  host.reset();
  flood.join();
}

// The kill comes no sooner than the longest deadline and 0.7 s after the signal: with short deadlines that is
// soon, and all that was taken has its answer by then.
TEST_F(Leaving, WithShortDeadlinesAllIsAnsweredBeforeTheKillThoughServersHang) {
  nlohmann::json config =
      config_json(text_of(discovery.local_endpoint()),
                  list_json(1, true, {{"s-1", cache.address()}, {"s-o", origin.address(), "origin"}}));
  for (auto& profile : config["settings"]["Profiles"]) profile["HardLimitUs"] = 1'000'000;
  settings = platform::parse_settings(config.dump());
  host = std::make_unique<daemon::Host>(io, clock, settings);
  std::vector<std::unique_ptr<FakeClient>> all;
  const auto ask = [&] {
    all.push_back(client());
    all.back()->ask(all.size() % 2 == 0 ? request_text("PUT", "/pay/1", "pay", "x") : a_read());
  };
  for (int i = 0; i < 4; ++i) ask();
  quiet(20);
  const Time told = clock.now();
  drain();
  quiet(400);
  for (int i = 0; i < 4; ++i) ask();
  ASSERT_TRUE(wait_for([&] { return done; }));
  EXPECT_LT(clock.now() - told, 1'700'000);
  for (const auto& one : all) EXPECT_EQ(one->answers.size(), 1U);
  EXPECT_EQ(host->counts().requests, all.size());
}

// ---- Clients that go

// PROTOCOL: a client that closes its connection has gone away. One that ends its sending is not told apart
// from it: both are the end of what comes from it.
TEST_F(Leaving, AClientThatEndsItsSendingHasGone) {
  start();
  Raw one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  one.socket.shutdown(net::tcp::socket::shutdown_send);
  ASSERT_TRUE(wait_for([&] { return host->counts().cancelled_by_client == 1; }));
  ASSERT_TRUE(ended(one));
  expect_nothing_more(1);
}

TEST_F(Leaving, ItsRequestAndItsEndInOneReadBeginNothingMore) {
  start();
  Raw one(io, host->address());
  one.write(a_read());
  one.socket.close();
  ASSERT_TRUE(wait_for([&] { return host->counts().cancelled_by_client == 1; }));
  EXPECT_LE(cache.requests.size(), 1U);
  expect_nothing_more(cache.requests.size());
}

// Much that it sent ahead must not hide that it has gone: noticed before the copy would go out.
TEST_F(Leaving, AFloodThatGoesWhileItsRequestIsInWorkIsNoticedAndNoCopyIsSent) {
  start();
  std::size_t asked = 0;
  for (const std::size_t ahead : {std::size_t{100'000}, std::size_t{900'000}}) {
    for (const Way way : {Way::fin, Way::reset}) {
      Raw one(io, host->address());
      one.write(request_text("GET", "/read/" + std::to_string(ahead), "read"));
      ASSERT_TRUE(wait_for([&] { return cache.requests.size() == asked + 1; }));
      ++asked;
      std::thread flood([&] {
        one.write(std::string(ahead, 'x'));
        one.go(way);
      });
      EXPECT_TRUE(wait_for([&] { return host->counts().cancelled_by_client == asked; })) << ahead;
      flood.join();
      EXPECT_EQ(host->counts().attempts, asked) << ahead;
    }
  }
  expect_nothing_more(asked);
}

// More than is read on: the end is looked for beside it.
TEST_F(Leaving, AFloodThatIsNoLongerReadIsSeenToGo) {
  start();
  Raw one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  one.socket.non_blocking(true);
  const std::string much(64 * 1024, 'x');
  net::error_code error;
  for (int full = 0; full < 20; error ? ++full : 0) {  // until nobody takes any more
    one.socket.write_some(asio::buffer(much), error);
    quiet(1);
  }
  one.reset();
  EXPECT_TRUE(wait_for([&] { return host->counts().cancelled_by_client == 1; }));
  EXPECT_EQ(host->counts().attempts, 1U);
  expect_nothing_more(1);
}

// Bytes are dropped while the answer is written: what follows the gap must not be read as the rest of what
// stands before it.
TEST_F(Leaving, BehindBytesThatWereDroppedNoRequestIsRead) {
  const std::string body(1'000'000, 'x');
  cache.answer = [&](const std::string&) { return response(200, body); };
  start();
  host->upstream_resources().body_memory.set_limit(
      1'050'000);  // for the answer, and for nothing that is sent ahead
  Raw one(io);
  one.socket.open(net::tcp::v4());
  one.socket.set_option(asio::socket_base::receive_buffer_size(4'096));
  one.socket.connect(host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return host->counts().served == 1; }));
  // A request whose head stands before the gap, and another that would be its last lines.
  const std::string cut =
      request_text("GET", "/read/2", "read", "", "8.0", "X-Pad: " + std::string(12'000, 'p'));
  one.write(cut.substr(0, cut.size() - 100));
  quiet(30);
  one.write(std::string(40'000, 'p'));
  quiet(30);
  one.write("\r\n\r\n" + request_text("GET", "/read/3", "read"));
  ASSERT_TRUE(ended(one));
  EXPECT_GT(one.got.size(), body.size());
  expect_nothing_more(1);
}

class Waiting : public Leaving, public ::testing::WithParamInterface<int> {
 protected:
  void client_goes(Raw& one) {
    one.go(GetParam() == 0 ? Way::fin : Way::reset);
    ASSERT_TRUE(wait_for([&] { return host->counts().cancelled_by_client >= 1; }));
  }
};
INSTANTIATE_TEST_SUITE_P(FinAndReset, Waiting, ::testing::Values(0, 1));

// Another server has the key too, and would be sent the copy.
TEST_P(Waiting, ForACopyItsTimerSendsNothing) {
  FakeServer second(io);
  start(list_json(
      1, true, {{"s-1", cache.address()}, {"s-2", second.address()}, {"s-o", origin.address(), "origin"}}));
  Raw one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() + second.requests.size() == 1; }));
  client_goes(one);
  expect_nothing_more(cache.requests.size());
  EXPECT_EQ(cache.requests.size() + second.requests.size(), 1U);
  EXPECT_EQ(host->counts().attempts, 1U);
}

TEST_P(Waiting, ForAdmissionItIsNeverSentOn) {
  start();
  std::vector<std::unique_ptr<FakeClient>> busy;
  for (std::size_t i = 0; i < kEnough; ++i) {
    busy.push_back(client());
    busy.back()->ask(request_text("GET", "/read/" + std::to_string(i), "read"));
  }
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == kEnough; }));
  Raw one(io, host->address());
  one.write(request_text("GET", "/read/77", "read"));
  ASSERT_TRUE(wait_for([&] { return host->counts().requests == kEnough + 1; }));
  quiet(20);
  ASSERT_EQ(cache.requests.size(), kEnough);  // it stands in line
  client_goes(one);
  for (const auto& peer : cache.peers) peer->write(response(200, "x"));
  for (const auto& other : busy) ASSERT_TRUE(wait_for([&] { return other->answers.size() == 1; }));
  expect_nothing_more(kEnough);
}

// The origin can't be reached; the next try comes after a wait.
TEST_P(Waiting, ForTheNextTryItIsNeverSentOn) {
  net::tcp::acceptor shut(io, any_port());
  const net::tcp::endpoint nowhere = shut.local_endpoint();
  shut.close();
  start(list_json(1, true, {{"s-1", cache.address()}, {"s-o", text_of(nowhere), "origin"}}));
  Raw one(io, host->address());
  one.write(request_text("PUT", "/pay/1", "pay", "x"));
  const auto failed = [&] {
    return host->counts().outcomes[static_cast<std::size_t>(Outcome::connect_failed)];
  };
  ASSERT_TRUE(wait_for([&] { return failed() == 1; }));
  const std::uint64_t dials = host->upstream_resources().connect_attempts;
  client_goes(one);
  net::tcp::acceptor back(io, nowhere);
  bool dialled = false;
  back.async_accept([&](net::error_code error, net::tcp::socket) { dialled = !error; });
  quiet(1'000);
  EXPECT_EQ(host->upstream_resources().connect_attempts, dials);
  EXPECT_FALSE(dialled);
}

// The server's listener is full: the connection is not made until the kernel tries again.
TEST_P(Waiting, ForItsConnectionItIsNeverSentOn) {
  FullListener full(io);
  quiet(20);
  nlohmann::json config =
      config_json(text_of(discovery.local_endpoint()),
                  list_json(1, true, {{"s-1", full.address()}, {"s-o", origin.address(), "origin"}}));
  config["settings"]["PolicyLimits"]["DialTimeoutUs"] = 20'000'000;
  settings = platform::parse_settings(config.dump());
  host = std::make_unique<daemon::Host>(io, clock, settings);
  Raw one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return host->upstream_resources().connect_attempts == 1; }));
  client_goes(one);
  full.open();
  quiet(2'500);  // past the kernel's next two tries
  EXPECT_EQ(full.requests(), 0U);
}

}  // namespace
}  // namespace streampick::test
