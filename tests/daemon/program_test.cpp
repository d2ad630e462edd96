// The router program: its configuration and its signals.
#include "daemon/running.h"

namespace streampick::test {
namespace {

int exit_code(const std::string& command) {
  const int status = std::system(command.c_str());
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(RouterProgramExit, InvalidConfiguration_ExitsWithOneLine) {
  const auto folder = std::filesystem::path(::testing::TempDir());
  const std::string config = (folder / ("streampick_config_" + std::to_string(::getpid()))).string();
  const std::string log = config + ".err";
  const std::string run = "NODE_CONFIG='" + config + "' " STREAMPICK_ROUTER " 2> '" + log + "'";
  std::filesystem::remove(config);
  for (const std::string text : {"", "{", "{}", "[]", "{\"settings\": 5, \"listen\": 3}"}) {
    if (!text.empty()) std::ofstream(config) << text;
    EXPECT_EQ(exit_code(run), 2) << text;
    std::ifstream lines(log);
    std::string line;
    EXPECT_TRUE(std::getline(lines, line) && line.find("configuration") != std::string::npos) << line;
    EXPECT_FALSE(std::getline(lines, line)) << line;
  }
  EXPECT_EQ(exit_code("env -u NODE_CONFIG " STREAMPICK_ROUTER " 2> /dev/null"), 2);
}

TEST(RouterProgramExit, Sigterm_ExitsWithZero) {
  const auto config =
      std::filesystem::path(::testing::TempDir()) / ("streampick_term_" + std::to_string(::getpid()));
  std::ofstream(config) << config_json("127.0.0.1:1", list_json(1, true, {})).dump();
  EXPECT_EQ(exit_code("NODE_CONFIG='" + config.string() +
                      "' timeout --preserve-status -s TERM 2 " STREAMPICK_ROUTER " 2> /dev/null"),
            0);
}

TEST_F(RouterProgram, Sighup_AppliesAValidConfigurationOnly) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  run();
  ASSERT_TRUE(accepts_watch(discovery));
  net::tcp::acceptor next(io, any_port());
  configure(config_text(text_of(next.local_endpoint())));
  signal(SIGHUP);
  EXPECT_TRUE(accepts_watch(next));
  EXPECT_TRUE(serves_a_read());
  for (const std::string bad : {"", "{", "{\"settings\": 5}", "[]"}) {
    configure(bad);
    signal(SIGHUP);
    EXPECT_TRUE(serves_a_read()) << bad;
  }
  std::filesystem::remove(config_);
  signal(SIGHUP);
  EXPECT_TRUE(serves_a_read());
  configure(config_text(text_of(discovery.local_endpoint())));
  signal(SIGHUP);
  EXPECT_TRUE(accepts_watch(discovery));
  signal(SIGTERM);
  EXPECT_EQ(exit_code_of_child(), 0);
}

TEST_F(RouterProgram, RepeatedSignalsDuringShutdown_ChangeNothing) {
  run();
  FakeClient one(io, listen_);
  one.ask(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  for (int i = 0; i < 3; ++i) {
    signal(SIGTERM);
    quiet(50);
    signal(SIGHUP);
    quiet(50);
  }
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return one.answers.size() == 1; }));
  EXPECT_EQ(one.status(), 200);
  EXPECT_EQ(exit_code_of_child(), 0);
}

// The router has no list of servers: discovery accepts its watch and sends nothing.
TEST_F(RouterProgram, SigtermBeforeTheFirstList_AnswersAndExits) {
  known_ = list_json(1, true, {});
  run();
  ASSERT_TRUE(accepts_watch(discovery));
  FakeClient one(io, listen_);
  one.ask(a_read());
  quiet(50);
  signal(SIGTERM);
  ASSERT_TRUE(wait_for([&] { return one.answers.size() == 1; }));
  EXPECT_EQ(one.status(), 503);
  EXPECT_EQ(exit_code_of_child(), 0);
}

// Idle clients take all descriptors while discovery is unreachable: three times as many connect as there are
// descriptors. Once discovery is back, the router must still be able to read the list and to reach a server
// that only this list names.
TEST_F(RouterProgram, IdleClientsFillTheDescriptors_DiscoveryAndServersAreReached) {
  FakeServer other(io, [](const std::string&) { return response(200, "y"); });
  sockets_ = 128;
  known_ = list_json(1, true, {});
  const net::tcp::endpoint at = discovery.local_endpoint();
  run(true);
  discovery.close();
  std::vector<std::unique_ptr<net::tcp::socket>> idle;
  for (int i = 0; i < 400; ++i) {
    idle.push_back(std::make_unique<net::tcp::socket>(io));
    net::error_code ignored;
    idle.back()->connect(listen_, ignored);
    if (i % 2 == 0) asio::write(*idle.back(), asio::buffer(std::string("GET /up HTTP/1.1\r\n\r\n")), ignored);
    if (i % 50 == 0) quiet(20);
  }
  quiet(300);
  discovery = net::tcp::acceptor(io, at);
  accept_watch();
  begin_watch();
  chunk(list_json(2, true, {{"s-new", other.address()}, {"s-origin", origin.address(), "origin"}}).dump() +
        "\n");
  EXPECT_TRUE(serves_a_read());
  EXPECT_EQ(other.requests.size(), 1U);
}

// Discovery accepts the connections of twenty routers and answers none: each serves with the list in its
// configuration.
TEST_F(RouterProgram, SimultaneousStartsWithSlowDiscovery_AreReady) {
  std::vector<std::shared_ptr<Peer>> watches;
  std::function<void()> accept = [&] {
    discovery.async_accept([&](net::error_code error, net::tcp::socket socket) {
      if (error) return;
      watches.push_back(std::make_shared<Peer>(std::move(socket)));
      accept();
    });
  };
  accept();
  EXPECT_LT(start_many(20, text_of(discovery.local_endpoint())), std::chrono::seconds(10));
  discovery.close();
  quiet(10);
}

TEST_F(RouterProgram, SighupDuringShutdown_DoesNotEndTheProcess) {
  run();
  FakeClient one(io, listen_);
  one.ask(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  signal(SIGTERM);
  // The router has handled the signal once it reports that it is not ready, or no longer listens.
  ASSERT_TRUE(wait_for([&] { return !is_ready(listen_); }));
  signal(SIGHUP);
  quiet();
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return one.answers.size() == 1; }));
  EXPECT_EQ(one.status(), 200);
  EXPECT_EQ(exit_code_of_child(), 0);
}

}  // namespace
}  // namespace streampick::test
