// Management commands on a running router: answers, metrics, disabled cache servers, drains.
#include <map>
#include <thread>

#include "support/loopback.h"

namespace streampick::test {
namespace {

using json = nlohmann::json;

class ManagementServer : public Loopback {
 protected:
  void begin(const std::vector<MemberText>& members) { begin_with(list_json(1, true, members)); }
  void begin() {
    begin_with(list_json(1, true,
                         {{"s-cache", cache.address()},
                          {"s-second", second.address()},
                          {"s-origin", origin.address(), "origin"}}));
  }
  void begin_with(const nlohmann::json& known) {
    settings = platform::parse_settings(config_json(text_of(discovery.local_endpoint()), known).dump());
    auto& listen = settings.management.emplace();
    listen = any_port();
    host = std::make_unique<daemon::Host>(io, clock, settings);
  }
  // Sends `bytes` on a new connection. Returns the answer when the connection has ended.
  std::string answer_to(const std::string& bytes, bool half_close = false) {
    Connection connection(io, *host->operators().address());
    connection.peer->write(bytes);
    net::error_code ignored;
    if (half_close) connection.peer->socket.shutdown(net::tcp::socket::shutdown_send, ignored);
    EXPECT_TRUE(wait_for([&] { return connection.peer->ended; }));
    return connection.peer->got;
  }
  std::string call(const std::string& line) { return answer_to(line + "\n"); }
  json metrics() {
    const std::string text = call("DUMP");
    EXPECT_EQ(text.substr(text.find('\n')), "\n--\n");
    return json::parse(text.substr(0, text.find('\n')));
  }
  struct Connection {
    Connection(asio::io_context& io, const net::tcp::endpoint& to) {
      net::tcp::socket socket(io);
      socket.connect(to);
      peer = std::make_shared<Peer>(std::move(socket));
      peer->read([](Peer&) {});
    }
    ~Connection() {
      peer->muted = true;
      peer->close();
    }
    std::shared_ptr<Peer> peer;
  };
  int health_status() {
    const auto one = client();
    one->ask("GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_TRUE(wait_for([&] { return one->answers.size() == 1; }));
    return one->answers.empty() ? 0 : one->status();
  }
  std::string read_of(int key) { return request_text("GET", "/read/" + std::to_string(key), "read"); }
  // Reads `keys` keys, one after another, on one connection.
  void read_keys(int keys) {
    const auto one = client();
    for (int key = 0; key < keys; ++key) {
      one->ask(read_of(key));
      ASSERT_TRUE(wait_for([&] { return one->answers.size() == static_cast<std::size_t>(key) + 1; }));
      ASSERT_EQ(one->status(static_cast<std::size_t>(key)), 200);
    }
  }

  FakeServer second{io};
};

TEST_F(ManagementServer, EachCommand_GetsOneAnswerAndInvalidOnesAReason) {
  begin();
  EXPECT_EQ(call("HEALTH"), "ACK serving\n");
  EXPECT_EQ(answer_to("HEALTH\r\n"), "ACK serving\n");
  EXPECT_EQ(answer_to("HEALTH", true), "ACK serving\n");
  EXPECT_EQ(answer_to("HEALTH\nHEALTH\n"), "ACK serving\n");
  for (const std::string bad : {"\n", "GET / HTTP/1.1\r\n\r\n", "OFFLINE\n", "ONLINE a b\n", "\x01\xff\n"})
    EXPECT_EQ(answer_to(bad).rfind("NAK ", 0), 0U) << bad;
  EXPECT_EQ(answer_to(std::string(5'000, 'x')), "NAK the line is too long\n");
  EXPECT_EQ(answer_to("", true), "");
  EXPECT_EQ(host->operators().address()->address().to_string(), "127.0.0.1");
}

// Answers recorded from the version before the shared file became durable, for the same sequence of commands.
TEST_F(ManagementServer, Answers_AreTheSameAsInEarlierVersions) {
  const auto metrics_with = [](int down) {
    return R"({"success":{"pay":0,"read":0,"save":0},"busy":{"pay":0,"read":0,"save":0},)"
           R"("failure":{"pay":0,"read":0,"save":0},"backend_calls":0,"inflight":0,"hosts_listed":2,"hosts_down":)" +
           std::to_string(down) +
           R"(,"reconfig_ok":0,"reconfig_failed":0})"
           "\n--\n";
  };
  const std::vector<std::pair<std::string, std::string>> recorded = {
      {"HEALTH\n", "ACK serving\n"},
      {"DUMP\n", metrics_with(0)},
      {"FLEET\n", "NAK this router keeps no view of its fleet\n"},
      {"SHARES\n", "NAK this router shares no limits\n"},
      {"OFFLINE s-none\n", "NAK no cache server has the id s-none\n"},
      {"OFFLINE s-origin\n", "NAK s-origin is the origin, without which nothing is answered\n"},
      {"ONLINE s-none\n", "NAK no cache server has the id s-none\n"},
      {"ONLINE s-origin\n", "NAK no cache server has the id s-origin\n"},
      {"ONLINE s-cache\n", "ACK s-cache was not left out\n"},
      {"OFFLINE s-cache\n", "ACK s-cache is left out\n"},
      {"OFFLINE s-cache\n", "ACK s-cache is left out\n"},
      {"DUMP\n", metrics_with(1)},
      {"ONLINE s-cache\n", "ACK s-cache is used again\n"},
      {"ONLINE s-cache\n", "ACK s-cache was not left out\n"},
      {"LEAVE\n", "ACK clients are sent away\n"},
      {"LEAVE\n", "ACK clients are sent away\n"},
      {"HEALTH\n", "ACK serving\n"},
      {"JOIN\n", "ACK clients are taken\n"},
      {"JOIN\n", "ACK clients are taken\n"},
      {"DUMP\n", metrics_with(0)},
      {"\n", "NAK the line is empty\n"},
      {"health\n",
       "NAK no such call; there are HEALTH, DUMP, OFFLINE ID, ONLINE ID, LEAVE, JOIN, FLEET and SHARES\n"},
      {"OFFLINE\n", "NAK OFFLINE takes the id of one cache server\n"},
      {"ONLINE a b\n", "NAK ONLINE takes the id of one cache server\n"},
      {"DUMP all\n", "NAK DUMP takes nothing behind it\n"},
      {"LEAVE\t\x01\n", "NAK the line holds bytes that are no text\n"},
  };
  begin();
  for (const auto& [sent, answer] : recorded) EXPECT_EQ(answer_to(sent), answer) << sent;
}

TEST_F(ManagementServer, IdleConnections_DoNotBlockCommands) {
  begin();
  std::vector<std::unique_ptr<Connection>> idle;
  for (int i = 0; i < 40; ++i) {
    idle.push_back(std::make_unique<Connection>(io, *host->operators().address()));
    if (i % 2 == 0) idle.back()->peer->write("HEAL");
  }
  for (int i = 0; i < 5; ++i) EXPECT_EQ(call("HEALTH"), "ACK serving\n");
  // The commands were not answered because the idle connections timed out: some are still open.
  EXPECT_FALSE(std::all_of(idle.begin(), idle.end(), [](const auto& one) { return one->peer->ended; }));
  EXPECT_EQ(metrics()["inflight"], 0);
  // All are closed at their timeout.
  EXPECT_TRUE(wait_for([&] {
    return std::all_of(idle.begin(), idle.end(), [](const auto& one) { return one->peer->ended; });
  }));
}

TEST_F(ManagementServer, Metrics_MatchClientsAndServers) {
  begin({{"s-cache", cache.address()}, {"s-origin", origin.address(), "origin"}});
  int turn = 0;
  cache.answer = [&](const std::string&) {
    ++turn;
    return turn % 3 == 0 ? response(404) : response(200, "x");
  };
  origin.answer = [](const std::string& message) {
    return message.rfind("PUT /pay", 0) == 0 ? response(500) : response(200, "o");
  };
  read_keys(9);
  const auto one = client();
  one->ask(request_text("PUT", "/pay/1", "pay", "x"));
  one->ask(request_text("GET", "/nothing/1", "nothing"));
  ASSERT_TRUE(wait_for([&] { return one->answers.size() == 2; }));
  EXPECT_EQ(one->status(0), 502);
  EXPECT_EQ(one->status(1), 400);
  const json metrics_now = metrics();
  EXPECT_EQ(metrics_now["success"], (json{{"read", 9}, {"save", 0}, {"pay", 0}}));
  EXPECT_EQ(metrics_now["failure"], (json{{"read", 0}, {"save", 0}, {"pay", 1}}));
  EXPECT_EQ(metrics_now["busy"], (json{{"read", 0}, {"save", 0}, {"pay", 0}}));
  EXPECT_EQ(metrics_now["backend_calls"], cache.requests.size() + origin.requests.size());
  EXPECT_EQ(metrics_now["inflight"], 0);
  EXPECT_EQ(metrics_now["hosts_listed"], 1);
  EXPECT_EQ(metrics_now["hosts_down"], 0);
}

TEST_F(ManagementServer, OpenRequests_AreInFlightUntilTheirResponseIsComplete) {
  begin({{"s-cache", cache.address()}, {"s-origin", origin.address(), "origin"}});
  auto one = client();
  auto two = client();
  one->ask(a_read());
  two->ask(request_text("GET", "/read/2", "read"));
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 2; }));
  EXPECT_EQ(metrics()["inflight"], 2);
  two.reset();
  ASSERT_TRUE(wait_for([&] { return host->counts().cancelled_by_client == 1; }));
  EXPECT_EQ(metrics()["inflight"], 1);
  // A streamed response ends with its last byte; when the connection breaks before that, the request failed.
  std::string& first = cache.requests[0];
  const auto& peer = first.find("/read/2 ") == std::string::npos ? cache.peers[0] : cache.peers[1];
  peer->write("HTTP/1.1 200 X\r\nContent-Length: 2000000\r\n\r\n" + std::string(1'000'000, 'x'));
  ASSERT_TRUE(wait_for([&] { return one->peer->got.size() > 500'000; }));
  EXPECT_EQ(metrics()["inflight"], 1);
  EXPECT_EQ(metrics()["success"]["read"], 0);
  peer->close();
  ASSERT_TRUE(wait_for([&] { return one->peer->ended; }));
  EXPECT_EQ(metrics()["inflight"], 0);
  EXPECT_EQ(metrics()["failure"]["read"], 1);
  EXPECT_EQ(metrics()["success"]["read"], 0);
}

TEST_F(ManagementServer, DisabledServer_GetsNothingUntilItIsEnabled) {
  cache.answer = second.answer = [](const std::string&) { return response(200, "x"); };
  begin();
  accept_watch();
  begin_watch();
  read_keys(30);
  ASSERT_GT(cache.requests.size(), 0U);
  ASSERT_GT(second.requests.size(), 0U);
  EXPECT_EQ(call("OFFLINE s-none").rfind("NAK ", 0), 0U);
  EXPECT_EQ(call("OFFLINE s-origin").rfind("NAK ", 0), 0U);
  EXPECT_EQ(call("ONLINE s-none").rfind("NAK ", 0), 0U);
  EXPECT_EQ(call("ONLINE s-cache").rfind("ACK ", 0), 0U);
  EXPECT_EQ(call("OFFLINE s-cache").rfind("ACK ", 0), 0U);
  EXPECT_EQ(call("OFFLINE s-cache").rfind("ACK ", 0), 0U);
  EXPECT_EQ(metrics()["hosts_down"], 1);
  EXPECT_EQ(metrics()["hosts_listed"], 2);
  const std::size_t before = cache.requests.size();
  read_keys(30);
  // Lists repeat the server, omit it, and contain it again.
  for (const auto& members : std::vector<std::vector<MemberText>>{
           {{"s-cache", cache.address()},
            {"s-second", second.address()},
            {"s-origin", origin.address(), "origin"}},
           {{"s-second", second.address()}, {"s-origin", origin.address(), "origin"}},
           {{"s-cache", cache.address()},
            {"s-second", second.address()},
            {"s-origin", origin.address(), "origin"}}}) {
    static int revision = 10;
    chunk(list_json(static_cast<std::uint64_t>(++revision), true, members).dump() + "\n");
    quiet(50);
    read_keys(30);
  }
  EXPECT_EQ(cache.requests.size(), before);
  EXPECT_EQ(call("ONLINE s-cache").rfind("ACK ", 0), 0U);
  EXPECT_EQ(metrics()["hosts_down"], 0);
  read_keys(60);
  EXPECT_GT(cache.requests.size(), before);
}

// The server may have restarted while it was disabled, without a new start time in the list: it gets a slow
// start.
TEST_F(ManagementServer, EnabledServer_GetsASlowStart) {
  cache.answer = second.answer = [](const std::string&) { return response(200, "x"); };
  const auto known = list_json(1, true,
                               {{"s-cache", cache.address()},
                                {"s-second", second.address()},
                                {"s-origin", origin.address(), "origin"}});
  json config = config_json(text_of(discovery.local_endpoint()), known);
  config["settings"]["Guarantees"]["ColdShare"] = 0.1;
  config["settings"]["Guarantees"]["ColdUs"] = 600'000'000;
  settings = platform::parse_settings(config.dump());
  settings.management.emplace() = any_port();
  host = std::make_unique<daemon::Host>(io, clock, settings);
  read_keys(200);
  const std::size_t warm = cache.requests.size();
  ASSERT_GT(warm, 50U);
  call("OFFLINE s-cache");
  call("ONLINE s-cache");
  read_keys(200);
  EXPECT_GT(cache.requests.size(), warm);
  EXPECT_LT(cache.requests.size() - warm, warm / 2);
}

struct ManagementServerClockSteps : ManagementServer, ::testing::WithParamInterface<Time> {
  // Two caches with a slow start of ten minutes.
  void begin_with_slow_start() {
    cache.answer = second.answer = [](const std::string&) { return response(200, "x"); };
    const auto known = list_json(1, true,
                                 {{"s-cache", cache.address()},
                                  {"s-second", second.address()},
                                  {"s-origin", origin.address(), "origin"}});
    json config = config_json(text_of(discovery.local_endpoint()), known);
    config["settings"]["Guarantees"]["ColdShare"] = 0.1;
    config["settings"]["Guarantees"]["ColdUs"] = 600'000'000;
    settings = platform::parse_settings(config.dump());
    settings.management.emplace() = any_port();
    host = std::make_unique<daemon::Host>(io, clock, settings);
  }
  // The number of reads, of 200, that s-cache receives: about half when both caches are warm.
  std::size_t reads_at_cache() {
    const std::size_t before = cache.requests.size();
    read_keys(200);
    return cache.requests.size() - before;
  }
};

TEST_P(ManagementServerClockSteps, ServerEnabledAfterTheStep_IsCold) {
  begin_with_slow_start();
  ASSERT_GT(reads_at_cache(), 50U);
  call("OFFLINE s-cache");
  wall_steps += GetParam();
  call("ONLINE s-cache");
  EXPECT_LT(reads_at_cache(), 50U);
}

// Each OFFLINE removes old overrides of enabled servers. After a step of the wall clock a recent override
// must not count as old.
TEST_P(ManagementServerClockSteps, ServerEnabledBeforeTheStep_StaysCold) {
  begin_with_slow_start();
  call("OFFLINE s-cache");
  call("ONLINE s-cache");
  wall_steps += GetParam();
  call("OFFLINE s-second");
  call("ONLINE s-second");
  // Two cold servers share the reads; a warm one would receive nearly all of them.
  EXPECT_LT(reads_at_cache(), 150U);
}

INSTANTIATE_TEST_SUITE_P(By, ManagementServerClockSteps,
                         ::testing::Values(Time{5'000'000}, Time{-5'000'000}, Time{3'600'000'000},
                                           Time{-3'600'000'000}),
                         [](const auto& info) {
                           const Time seconds = info.param / 1'000'000;
                           return (seconds < 0 ? "Back" : "Forth") + std::to_string(std::abs(seconds)) + "s";
                         });

TEST_F(ManagementServer, Drain_ClosesConnectionsAndServesUntilJoin) {
  cache.answer = second.answer = [](const std::string&) { return response(200, "x"); };
  begin();
  EXPECT_EQ(call("JOIN").rfind("ACK ", 0), 0U);
  const auto idle = client();
  idle->ask(a_read());
  ASSERT_TRUE(wait_for([&] { return idle->answers.size() == 1; }));
  const auto silent = client();
  quiet();
  EXPECT_EQ(call("LEAVE").rfind("ACK ", 0), 0U);
  EXPECT_EQ(call("LEAVE").rfind("ACK ", 0), 0U);
  ASSERT_TRUE(wait_for([&] { return idle->peer->ended && silent->peer->ended; }));
  EXPECT_EQ(health_status(), 503);
  // The router still listens: a request on a new connection is served, and the connection is closed.
  const auto late = client();
  late->ask(a_read());
  ASSERT_TRUE(wait_for([&] { return late->answers.size() == 1 && late->peer->ended; }));
  EXPECT_EQ(late->status(), 200);
  EXPECT_NE(late->answers[0].find("Connection: close"), std::string::npos);
  const auto silent_client = client();
  ASSERT_TRUE(wait_for([&] { return silent_client->peer->ended; }));
  EXPECT_EQ(call("HEALTH"), "ACK serving\n");
  EXPECT_EQ(call("JOIN").rfind("ACK ", 0), 0U);
  EXPECT_EQ(health_status(), 200);
  const auto again = client();
  again->ask(a_read());
  ASSERT_TRUE(wait_for([&] { return again->answers.size() == 1; }));
  quiet();
  EXPECT_FALSE(again->peer->ended);
}

TEST_F(ManagementServer, LeaveAndJoinDuringShutdown_AreAnsweredAndItEnds) {
  begin();
  bool done = false;
  host->drain([&] { done = true; });
  EXPECT_EQ(call("LEAVE").rfind("ACK ", 0), 0U);
  EXPECT_EQ(call("JOIN").rfind("ACK ", 0), 0U);
  EXPECT_EQ(health_status(), 503);
  EXPECT_TRUE(wait_for([&] { return done; }));
}

TEST_F(ManagementServer, AnswerNotRead_ConnectionIsClosed) {
  begin();
  std::vector<std::unique_ptr<net::tcp::socket>> unread;
  for (int i = 0; i < 5; ++i) {
    unread.push_back(std::make_unique<net::tcp::socket>(io));
    unread.back()->connect(*host->operators().address());
    asio::write(*unread.back(), asio::buffer(std::string("DUMP\n")));
  }
  ASSERT_TRUE(wait_for([&] { return host->operators().server()->counts().answered == 5; }));
  EXPECT_TRUE(wait_for([&] { return host->operators().server()->open_connections() == 0; }));
}

// Requests that the load shedder rejects before the engine sees them must count as rejected too.
TEST_F(ManagementServer, RequestsRejectedByTheLoadShedder_CountAsBusy) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  settings = platform::parse_settings(
      config_json(
          text_of(discovery.local_endpoint()),
          list_json(1, true, {{"s-cache", cache.address()}, {"s-origin", origin.address(), "origin"}}))
          .dump());
  settings.management.emplace() = any_port();
  settings.overload.target_loop_lag = 2'000;
  host = std::make_unique<daemon::Host>(io, clock, settings);
  LoopLoad load(io);
  std::size_t served = 0, rejected = 0;
  const auto one = client();
  for (std::size_t asked = 0; rejected < 3 && asked < 400; ++asked) {
    one->ask(a_read());
    ASSERT_TRUE(wait_for([&] { return one->answers.size() == asked + 1; }));
    ++(one->status(asked) == 200 ? served : rejected);
  }
  // The loop is equally late for operators, and their commands are answered.
  EXPECT_EQ(call("HEALTH"), "ACK serving\n");
  load.end();
  ASSERT_EQ(rejected, 3U);
  EXPECT_EQ(host->load_shedder().rejected(), 3U);
  const json metrics_now = metrics();
  EXPECT_EQ(metrics_now["success"]["read"], served);
  EXPECT_EQ(metrics_now["busy"]["read"], 3);
  EXPECT_EQ(metrics_now["backend_calls"], cache.requests.size());
}

// Many concurrent clients over servers that miss, fail and reject: the metrics count each result that a
// client saw once, and each attempt that a server received.
TEST_F(ManagementServer, ManyClients_MetricsMatchClientsAndServers) {
  begin();
  int turn = 0;
  const auto answer = [&](const std::string&) {
    switch (++turn % 11) {
      case 3: return response(404);
      case 5: return response(500);
      case 7: return response(503, "", "X-Turned-Away: 1\r\n");
      default: return response(200, std::string(static_cast<std::size_t>(turn % 5) * 40'000, 'x'));
    }
  };
  cache.answer = second.answer = origin.answer = answer;
  constexpr std::size_t kClients = 40, kEach = 10;
  std::vector<std::unique_ptr<FakeClient>> all;
  for (std::size_t i = 0; i < kClients; ++i) all.push_back(client());
  std::map<std::string, engine::RequestMetrics::ClassCounts> client_results;
  for (std::size_t round = 0; round < kEach; ++round) {
    for (std::size_t i = 0; i < kClients; ++i) {
      const std::string lane = i % 3 == 0 ? "save" : i % 3 == 1 ? "pay" : "read";
      all[i]->ask(lane == "read"
                      ? read_of(static_cast<int>(round * kClients + i))
                      : request_text("PUT", "/" + lane + "/1", lane, "x", "8.0",
                                     "Idempotency-Key: k" + std::to_string(round * kClients + i) + "\r\n"));
    }
    ASSERT_TRUE(wait_for([&] {
      return std::all_of(all.begin(), all.end(),
                         [&](const auto& one) { return one->answers.size() == round + 1; });
    }));
    for (std::size_t i = 0; i < kClients; ++i) {
      engine::RequestMetrics::ClassCounts& ends = client_results[i % 3 == 0   ? "save"
                                                                 : i % 3 == 1 ? "pay"
                                                                              : "read"];
      const int status = all[i]->status(round);
      ++(status == 200 ? ends.served : status == 503 || status == 429 ? ends.rejected : ends.failed);
    }
  }
  // Cancelled hedges may not have been counted yet.
  ASSERT_TRUE(wait_for([&] {
    const auto dump = host->operators().dump();
    return dump.inflight == 0 &&
           dump.backend_calls == cache.requests.size() + second.requests.size() + origin.requests.size();
  }));
  const auto dump = host->operators().dump();
  for (const std::string name : {"read", "save", "pay"}) {
    EXPECT_EQ(dump.classes.at(name).served, client_results[name].served) << name;
    EXPECT_EQ(dump.classes.at(name).rejected, client_results[name].rejected) << name;
    EXPECT_EQ(dump.classes.at(name).failed, client_results[name].failed) << name;
  }
  EXPECT_GT(client_results["pay"].failed, 0U);
  EXPECT_GT(client_results["read"].served, 0U);
}

}  // namespace
}  // namespace streampick::test
