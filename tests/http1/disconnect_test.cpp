// Closes of client connections by the client or the router that race with a request, a response or a graceful
// shutdown, over loopback sockets.
#include <unistd.h>

#include <thread>

#include "http1/client_connection.h"
#include "http1/one_server.h"
#include "support/refusing_port.h"

namespace streampick::test {
namespace {

// The number of reads that fill the initial concurrency limit of one server.
constexpr std::size_t kInitialConcurrency = 3;

class GracefulShutdown : public ClientConnection {};
class ClientDisconnect : public ClientConnection {};

// ---- Graceful shutdown

TEST_F(GracefulShutdown, UnreadRequest_IsServed) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  const auto idle = client();
  idle->ask(a_read());
  ASSERT_TRUE(wait_for([&] { return idle->answers.size() == 1; }));
  idle->ask(a_read());  // not read by the router: the event loop does not run
  ::usleep(20'000);
  drain();
  ASSERT_TRUE(wait_for([&] { return idle->answers.size() == 2; }));
  EXPECT_EQ(idle->status(1), 200);
  EXPECT_NE(idle->answers[1].find("Connection: close"), std::string::npos);
  EXPECT_TRUE(wait_for([&] { return drained; }));
}

TEST_F(GracefulShutdown, PipelinedRequest_IsServed) {
  start();
  const auto http_client = client();
  http_client->ask(a_read() + request_text("GET", "/read/2", "read"));
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  drain();
  cache.answer = [](const std::string&) { return response(200, "x"); };
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return http_client->answers.size() == 2; }));
  EXPECT_EQ(http_client->answers[0].find("Connection: close"), std::string::npos);
  EXPECT_NE(http_client->answers[1].find("Connection: close"), std::string::npos);
  EXPECT_TRUE(wait_for([&] { return drained; }));
}

// The first request is rejected within the call that read both requests.
TEST_F(GracefulShutdown, PipelinedRequestOfTheSameRead_IsServed) {
  start();
  const auto http_client = client();
  quiet(20);
  drain();
  http_client->ask("GET /up HTTP/1.1\r\n\r\n" + a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return http_client->answers.size() == 2; }));
  EXPECT_EQ(http_client->status(0), 503);
  EXPECT_EQ(http_client->status(1), 200);
  EXPECT_TRUE(wait_for([&] { return drained; }));
}

// A close without a response would count as a rejected request.
TEST_F(GracefulShutdown, NewConnection_IsServedWithinTheDrainGrace) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  const auto http_client = client();
  quiet(20);  // accepted, and no bytes have been received
  drain();
  quiet(100);
  EXPECT_FALSE(http_client->peer->ended);
  http_client->ask(a_read());
  ASSERT_TRUE(wait_for([&] { return http_client->answers.size() == 1; }));
  EXPECT_EQ(http_client->status(), 200);
  EXPECT_TRUE(wait_for([&] { return drained; }));
}

TEST_F(GracefulShutdown, ConnectionInTheListenQueue_IsServed) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  drain();
  quiet(300);
  // Connected by the kernel. The event loop does not run until accepting has ended.
  const auto http_client = client();
  http_client->ask(a_read());
  ::usleep(300'000);
  ASSERT_TRUE(wait_for([&] { return http_client->answers.size() == 1; }));
  EXPECT_EQ(http_client->status(), 200);
  EXPECT_TRUE(wait_for([&] { return drained; }));
}

// The client sends the request again on another connection, so it must not be forwarded. The close must not
// be a reset, which could discard a response.
TEST_F(GracefulShutdown, RequestThatCrossesTheCloseOfAnIdleConnection_IsNotForwarded) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  Raw http_client(io, host->address());
  http_client.write(a_read());
  ASSERT_TRUE(wait_for([&] { return host->counts().served == 1; }));
  quiet(20);
  drain();
  http_client.write(a_read());  // the router's close has not been read yet
  ::usleep(20'000);
  http_client.take();
  EXPECT_NE(http_client.got.find("200"), std::string::npos);
  EXPECT_EQ(http_client.end, asio::error::eof);
  expect_no_further_requests(1);
  EXPECT_TRUE(wait_for([&] { return drained; }));
}

// A close with unread bytes makes the kernel reset the connection, which discards the bytes that the client
// has not read yet.
TEST_F(GracefulShutdown, ClientThatKeepsSending_ReceivesItsLastResponse) {
  const std::string body = pattern(200'000);
  cache.answer = [&](const std::string&) { return response(200, body); };
  start();
  Raw http_client(io, host->address());
  http_client.write(request_text("GET", "/read/1", "read", "", "8.0", "Connection: close\r\n"));
  ASSERT_TRUE(wait_for([&] { return host->counts().served == 1; }));
  http_client.write(std::string(100'000, 'x'));
  drain();
  ASSERT_TRUE(wait_for_end(http_client));
  EXPECT_EQ(http_client.end, asio::error::eof);
  ASSERT_GE(http_client.got.size(), body.size());
  EXPECT_TRUE(http_client.got.compare(http_client.got.size() - body.size(), body.size(), body) == 0);
  http_client.socket.close();
  EXPECT_TRUE(wait_for([&] { return drained; }));
}

// When the shutdown is complete the process exits, which closes the remaining connections, some by a reset.
TEST_F(GracefulShutdown, LastResponseNotReceived_DelaysTheEnd) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  Raw http_client(io, host->address());
  drain();
  quiet(450);
  http_client.write(a_read());
  ASSERT_TRUE(wait_for([&] { return host->counts().served == 1; }));
  EXPECT_FALSE(drained);
  quiet(600);  // longer than the time until accepting ends
  EXPECT_FALSE(drained);
  http_client.take();
  EXPECT_EQ(http_client.end, asio::error::eof);
  http_client.socket.close();
  EXPECT_TRUE(wait_for([&] { return drained; }));
}

TEST_F(GracefulShutdown, FloodingClient_DoesNotDelayTheEnd) {
  start();
  Raw http_client(io, host->address());
  http_client.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  bool stop = false;
  std::thread flood([&] {
    const std::string much(64 * 1024, 'x');
    net::error_code error;
    while (!stop && !error) asio::write(http_client.socket, asio::buffer(much), error);
  });
  quiet(50);
  drain();
  cache.peers[0]->write(response(200, "x"));
  EXPECT_TRUE(wait_for([&] { return drained; }));
  stop = true;
  host.reset();
  flood.join();
}

// The process may be killed 0.7 s after the longest deadline. With short deadlines that is soon, and all
// accepted requests must be answered by then.
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
  const Time drain_started_at = clock.now();
  drain();
  quiet(400);
  for (int i = 0; i < 4; ++i) ask();
  ASSERT_TRUE(wait_for([&] { return drained; }));
  EXPECT_LT(clock.now() - drain_started_at, 1'700'000);
  for (const auto& http_client : all) EXPECT_EQ(http_client->answers.size(), 1U);
  EXPECT_EQ(host->counts().requests, all.size());
}

// ---- Clients that disconnect

// The protocol treats a client that closes its connection as disconnected. A half close looks the same to the
// router.
TEST_F(ClientDisconnect, HalfClose_CancelsTheRequest) {
  start();
  Raw http_client(io, host->address());
  http_client.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  http_client.socket.shutdown(net::tcp::socket::shutdown_send);
  ASSERT_TRUE(wait_for([&] { return host->counts().cancelled_by_client == 1; }));
  ASSERT_TRUE(wait_for_end(http_client));
  expect_no_further_requests(1);
}

TEST_F(ClientDisconnect, RequestAndCloseInOneRead_StartAtMostOneAttempt) {
  start();
  Raw http_client(io, host->address());
  http_client.write(a_read());
  http_client.socket.close();
  ASSERT_TRUE(wait_for([&] { return host->counts().cancelled_by_client == 1; }));
  EXPECT_LE(cache.requests.size(), 1U);
  expect_no_further_requests(cache.requests.size());
}

// Pipelined bytes must not hide the disconnect: it must be detected before the hedge would be sent.
TEST_F(ClientDisconnect, FloodingClientDisconnects_NoHedgeIsSent) {
  start();
  std::size_t asked = 0;
  for (const std::size_t ahead : {std::size_t{100'000}, std::size_t{900'000}}) {
    for (const Way way : {Way::fin, Way::reset}) {
      Raw http_client(io, host->address());
      http_client.write(request_text("GET", "/read/" + std::to_string(ahead), "read"));
      ASSERT_TRUE(wait_for([&] { return cache.requests.size() == asked + 1; }));
      ++asked;
      std::thread flood([&] {
        http_client.write(std::string(ahead, 'x'));
        http_client.go(way);
      });
      EXPECT_TRUE(wait_for([&] { return host->counts().cancelled_by_client == asked; })) << ahead;
      flood.join();
      EXPECT_EQ(host->counts().attempts, asked) << ahead;
    }
  }
  expect_no_further_requests(asked);
}

// More bytes were pipelined than the router reads, so the periodic check must detect the disconnect.
TEST_F(ClientDisconnect, FloodingClientThatIsNoLongerRead_DisconnectIsDetected) {
  start();
  Raw http_client(io, host->address());
  http_client.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  http_client.socket.non_blocking(true);
  const std::string much(64 * 1024, 'x');
  net::error_code error;
  for (int full = 0; full < 20; error ? ++full : 0) {  // until the buffers on both sides are full
    http_client.socket.write_some(asio::buffer(much), error);
    quiet(1);
  }
  http_client.reset();
  EXPECT_TRUE(wait_for([&] { return host->counts().cancelled_by_client == 1; }));
  EXPECT_EQ(host->counts().attempts, 1U);
  expect_no_further_requests(1);
}

// Guards against pipelined requests that are sent on although their client has gone, where its FIN stands
// behind more bytes than the router reads.
TEST_F(ClientDisconnect, FinBehindUnreadBytes_PipelinedRequestsAreNotForwarded) {
  start();
  std::size_t forwarded = 1;
  Raw http_client(io, host->address());
  http_client.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == forwarded; }));
  std::string pipelined;
  for (int i = 0; i < 20; ++i) pipelined += request_text("GET", "/read/" + std::to_string(i + 100), "read");
  http_client.write(pipelined);
  http_client.socket.non_blocking(true);
  const std::string much(64 * 1024, 'x');
  net::error_code error;
  for (int full = 0; full < 20; error ? ++full : 0) {  // until the buffers on both sides are full
    http_client.socket.write_some(asio::buffer(much), error);
    quiet(1);
  }
  http_client.socket.close();
  quiet(200);
  forwarded = cache.requests.size() + origin.requests.size();  // the first one's hedges
  cache.answer = [](const std::string&) { return response(200, "value"); };
  for (FakeServer* server : {&cache, &origin})
    for (const auto& peer : server->peers) peer->write(response(200, "value"));
  expect_no_further_requests(forwarded);
}

// Bytes are discarded while the response is written. Bytes after the gap must not be parsed as the rest of
// the request before the gap.
TEST_F(ClientDisconnect, DiscardedBytes_NoRequestAfterThemIsRead) {
  const std::string body(1'000'000, 'x');
  cache.answer = [&](const std::string&) { return response(200, body); };
  start();
  // Enough for the response, and not for pipelined bytes.
  host->upstream_resources().body_memory.set_limit(1'050'000);
  Raw http_client(io);
  http_client.socket.open(net::tcp::v4());
  http_client.socket.set_option(asio::socket_base::receive_buffer_size(4'096));
  http_client.socket.connect(host->address());
  http_client.write(a_read());
  ASSERT_TRUE(wait_for([&] { return host->counts().served == 1; }));
  // The first part of a request before the gap, and after it a request that would be taken for its last
  // lines.
  const std::string cut =
      request_text("GET", "/read/2", "read", "", "8.0", "X-Pad: " + std::string(12'000, 'p'));
  http_client.write(cut.substr(0, cut.size() - 100));
  quiet(30);
  http_client.write(std::string(40'000, 'p'));
  quiet(30);
  http_client.write("\r\n\r\n" + request_text("GET", "/read/3", "read"));
  ASSERT_TRUE(wait_for_end(http_client));
  EXPECT_GT(http_client.got.size(), body.size());
  expect_no_further_requests(1);
}

class DisconnectWhileWaiting : public ClientConnection, public ::testing::WithParamInterface<int> {
 protected:
  void disconnect(Raw& http_client) {
    http_client.go(GetParam() == 0 ? Way::fin : Way::reset);
    ASSERT_TRUE(wait_for([&] { return host->counts().cancelled_by_client >= 1; }));
  }
};
INSTANTIATE_TEST_SUITE_P(FinAndReset, DisconnectWhileWaiting, ::testing::Values(0, 1));

// A second server also has the key and would get the hedge.
TEST_P(DisconnectWhileWaiting, ForTheHedgeTimer_NoHedgeIsSent) {
  FakeServer second(io);
  start(list_json(
      1, true, {{"s-1", cache.address()}, {"s-2", second.address()}, {"s-o", origin.address(), "origin"}}));
  Raw http_client(io, host->address());
  http_client.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() + second.requests.size() == 1; }));
  disconnect(http_client);
  expect_no_further_requests(cache.requests.size());
  EXPECT_EQ(cache.requests.size() + second.requests.size(), 1U);
  EXPECT_EQ(host->counts().attempts, 1U);
}

TEST_P(DisconnectWhileWaiting, InTheAdmissionQueue_RequestIsNeverForwarded) {
  start();
  std::vector<std::unique_ptr<FakeClient>> busy;
  for (std::size_t i = 0; i < kInitialConcurrency; ++i) {
    busy.push_back(client());
    busy.back()->ask(request_text("GET", "/read/" + std::to_string(i), "read"));
  }
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == kInitialConcurrency; }));
  Raw http_client(io, host->address());
  http_client.write(request_text("GET", "/read/77", "read"));
  ASSERT_TRUE(wait_for([&] { return host->counts().requests == kInitialConcurrency + 1; }));
  quiet(20);
  ASSERT_EQ(cache.requests.size(), kInitialConcurrency);  // the new request is queued
  disconnect(http_client);
  for (const auto& peer : cache.peers) peer->write(response(200, "x"));
  for (const auto& other : busy) ASSERT_TRUE(wait_for([&] { return other->answers.size() == 1; }));
  expect_no_further_requests(kInitialConcurrency);
}

// The origin is unreachable; the retry is scheduled.
TEST_P(DisconnectWhileWaiting, ForARetry_RequestIsNeverForwarded) {
  RefusingPort closed(io);
  start(list_json(1, true, {{"s-1", cache.address()}, {"s-o", closed.address(), "origin"}}));
  Raw http_client(io, host->address());
  http_client.write(request_text("PUT", "/pay/1", "pay", "x"));
  const auto failed = [&] {
    return host->counts().outcomes[static_cast<std::size_t>(Outcome::connect_failed)];
  };
  ASSERT_TRUE(wait_for([&] { return failed() == 1; }));
  const std::uint64_t connects_before = host->upstream_resources().connect_attempts;
  disconnect(http_client);
  bool connected = false;
  closed.listen().async_accept([&](net::error_code error, net::tcp::socket) { connected = !error; });
  quiet(1'000);
  EXPECT_EQ(host->upstream_resources().connect_attempts, connects_before);
  EXPECT_FALSE(connected);
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
  Raw http_client(io, host->address());
  http_client.write(a_read());
  ASSERT_TRUE(wait_for([&] { return host->upstream_resources().connect_attempts == 1; }));
  disconnect(http_client);
  full.open();
  quiet(2'500);  // longer than the kernel's next two SYNs
  EXPECT_EQ(full.requests(), 0U);
}

}  // namespace
}  // namespace streampick::test
