// Races between two events on a connection to a server, over loopback sockets. A scripted peer forces each
// order.
#include "http1/one_server.h"

namespace streampick::test {
namespace {

class UpstreamRaceTest : public SingleServerTest {
 protected:
  UpstreamRaceTest() { record.connect_timeout = 30'000'000; }
  // Waits until the server has received `n` requests, and returns the last one's connection.
  Peer& wait_for_request(std::size_t n) {
    EXPECT_TRUE(wait_for([&] { return cache.requests.size() == n; }));
    return *cache.peers.back();
  }
  void expect_served(std::size_t n, const std::string& body) {
    ASSERT_TRUE(wait_for([&] { return record.ended.size() == n; }));
    EXPECT_EQ(record.ended[n - 1].second, Outcome::served);
    EXPECT_EQ(record.bodies[n - 1], body);
  }
};

// ---- Bytes after a response

// A server sends a second response to the first request. It arrives after the next send() and before the
// event loop runs again, when the connection has not settled.
TEST_F(UpstreamRaceTest, SecondResponseMillisecondsLate_IsNotTakenForTheNextResponse) {
  send(0);
  Peer& first = wait_for_request(1);
  first.write(response(200, "first"));
  expect_served(1, "first");
  send(1);  // the connection is the only one
  first.write(response(200, "first again"));
  Peer& second = wait_for_request(2);
  EXPECT_NE(&second, &first);
  second.write(response(200, "second"));
  expect_served(2, "second");
}

// Where responses take long, a repeatable read uses an unsettled connection. A response that arrives too soon
// belongs to the previous request.
TEST_F(UpstreamRaceTest, ResponseTooSoonAfterAnother_IsMalformed) {
  message->repeatable = true;
  send(0);
  Peer& first = wait_for_request(1);
  quiet(60);  // the server is slow
  first.write(response(200, "first"));
  expect_served(1, "first");
  send(1);
  EXPECT_EQ(&wait_for_request(2), &first);
  first.write(response(200, "first again"));
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 2; }));
  EXPECT_EQ(record.ended[1].second, Outcome::malformed);
  EXPECT_TRUE(record.bodies[1].empty());
  EXPECT_EQ(record.connections.open(), 0U);
  send(2);
  Peer& next = wait_for_request(3);
  quiet(60);
  next.write(response(200, "its own"));
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 3; }));
  EXPECT_EQ(record.bodies[2], "its own");
}

TEST_F(UpstreamRaceTest, SettledConnection_IsUsedAgain) {
  for (std::uint32_t i = 0; i < 5; ++i) {
    send(i);
    wait_for_request(i + 1).write(response(200, std::to_string(i)));
    expect_served(i + 1, std::to_string(i));
    quiet(30);
  }
  EXPECT_EQ(record.connect_attempts, 1U);
}

// Without a descriptor for another connection, an attempt waits until the only connection settles. It must be
// sent whether that connection stays open or is closed by the server.
TEST_F(UpstreamRaceTest, OnlyConnectionSettlesOrCloses_QueuedAttemptIsServed) {
  record.connections.set_limit(1);
  std::uint32_t n = 0;
  for (const bool ends : {false, true}) {
    send(n++);
    Peer& first = wait_for_request(n);
    first.write(response(200, "first"));
    expect_served(n, "first");
    send(n++);
    if (ends) first.close();
    wait_for_request(n).write(response(200, "second"));
    expect_served(n, "second");
    quiet(30);
  }
  EXPECT_EQ(record.connect_attempts, 2U);
}

// The server closes an idle connection while the request is written: the request may have been executed.
TEST_F(UpstreamRaceTest, IdleCloseCrossingTheRequest_EndsAttemptAsReset) {
  send(0);
  Peer& first = wait_for_request(1);
  first.write(response(200, "first"));
  expect_served(1, "first");
  quiet(40);
  send(1);        // written within the call
  first.close();  // with unread bytes, so the kernel sends a reset
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 2; }));
  EXPECT_EQ(record.ended[1].second, Outcome::reset);
}

// The head of the response has no length, and the connection is reset within the body.
TEST_F(UpstreamRaceTest, UnframedResponseResetMidway_EndsAttemptAsReset) {
  send(0);
  Peer& peer = wait_for_request(1);
  peer.write("HTTP/1.1 200 OK\r\nX-Found: hit\r\n\r\nhalf of");
  quiet(10);
  peer.socket.set_option(asio::socket_base::linger(true, 0));
  peer.close();
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::reset);
  EXPECT_TRUE(record.bodies[0].empty());
}

TEST_F(UpstreamRaceTest, MalformedHeadAfterAResponse_AffectsNeitherResponse) {
  send(0);
  Peer& first = wait_for_request(1);
  first.write(response(200, "good") + "HTTP/1.1 2x0 OK\r\n");
  expect_served(1, "good");
  quiet(40);
  send(1);
  Peer& second = wait_for_request(2);
  EXPECT_NE(&second, &first);  // the rest of the malformed head may still arrive on the first connection
  second.write(response(200, "other"));
  expect_served(2, "other");
}

// ---- Connections that are established late

// The idempotency window of a retry ends while its connection is being established.
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
  quiet(1'300);                              // longer than the kernel's next SYN
  EXPECT_EQ(record.connections.open(), 1U);  // it was established and is idle
  EXPECT_EQ(full.requests(), 0U);
  EXPECT_TRUE(record.ended.empty());
}

// An attempt that waits for a connection ends as soon as its server stops taking requests, before the connect
// fails.
TEST_F(UpstreamRaceTest, ServerLeavesDuringConnect_AttemptEndsAtOnce) {
  upstream.set_address(full.address());
  send(0);
  quiet(20);
  upstream.stop_sending_at(clock.now());
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::not_sent);
  EXPECT_EQ(record.connections.open(), 0U);  // the connect was aborted too
  full.open();
  quiet(1'300);  // longer than the kernel's next SYN
  EXPECT_EQ(full.requests(), 0U);
}

TEST_F(UpstreamRaceTest, AddressChangesDuringConnect_FormerAddressGetsNothing) {
  upstream.set_address(full.address());
  send(0);
  quiet(20);
  upstream.set_address(cache.address());
  wait_for_request(1).write(response(200, "moved"));
  expect_served(1, "moved");
  full.open();
  quiet(1'300);  // longer than the kernel's next SYN
  send(1);
  wait_for_request(2).write(response(200, "here"));
  expect_served(2, "here");
  EXPECT_EQ(full.requests(), 0U);
}

// The response is still valid, but its connection leads to the former address.
TEST_F(UpstreamRaceTest, AddressChangesDuringRequest_ConnectionIsNotUsedAgain) {
  send(0);
  Peer& first = wait_for_request(1);
  FakeServer moved(io, [](const std::string&) { return response(200, "moved"); });
  upstream.set_address(moved.address());
  first.write(response(200, "first"));
  expect_served(1, "first");
  quiet(40);
  send(1);
  expect_served(2, "moved");
  EXPECT_EQ(cache.requests.size(), 1U);
}

}  // namespace
}  // namespace streampick::test
