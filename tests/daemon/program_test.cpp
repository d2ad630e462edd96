// The program as it is started: its configuration and its signals.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "loopback.h"

namespace streampick::node::test {
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

// The program as a child, with a discovery and a server of the test's.
class Running : public Loopback {
 protected:
  Running()
      : config_(std::filesystem::path(::testing::TempDir()) /
                ("streampick_run_" + std::to_string(::getpid()))) {}
  ~Running() override {
    if (child_ > 0) {
      ::kill(child_, SIGKILL);
      ::waitpid(child_, nullptr, 0);
    }
    std::filesystem::remove(config_);
  }
  // Replaced as a whole, as the platform does it.
  void configure(const std::string& text) {
    const std::string next = config_.string() + ".next";
    std::ofstream(next) << text;
    std::filesystem::rename(next, config_);
  }
  std::string config_text(const std::string& discovery_address) {
    nlohmann::json json = config_json(
        discovery_address,
        list_json(1, true, {{"s-cache", cache.address()}, {"s-origin", origin.address(), "origin"}}));
    json["listen"] = text_of(listen_);
    return json.dump();
  }
  void run() {
    tcp::acceptor free(io, any_port());
    listen_ = free.local_endpoint();
    free.close();
    configure(config_text(text_of(discovery.local_endpoint())));
    child_ = ::fork();
    ASSERT_GE(child_, 0);
    if (child_ == 0) {
      ::setenv("NODE_CONFIG", config_.c_str(), 1);
      ::execl(STREAMPICK_ROUTER, STREAMPICK_ROUTER, nullptr);
      ::_exit(127);
    }
    ASSERT_TRUE(wait_for([&] {
      tcp::socket probe(io);
      error_code error;
      probe.connect(listen_, error);
      return !error;
    }));
  }
  void signal(int number) { ASSERT_EQ(::kill(child_, number), 0); }
  int exit_code_of_child() {
    int status = 0;
    const bool over = wait_for([&] { return ::waitpid(child_, &status, WNOHANG) == child_; });
    if (!over) return -1;
    child_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
  }
  bool serves() {
    FakeClient one(io, listen_);
    one.ask(a_read());
    return wait_for([&] { return one.answers.size() == 1; }) && one.status() == 200;
  }
  bool watched(tcp::acceptor& at) {
    bool came = false;
    at.async_accept([&](error_code error, tcp::socket) { came = !error; });
    return wait_for([&] { return came; });
  }

  std::filesystem::path config_;
  tcp::endpoint listen_;
  pid_t child_ = 0;
};

TEST_F(Running, SighupTakesTheNewConfigurationAndABadOneChangesNothing) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  run();
  ASSERT_TRUE(watched(discovery));
  tcp::acceptor next(io, any_port());
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

TEST_F(Running, SighupWhileItStopsDoesNotEndIt) {
  run();
  FakeClient one(io, listen_);
  one.ask(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  signal(SIGTERM);
  // It no longer calls itself ready, or no longer listens: it has taken the signal.
  ASSERT_TRUE(wait_for([&] {
    tcp::socket probe(io);
    error_code error;
    probe.connect(listen_, error);
    if (error) return true;
    asio::write(probe, asio::buffer(std::string("GET /up HTTP/1.1\r\n\r\n")), error);
    std::array<char, 12> answer{};
    asio::read(probe, asio::buffer(answer), error);
    return error || std::string(answer.data(), answer.size()) == "HTTP/1.1 503";
  }));
  signal(SIGHUP);
  quiet();
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return one.answers.size() == 1; }));
  EXPECT_EQ(one.status(), 200);
  EXPECT_EQ(exit_code_of_child(), 0);
}

}  // namespace
}  // namespace streampick::node::test
