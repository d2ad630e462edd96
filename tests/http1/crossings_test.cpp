// Two events that cross on a connection to a server, over loopback sockets: each crossing is brought about by
// a scripted peer, never waited for.
#include "http1/one_server.h"

namespace streampick::test {
namespace {

class Crossing : public ToOneServer {
 protected:
  Crossing() { record.connect_timeout = 30'000'000; }
  // The n-th request's connection, the server having it.
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

// ---- An answer and what comes behind it

// The second answer comes behind the first when the next request has been asked for, and before the loop runs
// again: sooner than the connection could settle.
TEST_F(Crossing, ASecondAnswerMillisecondsLateIsNotTheNextRequests) {
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

// A read that may be repeated is asked for at once where answers take long; what comes too soon is not its
// own.
TEST_F(Crossing, WhatComesTooSoonBehindAnAnswerIsNotTakenForTheNextReads) {
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

TEST_F(Crossing, AConnectionThatStaysQuietBehindItsAnswerIsUsedAgainWithoutANewOne) {
  for (std::uint32_t i = 0; i < 5; ++i) {
    send(i);
    asked(i + 1).write(response(200, std::to_string(i)));
    served(i + 1, std::to_string(i));
    quiet(30);
  }
  EXPECT_EQ(record.connect_attempts, 1U);
}

// There is no descriptor for another one: what waits for a connection to settle must not wait for ever,
// neither when that stays nor when it ends meanwhile.
TEST_F(Crossing, WhoWaitsForAConnectionToSettleIsServedAlsoWhenThatEnds) {
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

// The server closes an idle connection just when the request is written: all of it left, it may have run.
TEST_F(Crossing, AnIdleCloseThatCrossesTheRequestIsAResetAndNotNeverRan) {
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

// The answer's head says nothing of its end; the connection is reset in the midst of it.
TEST_F(Crossing, AnAnswerWithoutALengthThatIsResetMidwayIsNeverA200) {
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

TEST_F(Crossing, ASpoiltHeadBehindAGoodAnswerHarmsNeitherAnswer) {
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

// ---- A connection that comes up late

// A keyed repeat whose window ends while its connection is made: no byte of it may go out.
TEST_F(Crossing, ARepeatWhoseWindowEndedWhileItsConnectionWasMadeIsNeverWritten) {
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

TEST_F(Crossing, ARequestTakenBackWhileItsConnectionWasMadeIsNeverWritten) {
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

// Told to go while an attempt waits for its dial: it is free at once, not when the dial fails.
TEST_F(Crossing, WhatWaitsForItsDialIsFreeAtOnceWhenItsServerLeaves) {
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

TEST_F(Crossing, AConnectionThatComesUpLateWhereTheServerNoLongerIsCarriesNothing) {
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

// Its answer is still good, its connection leads elsewhere.
TEST_F(Crossing, AConnectionInUseWhenItsServerMovesIsNotUsedAgain) {
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
