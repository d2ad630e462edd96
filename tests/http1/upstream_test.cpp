// Connections to servers over loopback sockets.
#include <unistd.h>

#include "http1/one_server.h"

namespace streampick::test {
namespace {

TEST_F(Loopback, SequentialRequestsWithPauses_UseOneConnection) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  const auto one = client();
  for (std::size_t i = 1; i <= 5; ++i) {
    one->ask(a_read());
    ASSERT_TRUE(wait_for([&] { return one->answers.size() == i; }));
    quiet(30);
  }
  EXPECT_EQ(cache.requests.size(), 5U);
  EXPECT_EQ(cache.peers.size(), 1U);
}

// A quick server answers within the settle time of a connection: a few more connections are established.
TEST_F(Loopback, SequentialRequestsWithoutPauses_UseAFewConnections) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  const auto one = client();
  for (std::size_t i = 1; i <= 200; ++i) {
    one->ask(a_read());
    ASSERT_TRUE(wait_for([&] { return one->answers.size() == i; }));
  }
  EXPECT_EQ(cache.requests.size(), 200U);
  EXPECT_GT(cache.peers.size(), 1U);
  EXPECT_LE(cache.peers.size(), 64U);
  for (std::size_t i = 0; i < 200; ++i) EXPECT_EQ(one->status(i), 200);
}

TEST_F(Loopback, IdleConnectionClosedByServer_IsNotUsedAgain) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  const auto one = client();
  one->ask(a_read());
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
  cache.peers[0]->close();
  ASSERT_TRUE(wait_for([&] { return host->upstream_resources().connections.open() == 0; }));
  one->ask(a_read());
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 2; }));
  EXPECT_EQ(one->status(1), 200);
  EXPECT_EQ(host->counts().outcomes[static_cast<std::size_t>(Outcome::reset)], 0U);
}

class UpstreamTest : public ToOneServer {
 protected:
  UpstreamTest() { record.connect_timeout = 250'000; }
};

TEST_F(UpstreamTest, ConnectTimeout_EndsAttemptAsConnectFailed) {
  upstream.set_address(full.address());
  send(0);
  EXPECT_TRUE(record.ended.empty());
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::connect_failed);
  EXPECT_EQ(record.connections.open(), 0U);
}

TEST_F(UpstreamTest, AttemptQueuedDuringConnect_TakesFirstIdleConnection) {
  record.connect_timeout = 60'000'000;
  upstream.set_address(full.address());
  send(0);
  const auto ours = [&]() -> Peer* {
    for (const auto& peer : full.peers)
      if (!peer->got.empty()) return peer.get();
    return nullptr;
  };
  // Accepting the connections that fill the listener's queue lets the upstream's first connection in.
  for (int i = 0; i < 8 && ours() == nullptr; ++i) {
    const std::size_t before = full.peers.size();
    full.take_one();
    ASSERT_TRUE(wait_for([&] { return full.peers.size() > before; }));
    quiet(20);
  }
  ASSERT_TRUE(wait_for([&] { return ours() != nullptr; }));
  full.fill();  // again: the next dial is not made
  quiet(50);
  send(1);
  EXPECT_EQ(record.connect_attempts, 2U);
  Peer& first = *ours();
  first.got.clear();
  first.write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return !first.got.empty(); }));
  first.write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 2; }));
  EXPECT_EQ(record.ended[1].second, Outcome::served);
}

TEST_F(UpstreamTest, DrainGracePeriodOver_QueuedAttemptEndsAsNotSent) {
  send(0);  // its connection is not made before the loop runs
  upstream.stop_sending_at(clock.now());
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::not_sent);
  quiet();
  EXPECT_TRUE(cache.requests.empty());
}

TEST_F(UpstreamTest, TimedOutAttempt_ClosesConnectionWithoutOutcome) {
  send(0);
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  upstream.cancel({1, 0}, engine::CancelReason::timed_out);
  ASSERT_TRUE(wait_for([&] { return cache.open() == 0; }));
  EXPECT_TRUE(record.ended.empty());
}

TEST_F(UpstreamTest, CancelUnsent_RemovesQueuedButNotWrittenAttempts) {
  send(0);  // its connection is not made before the loop runs
  EXPECT_TRUE(upstream.cancel_unsent({1, 0}));
  EXPECT_FALSE(upstream.cancel_unsent({1, 0}));
  ASSERT_TRUE(wait_for([&] { return cache.peers.size() == 1; }));  // the dial went on
  quiet();
  EXPECT_TRUE(cache.requests.empty());
  send(1);
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  EXPECT_FALSE(upstream.cancel_unsent({1, 1}));
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].first.number, 1U);
  EXPECT_EQ(cache.peers.size(), 1U);
}

TEST_F(UpstreamTest, IdleConnections_AreUsedLastInFirstOutAndClosedWhenUnused) {
  send(0);
  send(1);
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 2; }));
  cache.peers[1]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  const Time first_idle = clock.now();
  quiet(20);
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 2; }));
  quiet(40);  // both have been quiet for long enough
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

TEST_F(UpstreamTest, InterimResponses_AreSkippedAndConnectionCloseIsHonoured) {
  send(0);
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  cache.peers[0]->write("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n");
  quiet(30);
  EXPECT_TRUE(record.ended.empty());
  cache.peers[0]->write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nwhole");
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::served);
  EXPECT_EQ(record.bodies[0], "whole");
  EXPECT_EQ(record.connections.open(), 0U);
}

// Such a body ends with its connection. A server that dies resets the connection: the rest is missing.
TEST_F(UpstreamTest, UnframedBody_IsCompleteWhenConnectionCloses) {
  send(0);
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  cache.peers[0]->write("HTTP/1.1 200 OK\r\n\r\nuntil the end");
  cache.peers[0]->close();
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::served);
  EXPECT_EQ(record.bodies[0], "until the end");
  EXPECT_EQ(record.connections.open(), 0U);
}

TEST_F(UpstreamTest, UnframedBody_IsNotServedWhenConnectionIsReset) {
  send(0);
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  cache.peers[0]->write("HTTP/1.1 200 OK\r\n\r\nuntil the end");
  quiet(10);
  cache.peers[0]->socket.set_option(asio::socket_base::linger(true, 0));
  cache.peers[0]->close();
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::reset);
  EXPECT_TRUE(record.bodies[0].empty());
}

TEST_F(UpstreamTest, MalformedResponse_EndsAttemptAndClosesConnection) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  std::string interim;
  for (int i = 0; i < 100; ++i) interim += "HTTP/1.1 103 Early Hints\r\n\r\n";
  const std::vector<std::string> forms = {
      "\x8f\x01 noise \xff\r\n\r\n",
      "ICY 200 OK\r\nContent-Length: 1\r\n\r\nx",
      "HTTP/1.1 OK 200\r\nContent-Length: 1\r\n\r\nx",
      "HTTP/1.1 2x0 OK\r\nContent-Length: 1\r\n\r\nx",
      ok + "no colon\r\nContent-Length: 1\r\n\r\nx",
      ok + "X-Pad: " + std::string(20'000, 'p'),
      ok + "Content-Length: 3000000000\r\n\r\n" + std::string(5'000, 'x'),
      ok + "Content-Length: -1\r\nContent-Length: 1\r\n\r\nx",
      ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
      ok + "Content-Length: 1, 1\r\n\r\nx",
      ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
      ok + "Transfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
      ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\nabcde\r\n0\r\n\r\n",
      interim + response(200, "x"),
  };
  for (std::size_t i = 0; i < forms.size(); ++i) {
    send(static_cast<std::uint32_t>(i));
    ASSERT_TRUE(wait_for([&] { return cache.requests.size() == i + 1; }));
    cache.peers[i]->write(forms[i]);
    ASSERT_TRUE(wait_for([&] { return record.ended.size() == i + 1; })) << forms[i].substr(0, 80);
    EXPECT_EQ(record.ended[i].second, Outcome::malformed) << forms[i].substr(0, 80);
    EXPECT_EQ(record.connections.open(), 0U);
  }
}

// A second response or noise right behind a response must not be taken for the next request's response.
TEST_F(UpstreamTest, BytesBehindAResponse_AreNotTheNextResponse) {
  for (const bool together : {true, false}) {
    quiet(30);  // what answered last may be used again
    const std::size_t n = record.ended.size(), peers = cache.peers.size();
    send(static_cast<std::uint32_t>(n));
    ASSERT_TRUE(wait_for([&] { return cache.requests.size() == n + 1; }));
    cache.peers.back()->write(response(200, "first") + (together ? response(200, "stray") : ""));
    ASSERT_TRUE(wait_for([&] { return record.ended.size() == n + 1; }));
    EXPECT_EQ(record.bodies[n], "first");
    if (!together) {
      cache.peers.back()->write(response(200, "stray"));
      ::usleep(50'000);  // there, and not yet read: the loop does not run
    }
    send(static_cast<std::uint32_t>(n + 1));
    ASSERT_TRUE(wait_for([&] { return cache.requests.size() == n + 2; }));
    EXPECT_EQ(cache.peers.size(), std::max<std::size_t>(peers, 1) + 1);  // on a new connection
    cache.peers.back()->write(response(200, "second"));
    ASSERT_TRUE(wait_for([&] { return record.ended.size() == n + 2; }));
    EXPECT_EQ(record.ended[n + 1].second, Outcome::served);
    EXPECT_EQ(record.bodies[n + 1], "second");
  }
}

TEST_F(UpstreamTest, ResponseBeforeRequestIsWritten_IsMalformed) {
  forward->operation = engine::Operation::write;
  forward->body.assign(32 * 1024 * 1024, 'x');  // more than the sockets between can hold
  net::tcp::acceptor strict(io, any_port());
  upstream.set_address(text_of(strict.local_endpoint()));
  net::tcp::socket taken(io);
  strict.async_accept(taken, [](net::error_code) {});
  send(0);
  ASSERT_TRUE(wait_for([&] { return taken.is_open() && taken.available() > 0; }));
  asio::write(taken, asio::buffer(response(200, "early")));
  quiet();
  EXPECT_TRUE(record.ended.empty());
  std::vector<char> sink(1024 * 1024);
  std::function<void()> take = [&] {
    taken.async_read_some(asio::buffer(sink), [&](net::error_code error, std::size_t) {
      if (!error) take();
    });
  };
  take();
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::malformed);  // all of it went out: it may have run
  EXPECT_TRUE(record.bodies[0].empty());
  quiet();
}

TEST_F(UpstreamTest, Status400_IsInvalidRequestAndKeepsConnection) {
  send(0);
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  cache.peers[0]->write(response(400));
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::invalid_request);
  EXPECT_EQ(record.connections.open(), 1U);
}

TEST_F(UpstreamTest, NoDescriptorLeft_EndsAttemptAsConnectFailed) {
  record.connections.set_limit(0);
  send(0);
  EXPECT_TRUE(record.ended.empty());  // not from within send
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::connect_failed);
  EXPECT_TRUE(cache.peers.empty());
}

TEST_F(UpstreamTest, ServerClosesBeforeRequestIsWritten_EndsAttemptAsConnectFailed) {
  // More than the socket buffers hold, so that the last byte is never written.
  forward->operation = engine::Operation::write;
  forward->body.assign(32 * 1024 * 1024, 'x');
  net::tcp::acceptor strict(io, any_port());
  upstream.set_address(text_of(strict.local_endpoint()));
  net::tcp::socket taken(io);
  strict.async_accept(taken, [](net::error_code) {});
  send(0);
  ASSERT_TRUE(wait_for([&] { return taken.is_open(); }));
  quiet();
  taken.close();
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::connect_failed);
}

}  // namespace
}  // namespace streampick::test
