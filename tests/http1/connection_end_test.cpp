// Each way in which the router closes a client connection, over loopback sockets: requests that were read
// before, or that were unread in the socket, are answered.
#include "http1/client_connection.h"

namespace streampick::test {
namespace {

const std::string kOk = "HTTP/1.1 200 ";

class ConnectionEnd : public ClientConnection {
 protected:
  /// With idle timeouts and the limit of connection pressure as a test needs them.
  void start_with(const std::function<void(platform::NodeSettings&)>& change, int sockets = 256) {
    nlohmann::json config =
        config_json(text_of(discovery.local_endpoint()),
                    list_json(1, true, {{"s-1", cache.address()}, {"s-o", origin.address(), "origin"}}));
    config["limits"]["sockets"] = sockets;
    settings = platform::parse_settings(config.dump());
    change(settings);
    host = std::make_unique<daemon::Host>(io, clock, settings);
  }
  bool has_answers(Raw& one, std::size_t count) {
    return wait_for([&] {
      one.take();
      return one.count("HTTP/1.1 ") >= count;
    });
  }
  std::size_t requests() const { return cache.requests.size() + origin.requests.size(); }
  void set_draining() {
    host->operators().answer({management::Command::Kind::leave, {}}, [](const std::string&) {});
  }
  /// Delivers the first server's response and then bytes of the client, before the router runs again.
  void answer_then_deliver(Raw& one, const std::string& text) {
    cache.peers.back()->write(response(200, "x"));
    RawClient::wait_until_delivered(cache.peers.back()->socket);
    one.deliver(text);
  }
};

// ---- Idle timeouts

TEST_F(ConnectionEnd, RequestAtTheIdleTimeout_IsServed) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start_with([](platform::NodeSettings& all) {
    all.overload.idle_timeout = all.overload.idle_timeout_under_pressure = 200'000;
  });
  Raw one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(has_answers(one, 1));
  run_before_what_is_due(400, [&] { one.deliver(a_read()); });
  ASSERT_TRUE(ended(one));
  EXPECT_EQ(one.count(kOk), 2U);
  EXPECT_EQ(one.end, asio::error::eof);
  EXPECT_EQ(host->counts().served, 2U);
}

TEST_F(ConnectionEnd, RequestAtTheFirstRequestTimeout_IsServed) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  Raw one(io, host->address());
  ASSERT_TRUE(wait_for([&] { return host->summary().find("accepted=1") != std::string::npos; }));
  run_before_what_is_due(2'500, [&] { one.deliver(a_read()); });
  ASSERT_TRUE(has_answers(one, 1));
  EXPECT_EQ(one.count(kOk), 1U);
}

// It is read and discarded: the client sends it again elsewhere.
TEST_F(ConnectionEnd, RequestThatCrossesTheIdleClose_IsNotForwarded) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start_with([](platform::NodeSettings& all) {
    all.overload.idle_timeout = all.overload.idle_timeout_under_pressure = 200'000;
  });
  Raw one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(ended(one));
  one.write(a_read());
  quiet(50);
  one.write(a_read());
  net::error_code error;
  std::array<char, 16> chunk{};
  EXPECT_EQ(one.socket.read_some(asio::buffer(chunk), error), 0U);
  EXPECT_EQ(error, asio::error::eof);  // no reset, which could take an answer with it
  EXPECT_EQ(one.count(kOk), 1U);
  expect_nothing_more(1);
}

// ---- Closes behind a response

TEST_F(ConnectionEnd, UnreadRequestAtTheLastResponseOfAShutdown_IsServed) {
  start();
  Raw one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  std::uint64_t served_when_done = 0;
  host->drain([&] {
    done = true;
    served_when_done = host->counts().served;
  });
  quiet(700);  // accepting has ended: it is done as soon as nothing is left to answer
  cache.answer = [](const std::string&) { return response(200, "x"); };
  answer_then_deliver(one, a_read());
  ASSERT_TRUE(ended(one));
  EXPECT_EQ(one.count(kOk), 2U);
  EXPECT_EQ(one.count("Connection: close"), 1U);
  one.socket.close();
  ASSERT_TRUE(wait_for([&] { return done; }));
  EXPECT_EQ(served_when_done, 2U);
}

TEST_F(ConnectionEnd, UnreadRequestAtACloseUnderPressure_IsServed) {
  start_with([](platform::NodeSettings& all) {
    all.overload.connection_pressure_share = 0.01;
  });  // of four connections
  // Each on a connection of its own, so that the last one's is known.
  cache.answer = [](const std::string&) { return response(200, "x", "Connection: close\r\n"); };
  std::vector<std::unique_ptr<Raw>> crowd;
  for (int i = 0; i < 4; ++i) {
    crowd.push_back(std::make_unique<Raw>(io, host->address()));
    crowd.back()->write(a_read());
    ASSERT_TRUE(has_answers(*crowd.back(), 1));
  }
  cache.answer = {};
  Raw one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 5; }));
  cache.answer = [](const std::string&) { return response(200, "x"); };
  answer_then_deliver(one, a_read());
  ASSERT_TRUE(has_answers(one, 2));
  EXPECT_EQ(one.count(kOk), 2U);
}

// An error affects the requests behind it, never the one before it.
TEST_F(ConnectionEnd, ValidRequestBeforeAnInvalidOne_IsAnsweredFirst) {
  start();
  const std::string good = a_read();
  const std::vector<std::pair<std::string, std::string>> spoilt = {
      {"nonsense\r\n\r\n", "400"},
      {"GET /read/1 HTTP/1.1\r\nHost: a\r\nX-Lane: read\r\nX-Remaining: 1\r\n\r\n", "400"},
      {request_text("PUT", "/save/1", "save", "", "8.0",
                    "Idempotency-Key: k\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n"),
       "400"},
      {request_text("PUT", "/save/1", "save", "", "8.0", "Content-Length: 33554433\r\n"), "413"},
      {request_text("GET", "/song/1", "song"), "400"},
      {good.substr(0, good.size() / 2), "408"},
      {request_text("PUT", "/save/1", "save", "", "8.0", "Idempotency-Key: k\r\nContent-Length: 9\r\n") +
           "half",
       "408"},
  };
  for (const bool in_one_read : {true, false}) {
    for (const auto& [second, status] : spoilt) {
      const std::size_t before = cache.requests.size();
      Raw one(io, host->address());
      one.write(a_read() + (in_one_read ? second : ""));
      ASSERT_TRUE(wait_for([&] { return cache.requests.size() == before + 1; })) << second;
      if (!in_one_read) one.deliver(second);
      quiet(20);
      cache.peers.back()->write(response(200, "x"));
      ASSERT_TRUE(ended(one)) << second;
      EXPECT_EQ(one.end, asio::error::eof) << second;
      EXPECT_EQ(one.count("HTTP/1.1 "), 2U) << second << one.got;
      const std::size_t first = one.got.find(kOk), error = one.got.find("HTTP/1.1 " + status);
      ASSERT_NE(error, std::string::npos) << second << one.got;
      EXPECT_LT(first, error) << second;
      EXPECT_EQ(requests(), before + 1) << second;
    }
  }
}

// Only what could not be kept is lost, and the client gets an error.
TEST_F(ConnectionEnd, CompleteRequestsBeforeAnOverflow_AreAnswered) {
  start();
  host->upstream_resources().body_memory.set_limit(0);  // no memory for more than a little that is sent ahead
  Raw one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  cache.answer = [](const std::string&) { return response(200, "x"); };
  one.write(a_read() + a_read() + std::string(100'000, 'x'));
  RawClient::wait_until_delivered(one.socket);
  quiet(50);  // read to its end
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(ended(one));
  EXPECT_EQ(one.count(kOk), 3U);
  EXPECT_EQ(one.count("HTTP/1.1 400 "), 1U);
  EXPECT_EQ(one.end, asio::error::eof);
  EXPECT_EQ(host->counts().requests, 3U);
}

// ---- Eviction

TEST_F(ConnectionEnd, EvictedConnection_HasNoUnreadRequest) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start_with([](platform::NodeSettings& all) { all.overload.connection_pressure_share = 1; },
             64);  // at most 22 of them for clients
  const std::size_t places =
      host->descriptors().total() - host->descriptors().minimum(overload::DescriptorBudget::Side::upstream);
  std::vector<std::unique_ptr<Raw>> resting;
  for (std::size_t i = 0; i < places; ++i) {
    resting.push_back(std::make_unique<Raw>(io, host->address()));
    resting.back()->write(a_read());
    ASSERT_TRUE(has_answers(*resting.back(), 1)) << i;
  }
  // Whoever came first of those that are left would go next. New ones stand in the listener's queue when it
  // asks again.
  quiet(50);
  const auto next_to_go = std::find_if(resting.begin(), resting.end(), [](const auto& one) {
    one->take();
    return !one->end;
  });
  ASSERT_NE(next_to_go, resting.end());
  std::vector<std::unique_ptr<Raw>> fresh;
  for (int i = 0; i < 6; ++i) {
    fresh.push_back(std::make_unique<Raw>(io, host->address()));
    fresh.back()->deliver(a_read());
  }
  (*next_to_go)->deliver(a_read());
  for (const auto& one : fresh) {
    ASSERT_TRUE(has_answers(*one, 1));
    EXPECT_EQ(one->count(kOk), 1U);
  }
  ASSERT_TRUE(has_answers(**next_to_go, 2));
  EXPECT_EQ((*next_to_go)->count(kOk), 2U);
  // What crosses the end of those that went is never sent on, and they have no half answer.
  const std::size_t before = requests();
  std::size_t gone = 0;
  for (const auto& one : resting) {
    one->take();
    EXPECT_EQ(one->count(kOk), one == *next_to_go ? 2U : 1U);
    if (!one->end) continue;
    ++gone;
    one->write(a_read());
  }
  EXPECT_GE(gone, 1U);
  expect_nothing_more(before);
}

// ---- Draining by an operator's command

TEST_F(ConnectionEnd, OperatorDrain_AnswersRequestsAndForwardsNoneThatCrossTheClose) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  Raw resting(io, host->address()), asking(io, host->address());
  for (Raw* one : {&resting, &asking}) {
    one->write(a_read());
    ASSERT_TRUE(has_answers(*one, 1));
  }
  quiet(20);
  asking.deliver(a_read());  // unread in the kernel's hands
  Raw fresh(io, host->address());
  set_draining();
  resting.write(a_read());  // the end is on its way, and not seen yet
  ASSERT_TRUE(ended(resting));
  EXPECT_EQ(resting.end, asio::error::eof);
  EXPECT_EQ(resting.count(kOk), 1U);
  ASSERT_TRUE(ended(asking));
  EXPECT_EQ(asking.count(kOk), 2U);
  EXPECT_EQ(asking.count("Connection: close"), 1U);
  // A connection that was just accepted may still send its request.
  quiet(200);
  fresh.take();
  ASSERT_FALSE(fresh.end);
  fresh.write(a_read());
  ASSERT_TRUE(ended(fresh));
  EXPECT_EQ(fresh.count(kOk), 1U);
  expect_nothing_more(4);
  // After the drain connections are kept again.
  host->operators().answer({management::Command::Kind::join, {}}, [](const std::string&) {});
  Raw again(io, host->address());
  again.write(a_read());
  ASSERT_TRUE(has_answers(again, 1));
  EXPECT_EQ(again.count("Connection: close"), 0U);
}

// ---- Clients that stop within a request and stay connected

TEST_F(ConnectionEnd, ClientsThatStopWithinARequest_GetAnErrorWithinThreeSeconds) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  const auto put = [](const std::string& header, const std::string& begun) {
    return request_text("PUT", "/save/1", "save", "", "8.0", "Idempotency-Key: k\r\n" + header + "\r\n") +
           begun;
  };
  // Each time under ids of their own.
  const auto halves = [&] {
    const std::string read = a_read();
    return std::vector<std::string>{"GET",
                                    read.substr(0, read.size() - 1),
                                    put("Content-Length: 10", ""),
                                    put("Content-Length: 65536", std::string(60'000, 'x')),
                                    put("Content-Length: 3000000", std::string(100'000, 'x')),
                                    put("Transfer-Encoding: chunked", "ff\r\nhalf a chunk")};
  };
  const auto good = client();
  std::size_t served = 0;
  std::vector<std::unique_ptr<Raw>> stopped;
  for (int i = 0; i < 5; ++i)
    for (const std::string& half : halves()) {
      const bool kept = i % 2 == 1;  // a second request, on a connection that has had an answer
      stopped.push_back(std::make_unique<Raw>(io, host->address()));
      if (kept) {
        stopped.back()->write(a_read());
        ASSERT_TRUE(has_answers(*stopped.back(), 1));
      }
      stopped.back()->deliver(half);
    }
  const auto last_byte = std::chrono::steady_clock::now();
  good->ask(a_read());
  ASSERT_TRUE(wait_for([&] {
    if (good->answers.size() > served) {
      ++served;
      good->ask(a_read());
    }
    return std::all_of(stopped.begin(), stopped.end(), [](const auto& one) {
      one->take();
      return static_cast<bool>(one->end);
    });
  }));
  EXPECT_LT(std::chrono::steady_clock::now() - last_byte, std::chrono::seconds(3));
  for (std::size_t i = 0; i < stopped.size(); ++i) {
    EXPECT_EQ(stopped[i]->end, asio::error::eof) << i;
    EXPECT_EQ(stopped[i]->count("HTTP/1.1 408 "), 1U) << i << stopped[i]->got;
  }
  EXPECT_GT(served, 20U);
  for (std::size_t i = 0; i < served; ++i) EXPECT_EQ(good->status(i), 200);
}

// ---- Short deadlines

TEST_F(ConnectionEnd, RequestWithHardlyAnyTime_GetsOneResponseWhenServersDropIt) {
  start();  // no server says a word
  const auto one = client();
  std::size_t answers = 0;
  for (const std::string remaining : {"0", "0.0", "0.000001", "0.001", "0.005", "0.05", "0.3"}) {
    const auto asked = std::chrono::steady_clock::now();
    one->ask(request_text("GET", "/read/1", "read", "", remaining));
    ++answers;
    ASSERT_TRUE(wait_for([&] { return one->answers.size() == answers; })) << remaining;
    EXPECT_GE(one->status(answers - 1), 500) << remaining;
    EXPECT_LT(std::chrono::steady_clock::now() - asked, std::chrono::milliseconds(800)) << remaining;
  }
  for (const std::string header :
       {"X-Remaining: -0.001\r\n", "X-Remaining: -1\r\n", "X-Remaining:\r\n", ""}) {
    std::string text = request_text("GET", "/read/1", "read");
    text.replace(text.find("X-Remaining: 8.0\r\n"), 18, header);
    const auto bad = client();
    bad->ask(text);
    ASSERT_TRUE(wait_for([&] { return bad->answers.size() == 1; })) << header;
    EXPECT_EQ(bad->status(), 400) << header;
  }
  quiet(300);
  EXPECT_EQ(one->answers.size(), answers);
  const engine::Counters& counts = host->counts();
  EXPECT_EQ(counts.served + counts.refused + counts.failed, answers);
}

// ---- Calm traffic

// A loop that is delayed now and then sheds load for that moment only.
TEST_F(ConnectionEnd, CalmTraffic_NoSeriesOfRejectionsLastsFourSeconds) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  const auto one = client();
  const auto begin = std::chrono::steady_clock::now();
  auto last_served = begin, next_pause = begin + std::chrono::milliseconds(300);
  std::chrono::steady_clock::duration longest{};
  std::size_t refused = 0;
  while (std::chrono::steady_clock::now() - begin < std::chrono::seconds(6)) {
    const std::size_t answers = one->answers.size();
    one->ask(request_text("GET", "/read/" + std::to_string(answers % 7), "read", "", "0.4"));
    if (std::chrono::steady_clock::now() > next_pause) {
      std::this_thread::sleep_for(std::chrono::milliseconds(150));
      next_pause += std::chrono::milliseconds(450);
    }
    ASSERT_TRUE(wait_for([&] { return one->answers.size() > answers; }));
    const auto now = std::chrono::steady_clock::now();
    if (one->status(answers) == 200) {
      last_served = now;
    } else {
      ++refused;
    }
    longest = std::max(longest, now - last_served);
    quiet(20);
  }
  EXPECT_LT(longest, std::chrono::seconds(2));
  EXPECT_LT(refused, one->answers.size() / 2);
}

}  // namespace
}  // namespace streampick::test
