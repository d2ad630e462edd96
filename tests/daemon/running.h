/// A test fixture that runs the program as it is started, as a child, between peers of the test's own.
#pragma once

#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <optional>

#include "support/loopback.h"

namespace streampick::test {

/// A library that is loaded into the router and not into the test: the environment may name one.
inline void preload_into_router() {
  const char* library = std::getenv("STREAMPICK_ROUTER_PRELOAD");
  if (library == nullptr) return;
  ::setenv("LD_PRELOAD", library, 1);
  // A sanitizer's runtime wants to be the first library; it works behind this one as well.
  ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
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
    if (known_.is_null())
      known_ = list_json(1, true, {{"s-cache", cache.address()}, {"s-origin", origin.address(), "origin"}});
    nlohmann::json json = config_json(discovery_address, known_);
    json["listen"] = text_of(listen_);
    json["limits"]["sockets"] = sockets_;
    for (nlohmann::json& profile : json["settings"]["Profiles"])
      profile["HardLimitUs"] = longest_deadline_us_;
    return json.dump();
  }
  // `held`: to no more than the configuration says, as the platform does.
  void run(bool held = false) {
    listen_ = reserve_port();
    configure(config_text(text_of(discovery.local_endpoint())));
    child_ = start_program(config_, held ? std::optional(sockets_) : std::nullopt);
    ASSERT_GE(child_, 0);
    ASSERT_TRUE(wait_for([&] {
      net::tcp::socket probe(io);
      net::error_code error;
      probe.connect(listen_, error);
      return !error;
    }));
  }
  // So many at once, each at an address of its own. Returns how long it took until all were ready.
  std::chrono::steady_clock::duration start_many(std::size_t routers, const std::string& discovery_address) {
    std::vector<pid_t> children;
    std::vector<net::tcp::endpoint> doors;
    std::vector<std::filesystem::path> files;
    for (std::size_t i = 0; i < routers; ++i) {
      doors.push_back(reserve_port());
      listen_ = doors.back();
      files.push_back(config_.string() + "." + std::to_string(i));
      std::ofstream(files.back()) << config_text(discovery_address);
    }
    const auto began = std::chrono::steady_clock::now();
    for (const auto& file : files) children.push_back(start_program(file, std::nullopt));
    std::size_t ready = 0;
    for (const net::tcp::endpoint& door : doors) ready += wait_for([&] { return is_ready(door); });
    const auto took = std::chrono::steady_clock::now() - began;
    EXPECT_EQ(ready, routers);
    for (const pid_t child : children) ::kill(child, SIGKILL);
    for (const pid_t child : children) ::waitpid(child, nullptr, 0);
    for (const auto& file : files) std::filesystem::remove(file);
    return took;
  }
  /// A port that no other process is given while the test runs: bound and not listened on, which a router
  /// that binds it with SO_REUSEADDR does not mind.
  net::tcp::endpoint reserve_port() {
    net::tcp::acceptor& bound = reserved_.emplace_back(io);
    bound.open(net::tcp::v4());
    bound.set_option(net::tcp::acceptor::reuse_address(true));
    bound.bind(any_port());
    return bound.local_endpoint();
  }
  bool is_ready(const net::tcp::endpoint& door) { return up_answer(door) == "HTTP/1.1 200"; }
  // The first bytes of its answer to GET /up; none: nobody answers there.
  std::string up_answer(const net::tcp::endpoint& door) {
    net::tcp::socket probe(io);
    net::error_code error;
    probe.connect(door, error);
    if (error) return {};
    asio::write(probe, asio::buffer(std::string("GET /up HTTP/1.1\r\n\r\n")), error);
    std::array<char, 12> answer{};
    asio::read(probe, asio::buffer(answer), error);
    return error ? std::string() : std::string(answer.data(), answer.size());
  }
  // The program as a child, held to `descriptors` if that is told.
  static pid_t start_program(const std::filesystem::path& config, std::optional<rlim_t> descriptors) {
    const pid_t child = ::fork();
    if (child != 0) return child;
    ::setenv("NODE_CONFIG", config.c_str(), 1);
    if (descriptors) {
      const rlimit most{*descriptors, *descriptors};
      ::setrlimit(RLIMIT_NOFILE, &most);
    }
    for (int fd = 3; fd < 4'096; ++fd) ::close(fd);
    preload_into_router();
    ::execl(STREAMPICK_ROUTER, STREAMPICK_ROUTER, nullptr);
    ::_exit(127);
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
  bool watched(net::tcp::acceptor& at) {
    bool came = false;
    at.async_accept([&](net::error_code error, net::tcp::socket) { came = !error; });
    return wait_for([&] { return came; });
  }

  std::vector<net::tcp::acceptor> reserved_;
  std::filesystem::path config_;
  net::tcp::endpoint listen_;
  pid_t child_ = 0;
  rlim_t sockets_ = 256;
  std::int64_t longest_deadline_us_ = 8'000'000;
  nlohmann::json known_;  // before the start; null: the cache and the origin
};

}  // namespace streampick::test
