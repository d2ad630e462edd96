// Races of two events on a connection to a server, over loopback sockets. A scripted peer forces each order.
#include "http1/one_server.h"

namespace streampick::test {
namespace {

class UpstreamRaceTest : public ToOneServer {
 protected:
  UpstreamRaceTest() { record.connect_timeout = 30'000'000; }
  // Waits until the server has received `n` requests, and returns the last one's connection.
  Peer& asked(std::size_t n) {
    EXPECT_TRUE(wait_for([&] { return cache.requests.size() == n; }));
    return *cache.peers.back();
  }
  void served(std::size_t n, const std::string& body) {
    ASSERT_TRUE(wait_for([&] { return record.ended.size() == n; }));
    EXPECT_EQ(record.ended[n - 1].second, Outcome::served);
    EXPECT_EQ(record.bodies[n - 1], body);
  }
};

// ---- Bytes behind a response

// The second response arrives after the next request was sent() and before the loop runs again: before the
// connection has settled.
TEST_F(UpstreamRaceTest, SecondResponseMillisecondsLate_IsNotTheNextResponse) {
  send(0);
  Peer& first = asked(1);
  first.write(response(200, "first"));
  served(1, "first");
  send(1);  // the connection is the only one
  first.write(response(200, "first again"));
  Peer& second = asked(2);
  EXPECT_NE(&second, &first);
  second.write(response(200, "second"));
  served(2, "second");
}

// Where responses take long, a repeatable read uses an unsettled connection; a response that arrives too soon
// is not its own.
TEST_F(UpstreamRaceTest, ResponseTooSoonAfterAnother_IsMalformed) {
  forward->repeatable = true;
  send(0);
  Peer& first = asked(1);
  quiet(60);  // a slow server
  first.write(response(200, "first"));
  served(1, "first");
  send(1);
  EXPECT_EQ(&asked(2), &first);
  first.write(response(200, "first again"));
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 2; }));
  EXPECT_EQ(record.ended[1].second, Outcome::malformed);
  EXPECT_TRUE(record.bodies[1].empty());
  EXPECT_EQ(record.connections.open(), 0U);
  send(2);
  Peer& next = asked(3);
  quiet(60);
  next.write(response(200, "its own"));
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 3; }));
  EXPECT_EQ(record.bodies[2], "its own");
}

TEST_F(UpstreamRaceTest, SettledConnection_IsUsedAgain) {
  for (std::uint32_t i = 0; i < 5; ++i) {
    send(i);
    asked(i + 1).write(response(200, std::to_string(i)));
    served(i + 1, std::to_string(i));
    quiet(30);
  }
  EXPECT_EQ(record.connect_attempts, 1U);
}

// Without a descriptor for another connection, an attempt waits for the only one to settle. It must be sent
// when that one stays, and also when it closes.
TEST_F(UpstreamRaceTest, OnlyConnectionSettlesOrCloses_QueuedAttemptIsServed) {
  record.connections.set_limit(1);
  std::uint32_t n = 0;
  for (const bool ends : {false, true}) {
    send(n++);
    Peer& first = asked(n);
    first.write(response(200, "first"));
    served(n, "first");
    send(n++);
    if (ends) first.close();
    asked(n).write(response(200, "second"));
    served(n, "second");
    quiet(30);
  }
  EXPECT_EQ(record.connect_attempts, 2U);
}

// The server closes an idle connection while the request is written: the request may have been executed.
TEST_F(UpstreamRaceTest, IdleCloseCrossingTheRequest_EndsAttemptAsReset) {
  send(0);
  Peer& first = asked(1);
  first.write(response(200, "first"));
  served(1, "first");
  quiet(40);
  send(1);        // written here and now
  first.close();  // over unread bytes: a reset
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 2; }));
  EXPECT_EQ(record.ended[1].second, Outcome::reset);
}

// The response's head states no length, and the connection is reset in its body.
TEST_F(UpstreamRaceTest, UnframedResponseResetMidway_EndsAttemptAsReset) {
  send(0);
  Peer& peer = asked(1);
  peer.write("HTTP/1.1 200 OK\r\nX-Found: hit\r\n\r\nhalf of");
  quiet(10);
  peer.socket.set_option(asio::socket_base::linger(true, 0));
  peer.close();
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::reset);
  EXPECT_TRUE(record.bodies[0].empty());
}

TEST_F(UpstreamRaceTest, MalformedHeadBehindAResponse_AffectsNeitherResponse) {
  send(0);
  Peer& first = asked(1);
  first.write(response(200, "good") + "HTTP/1.1 2x0 OK\r\n");
  served(1, "good");
  quiet(40);
  send(1);
  Peer& second = asked(2);
  EXPECT_NE(&second, &first);  // what came behind is the head of nobody's answer: its rest may be on its way
  second.write(response(200, "other"));
  served(2, "other");
}

// ---- Connections that are established late

// The window of an idempotent retry ends while its connection is established.
TEST_F(UpstreamRaceTest, BeginDeadlinePassesDuringConnect_NothingIsWritten) {
  upstream.set_address(full.address());
  send(0, clock.now() + 100'000);
  quiet(150);
  EXPECT_TRUE(record.ended.empty());
  full.open();
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::not_sent);
  quiet(50);
  EXPECT_EQ(full.requests(), 0U);
}

TEST_F(UpstreamRaceTest, AttemptCancelledDuringConnect_NothingIsWritten) {
  upstream.set_address(full.address());
  send(0);
  quiet(20);
  EXPECT_TRUE(upstream.cancel_unsent({1, 0}));
  full.open();
  quiet(1'300);                              // past the kernel's next try
  EXPECT_EQ(record.connections.open(), 1U);  // it came up, and rests
  EXPECT_EQ(full.requests(), 0U);
  EXPECT_TRUE(record.ended.empty());
}

// An attempt that waits for a connection ends as soon as its server leaves, before the connect fails.
TEST_F(UpstreamRaceTest, ServerLeavesDuringConnect_AttemptEndsAtOnce) {
  upstream.set_address(full.address());
  send(0);
  quiet(20);
  upstream.stop_sending_at(clock.now());
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::not_sent);
  EXPECT_EQ(record.connections.open(), 0U);  // the dial ended with it
  full.open();
  quiet(1'300);  // past the kernel's next try
  EXPECT_EQ(full.requests(), 0U);
}

TEST_F(UpstreamRaceTest, AddressChangesDuringConnect_FormerAddressGetsNothing) {
  upstream.set_address(full.address());
  send(0);
  quiet(20);
  upstream.set_address(cache.address());
  asked(1).write(response(200, "moved"));
  served(1, "moved");
  full.open();
  quiet(1'300);  // past the kernel's next try
  send(1);
  asked(2).write(response(200, "here"));
  served(2, "here");
  EXPECT_EQ(full.requests(), 0U);
}

// The response is still valid, but the connection leads to the former address.
TEST_F(UpstreamRaceTest, AddressChangesDuringRequest_ConnectionIsNotUsedAgain) {
  send(0);
  Peer& first = asked(1);
  FakeServer moved(io, [](const std::string&) { return response(200, "moved"); });
  upstream.set_address(moved.address());
  first.write(response(200, "first"));
  served(1, "first");
  quiet(40);
  send(1);
  served(2, "moved");
  EXPECT_EQ(cache.requests.size(), 1U);
}

}  // namespace
}  // namespace streampick::test
