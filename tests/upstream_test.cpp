// Connections to servers over loopback sockets.
#include "loopback.h"

namespace streampick::node::test {
namespace {

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

}  // namespace
}  // namespace streampick::node::test
