// The program as it is started: its configuration and its signals.
#include "daemon/running.h"

namespace streampick::test {
namespace {

int exit_code(const std::string& command) {
  const int status = std::system(command.c_str());
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

TEST(Program, ABadConfigurationEndsItWithOneLine) {
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

TEST(Program, SigtermEndsItWithZero) {
  const auto config =
      std::filesystem::path(::testing::TempDir()) / ("streampick_term_" + std::to_string(::getpid()));
  std::ofstream(config) << config_json("127.0.0.1:1", list_json(1, true, {})).dump();
  EXPECT_EQ(exit_code("NODE_CONFIG='" + config.string() +
                      "' timeout --preserve-status -s TERM 2 " STREAMPICK_ROUTER " 2> /dev/null"),
            0);
}

TEST_F(Running, SighupTakesTheNewConfigurationAndABadOneChangesNothing) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  run();
  ASSERT_TRUE(watched(discovery));
  net::tcp::acceptor next(io, any_port());
  configure(config_text(text_of(next.local_endpoint())));
  signal(SIGHUP);
  EXPECT_TRUE(watched(next));
  EXPECT_TRUE(serves());
  for (const std::string bad : {"", "{", "{\"settings\": 5}", "[]"}) {
    configure(bad);
    signal(SIGHUP);
    EXPECT_TRUE(serves()) << bad;
  }
  std::filesystem::remove(config_);
  signal(SIGHUP);
  EXPECT_TRUE(serves());
  configure(config_text(text_of(discovery.local_endpoint())));
  signal(SIGHUP);
  EXPECT_TRUE(watched(discovery));
  signal(SIGTERM);
  EXPECT_EQ(exit_code_of_child(), 0);
}

TEST_F(Running, ASecondSigtermAndASighupWhileItStopsChangeNothing) {
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

// It knows no server, and discovery has accepted its watch and says nothing.
TEST_F(Running, ToldToStopBeforeTheFirstListItAnswersAndEnds) {
  known_ = list_json(1, true, {});
  run();
  ASSERT_TRUE(watched(discovery));
  FakeClient one(io, listen_);
  one.ask(a_read());
  quiet(50);
  signal(SIGTERM);
  ASSERT_TRUE(wait_for([&] { return one.answers.size() == 1; }));
  EXPECT_EQ(one.status(), 503);
  EXPECT_EQ(exit_code_of_child(), 0);
}

// Three times as many as there are descriptors rest with the router while discovery can't be had. On its
// return the list is read, and requests are served by a server that only it names.
TEST_F(Running, IdleClientsThatFillTheDescriptorsKeepNeitherDiscoveryNorServersOut) {
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
  EXPECT_TRUE(serves());
  EXPECT_EQ(other.requests.size(), 1U);
}

// Twenty at once, and discovery takes their calls and answers none: what is needed to serve is known before.
TEST_F(Running, ManyThatStartAtOnceAreReadyThoughDiscoveryIsSlow) {
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

TEST_F(Running, SighupWhileItStopsDoesNotEndIt) {
  run();
  FakeClient one(io, listen_);
  one.ask(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  signal(SIGTERM);
  // It no longer calls itself ready, or no longer listens: it has taken the signal.
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
