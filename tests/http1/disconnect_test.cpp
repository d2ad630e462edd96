// Closes of client connections, by the client and by the router, that race with a request, a response or a
// graceful shutdown; over loopback sockets.
#include <unistd.h>

#include <thread>

#include "http1/client_connection.h"
#include "http1/one_server.h"

namespace streampick::test {
namespace {

// Reads that fill the initial concurrency limit of one server.
constexpr std::size_t kEnough = 3;

class GracefulShutdown : public ClientConnection {};
class ClientDisconnect : public ClientConnection {};

// ---- Graceful shutdown

TEST_F(GracefulShutdown, UnreadRequest_IsServed) {
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

TEST_F(GracefulShutdown, PipelinedRequest_IsServed) {
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

// The first one is rejected within the call that read both.
TEST_F(GracefulShutdown, PipelinedRequestOfTheSameRead_IsServed) {
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

// A close without a response would count as a rejected request.
TEST_F(GracefulShutdown, NewConnection_IsServedWithinTheDrainGrace) {
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

TEST_F(GracefulShutdown, ConnectionInTheListenQueue_IsServed) {
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

// The client sends the request again elsewhere, so it must not be forwarded; and the close must not be a
// reset, which could discard a response.
TEST_F(GracefulShutdown, RequestThatCrossesTheCloseOfAnIdleConnection_IsNotForwarded) {
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

// A close with unread bytes makes the kernel reset the connection, which discards what the client has not
// read.
TEST_F(GracefulShutdown, ClientThatKeepsSending_ReceivesItsLastResponse) {
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

// The process exits when the shutdown is done, which closes the remaining connections, some with a reset.
TEST_F(GracefulShutdown, LastResponseNotReceived_DelaysTheEnd) {
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

TEST_F(GracefulShutdown, FloodingClient_DoesNotDelayTheEnd) {
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

// The process is killed 0.7 s after the longest deadline at the earliest: with short deadlines that is soon,
// and all accepted requests are answered by then.
TEST_F(GracefulShutdown, HangingServersAndShortDeadlines_AllRequestsAreAnsweredInTime) {
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

// ---- Clients that disconnect

// PROTOCOL: a client that closes its connection has gone away. A half close looks the same to the router.
TEST_F(ClientDisconnect, HalfClose_CancelsTheRequest) {
  start();
  Raw one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  one.socket.shutdown(net::tcp::socket::shutdown_send);
  ASSERT_TRUE(wait_for([&] { return host->counts().cancelled_by_client == 1; }));
  ASSERT_TRUE(ended(one));
  expect_nothing_more(1);
}

TEST_F(ClientDisconnect, RequestAndCloseInOneRead_StartAtMostOneAttempt) {
  start();
  Raw one(io, host->address());
  one.write(a_read());
  one.socket.close();
  ASSERT_TRUE(wait_for([&] { return host->counts().cancelled_by_client == 1; }));
  EXPECT_LE(cache.requests.size(), 1U);
  expect_nothing_more(cache.requests.size());
}

// Pipelined bytes must not hide the disconnect: it is detected before the hedge would be sent.
TEST_F(ClientDisconnect, FloodingClientDisconnects_NoHedgeIsSent) {
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

// More was pipelined than is read: the disconnect is polled for.
TEST_F(ClientDisconnect, FloodingClientThatIsNoLongerRead_DisconnectIsDetected) {
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

// Bytes are discarded while the response is written: what follows the gap must not be parsed as the rest of
// what precedes it.
TEST_F(ClientDisconnect, DiscardedBytes_NoRequestBehindThemIsRead) {
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

class DisconnectWhileWaiting : public ClientConnection, public ::testing::WithParamInterface<int> {
 protected:
  void client_goes(Raw& one) {
    one.go(GetParam() == 0 ? Way::fin : Way::reset);
    ASSERT_TRUE(wait_for([&] { return host->counts().cancelled_by_client >= 1; }));
  }
};
INSTANTIATE_TEST_SUITE_P(FinAndReset, DisconnectWhileWaiting, ::testing::Values(0, 1));

// Another server has the key too, and would get the hedge.
TEST_P(DisconnectWhileWaiting, ForTheHedgeTimer_NoHedgeIsSent) {
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

TEST_P(DisconnectWhileWaiting, InTheAdmissionQueue_RequestIsNeverForwarded) {
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
  ASSERT_EQ(cache.requests.size(), kEnough);  // it is queued
  client_goes(one);
  for (const auto& peer : cache.peers) peer->write(response(200, "x"));
  for (const auto& other : busy) ASSERT_TRUE(wait_for([&] { return other->answers.size() == 1; }));
  expect_nothing_more(kEnough);
}

// The origin is unreachable; the retry is scheduled.
TEST_P(DisconnectWhileWaiting, ForARetry_RequestIsNeverForwarded) {
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

// The server's listen queue is full: the connection is established only when the kernel sends another SYN.
TEST_P(DisconnectWhileWaiting, ForAConnection_RequestIsNeverForwarded) {
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
