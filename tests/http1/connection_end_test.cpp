// Each way in which the router closes a client connection, over loopback sockets. Requests that were read
// before the close, or were unread in the socket then, must be answered.
#include "http1/client_connection.h"

namespace streampick::test {
namespace {

const std::string kOk = "HTTP/1.1 200 ";

class ConnectionEnd : public ClientConnection {
 protected:
  /// Starts the router with settings that `change` adapts.
  void start_with(const std::function<void(platform::NodeSettings&)>& change, int sockets = 256) {
    nlohmann::json config =
        config_json(text_of(discovery.local_endpoint()),
                    list_json(1, true, {{"s-1", cache.address()}, {"s-o", origin.address(), "origin"}}));
    config["limits"]["sockets"] = sockets;
    settings = platform::parse_settings(config.dump());
    change(settings);
    host = std::make_unique<daemon::Host>(io, clock, settings);
  }
  bool wait_for_answers(Raw& http_client, std::size_t count) {
    return wait_for([&] {
      http_client.take();
      return http_client.count("HTTP/1.1 ") >= count;
    });
  }
  std::size_t requests() const { return cache.requests.size() + origin.requests.size(); }
  void set_draining() {
    host->operators().answer({management::Command::Kind::leave, {}}, [](const std::string&) {});
  }
  /// Delivers a response of the cache server and then bytes of the client, before the router runs again.
  void answer_then_deliver(Raw& http_client, const std::string& text) {
    cache.peers.back()->write(response(200, "x"));
    RawClient::wait_until_delivered(cache.peers.back()->socket);
    http_client.deliver(text);
  }
};

// ---- Idle timeouts

TEST_F(ConnectionEnd, RequestAtTheIdleTimeout_IsServed) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start_with([](platform::NodeSettings& all) {
    all.overload.idle_timeout = all.overload.idle_timeout_under_pressure = 200'000;
  });
  Raw http_client(io, host->address());
  http_client.write(a_read());
  ASSERT_TRUE(wait_for_answers(http_client, 1));
  run_before_due_handlers(400, [&] { http_client.deliver(a_read()); });
  ASSERT_TRUE(wait_for_end(http_client));
  EXPECT_EQ(http_client.count(kOk), 2U);
  EXPECT_EQ(http_client.end, asio::error::eof);
  EXPECT_EQ(host->counts().served, 2U);
}

TEST_F(ConnectionEnd, RequestAtTheFirstRequestTimeout_IsServed) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  Raw http_client(io, host->address());
  ASSERT_TRUE(wait_for([&] { return host->summary().find("accepted=1") != std::string::npos; }));
  run_before_due_handlers(2'500, [&] { http_client.deliver(a_read()); });
  ASSERT_TRUE(wait_for_answers(http_client, 1));
  EXPECT_EQ(http_client.count(kOk), 1U);
}

// The request is read and discarded: its client sends it again on another connection.
TEST_F(ConnectionEnd, RequestThatCrossesTheIdleClose_IsNotForwarded) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start_with([](platform::NodeSettings& all) {
    all.overload.idle_timeout = all.overload.idle_timeout_under_pressure = 200'000;
  });
  Raw http_client(io, host->address());
  http_client.write(a_read());
  ASSERT_TRUE(wait_for_end(http_client));
  http_client.write(a_read());
  quiet(50);
  http_client.write(a_read());
  net::error_code error;
  std::array<char, 16> chunk{};
  EXPECT_EQ(http_client.socket.read_some(asio::buffer(chunk), error), 0U);
  EXPECT_EQ(error, asio::error::eof);  // no reset, which could discard a response
  EXPECT_EQ(http_client.count(kOk), 1U);
  expect_no_further_requests(1);
}

// ---- Closes after a response

TEST_F(ConnectionEnd, UnreadRequestAtTheLastResponseOfAShutdown_IsServed) {
  start();
  Raw http_client(io, host->address());
  http_client.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  std::uint64_t served_when_drained = 0;
  host->drain([&] {
    drained = true;
    served_when_drained = host->counts().served;
  });
  quiet(700);  // accepting has ended: the drain is complete as soon as all requests are answered
  cache.answer = [](const std::string&) { return response(200, "x"); };
  answer_then_deliver(http_client, a_read());
  ASSERT_TRUE(wait_for_end(http_client));
  EXPECT_EQ(http_client.count(kOk), 2U);
  EXPECT_EQ(http_client.count("Connection: close"), 1U);
  http_client.socket.close();
  ASSERT_TRUE(wait_for([&] { return drained; }));
  EXPECT_EQ(served_when_drained, 2U);
}

TEST_F(ConnectionEnd, UnreadRequestAtACloseUnderPressure_IsServed) {
  start_with([](platform::NodeSettings& all) {
    all.overload.connection_pressure_share = 0.01;
  });  // of four connections
  // Each request uses a connection of its own to the server, so that the test knows the last one's
  // connection.
  cache.answer = [](const std::string&) { return response(200, "x", "Connection: close\r\n"); };
  std::vector<std::unique_ptr<Raw>> other_clients;
  for (int i = 0; i < 4; ++i) {
    other_clients.push_back(std::make_unique<Raw>(io, host->address()));
    other_clients.back()->write(a_read());
    ASSERT_TRUE(wait_for_answers(*other_clients.back(), 1));
  }
  cache.answer = {};
  Raw http_client(io, host->address());
  http_client.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 5; }));
  cache.answer = [](const std::string&) { return response(200, "x"); };
  answer_then_deliver(http_client, a_read());
  ASSERT_TRUE(wait_for_answers(http_client, 2));
  EXPECT_EQ(http_client.count(kOk), 2U);
}

// An invalid request affects the requests after it, never the one before it.
TEST_F(ConnectionEnd, ValidRequestBeforeAnInvalidOne_IsAnsweredFirst) {
  start();
  const std::string good = a_read();
  const std::vector<std::pair<std::string, std::string>> invalid_requests = {
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
    for (const auto& [second, status] : invalid_requests) {
      const std::size_t before = cache.requests.size();
      Raw http_client(io, host->address());
      http_client.write(a_read() + (in_one_read ? second : ""));
      ASSERT_TRUE(wait_for([&] { return cache.requests.size() == before + 1; })) << second;
      if (!in_one_read) http_client.deliver(second);
      quiet(20);
      cache.peers.back()->write(response(200, "x"));
      ASSERT_TRUE(wait_for_end(http_client)) << second;
      EXPECT_EQ(http_client.end, asio::error::eof) << second;
      EXPECT_EQ(http_client.count("HTTP/1.1 "), 2U) << second << http_client.got;
      const std::size_t first = http_client.got.find(kOk), error = http_client.got.find("HTTP/1.1 " + status);
      ASSERT_NE(error, std::string::npos) << second << http_client.got;
      EXPECT_LT(first, error) << second;
      EXPECT_EQ(requests(), before + 1) << second;
    }
  }
}

// Only bytes that could not be kept are lost, and the client gets an error.
TEST_F(ConnectionEnd, CompleteRequestsBeforeAnOverflow_AreAnswered) {
  start();
  host->upstream_resources().body_memory.set_limit(0);  // no memory beyond the unreserved pipelined bytes
  Raw http_client(io, host->address());
  http_client.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  cache.answer = [](const std::string&) { return response(200, "x"); };
  http_client.write(a_read() + a_read() + std::string(100'000, 'x'));
  RawClient::wait_until_delivered(http_client.socket);
  quiet(50);  // until the router has read all of it
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for_end(http_client));
  EXPECT_EQ(http_client.count(kOk), 3U);
  EXPECT_EQ(http_client.count("HTTP/1.1 400 "), 1U);
  EXPECT_EQ(http_client.end, asio::error::eof);
  EXPECT_EQ(host->counts().requests, 3U);
}

// ---- Eviction

TEST_F(ConnectionEnd, EvictedConnection_HasNoUnreadRequest) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start_with([](platform::NodeSettings& all) { all.overload.connection_pressure_share = 1; },
             64);  // of which clients may use at most 22
  const std::size_t capacity =
      host->descriptors().total() - host->descriptors().minimum(overload::DescriptorBudget::Side::upstream);
  std::vector<std::unique_ptr<Raw>> idle;
  for (std::size_t i = 0; i < capacity; ++i) {
    idle.push_back(std::make_unique<Raw>(io, host->address()));
    idle.back()->write(a_read());
    ASSERT_TRUE(wait_for_answers(*idle.back(), 1)) << i;
  }
  // The oldest of the connections that are left would be evicted next. New connections wait in the listen
  // queue until the router accepts again.
  quiet(50);
  const auto next_evicted = std::find_if(idle.begin(), idle.end(), [](const auto& http_client) {
    http_client->take();
    return !http_client->end;
  });
  ASSERT_NE(next_evicted, idle.end());
  std::vector<std::unique_ptr<Raw>> fresh;
  for (int i = 0; i < 6; ++i) {
    fresh.push_back(std::make_unique<Raw>(io, host->address()));
    fresh.back()->deliver(a_read());
  }
  (*next_evicted)->deliver(a_read());
  for (const auto& http_client : fresh) {
    ASSERT_TRUE(wait_for_answers(*http_client, 1));
    EXPECT_EQ(http_client->count(kOk), 1U);
  }
  ASSERT_TRUE(wait_for_answers(**next_evicted, 2));
  EXPECT_EQ((*next_evicted)->count(kOk), 2U);
  // Requests that cross the close of an evicted connection are never forwarded, and no response is
  // incomplete.
  const std::size_t before = requests();
  std::size_t evicted_count = 0;
  for (const auto& http_client : idle) {
    http_client->take();
    EXPECT_EQ(http_client->count(kOk), http_client == *next_evicted ? 2U : 1U);
    if (!http_client->end) continue;
    ++evicted_count;
    http_client->write(a_read());
  }
  EXPECT_GE(evicted_count, 1U);
  expect_no_further_requests(before);
}

// ---- Draining by an operator's command

TEST_F(ConnectionEnd, OperatorDrain_AnswersRequestsAndForwardsNoneThatCrossTheClose) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  Raw idle(io, host->address()), requesting(io, host->address());
  for (Raw* http_client : {&idle, &requesting}) {
    http_client->write(a_read());
    ASSERT_TRUE(wait_for_answers(*http_client, 1));
  }
  quiet(20);
  requesting.deliver(a_read());  // not read by the router yet
  Raw fresh(io, host->address());
  set_draining();
  idle.write(a_read());  // the router's close has not been read yet
  ASSERT_TRUE(wait_for_end(idle));
  EXPECT_EQ(idle.end, asio::error::eof);
  EXPECT_EQ(idle.count(kOk), 1U);
  ASSERT_TRUE(wait_for_end(requesting));
  EXPECT_EQ(requesting.count(kOk), 2U);
  EXPECT_EQ(requesting.count("Connection: close"), 1U);
  // A connection that was just accepted may still send its request.
  quiet(200);
  fresh.take();
  ASSERT_FALSE(fresh.end);
  fresh.write(a_read());
  ASSERT_TRUE(wait_for_end(fresh));
  EXPECT_EQ(fresh.count(kOk), 1U);
  expect_no_further_requests(4);
  // After the drain, connections are kept open again.
  host->operators().answer({management::Command::Kind::join, {}}, [](const std::string&) {});
  Raw again(io, host->address());
  again.write(a_read());
  ASSERT_TRUE(wait_for_answers(again, 1));
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
  // Made anew for each round, so that the transaction ids differ.
  const auto partial_requests = [&] {
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
    for (const std::string& partial : partial_requests()) {
      const bool kept = i % 2 == 1;  // the partial request is the second one on its connection
      stopped.push_back(std::make_unique<Raw>(io, host->address()));
      if (kept) {
        stopped.back()->write(a_read());
        ASSERT_TRUE(wait_for_answers(*stopped.back(), 1));
      }
      stopped.back()->deliver(partial);
    }
  const auto last_byte = std::chrono::steady_clock::now();
  good->ask(a_read());
  ASSERT_TRUE(wait_for([&] {
    if (good->answers.size() > served) {
      ++served;
      good->ask(a_read());
    }
    return std::all_of(stopped.begin(), stopped.end(), [](const auto& http_client) {
      http_client->take();
      return static_cast<bool>(http_client->end);
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

TEST_F(ConnectionEnd, RequestWithLittleTimeLeft_GetsOneResponseWhenServersDropIt) {
  start();  // no server responds
  const auto http_client = client();
  std::size_t answers = 0;
  for (const std::string remaining : {"0", "0.0", "0.000001", "0.001", "0.005", "0.05", "0.3"}) {
    const auto asked = std::chrono::steady_clock::now();
    http_client->ask(request_text("GET", "/read/1", "read", "", remaining));
    ++answers;
    ASSERT_TRUE(wait_for([&] { return http_client->answers.size() == answers; })) << remaining;
    EXPECT_GE(http_client->status(answers - 1), 500) << remaining;
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
  EXPECT_EQ(http_client->answers.size(), answers);
  const engine::Counters& counts = host->counts();
  EXPECT_EQ(counts.served + counts.refused + counts.failed, answers);
}

// ---- Low traffic

// An event loop that is delayed now and then sheds load only for a moment after each delay.
TEST_F(ConnectionEnd, LowTraffic_NoSeriesOfRejectionsLastsFourSeconds) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  const auto http_client = client();
  const auto begin = std::chrono::steady_clock::now();
  auto last_served = begin, next_pause = begin + std::chrono::milliseconds(300);
  std::chrono::steady_clock::duration longest{};
  std::size_t refused = 0;
  while (std::chrono::steady_clock::now() - begin < std::chrono::seconds(6)) {
    const std::size_t answers = http_client->answers.size();
    http_client->ask(request_text("GET", "/read/" + std::to_string(answers % 7), "read", "", "0.4"));
    if (std::chrono::steady_clock::now() > next_pause) {
      std::this_thread::sleep_for(std::chrono::milliseconds(150));
      next_pause += std::chrono::milliseconds(450);
    }
    ASSERT_TRUE(wait_for([&] { return http_client->answers.size() > answers; }));
    const auto now = std::chrono::steady_clock::now();
    if (http_client->status(answers) == 200) {
      last_served = now;
    } else {
      ++refused;
    }
    longest = std::max(longest, now - last_served);
    quiet(20);
  }
  EXPECT_LT(longest, std::chrono::seconds(2));
  EXPECT_LT(refused, http_client->answers.size() / 2);
}

}  // namespace
}  // namespace streampick::test
