/// A test fixture that runs the router program as a child process, with fake servers and a fake discovery.
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

/// Sets LD_PRELOAD to the library that STREAMPICK_ROUTER_PRELOAD names, for the router and not for the test.
inline void preload_into_router() {
  const char* library = std::getenv("STREAMPICK_ROUTER_PRELOAD");
  if (library == nullptr) return;
  ::setenv("LD_PRELOAD", library, 1);
  // A sanitizer's runtime requires to be the first library by default; it also works after this one.
  ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
}

class RouterProgram : public Loopback {
 protected:
  RouterProgram()
      : config_(std::filesystem::path(::testing::TempDir()) /
                ("streampick_run_" + std::to_string(::getpid()))) {}
  ~RouterProgram() override {
    if (child_ > 0) {
      ::kill(child_, SIGKILL);
      ::waitpid(child_, nullptr, 0);
    }
    std::filesystem::remove(config_);
  }
  // Replaces the configuration file atomically, as the platform does.
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
    for (nlohmann::json& profile : json["settings"]["Profiles"]) profile["HardLimitUs"] = max_deadline_us_;
    return json.dump();
  }
  // `limited`: the process may open only as many descriptors as the configuration says, as on the platform.
  void run(bool limited = false) {
    listen_ = reserve_port();
    configure(config_text(text_of(discovery.local_endpoint())));
    child_ = start_program(config_, limited ? std::optional(sockets_) : std::nullopt);
    ASSERT_GE(child_, 0);
    ASSERT_TRUE(wait_for([&] {
      net::tcp::socket probe(io);
      net::error_code error;
      probe.connect(listen_, error);
      return !error;
    }));
  }
  // Starts `routers` processes at once, each with its own address. Returns the time until all were ready.
  std::chrono::steady_clock::duration start_many(std::size_t routers, const std::string& discovery_address) {
    std::vector<pid_t> children;
    std::vector<net::tcp::endpoint> addresses;
    std::vector<std::filesystem::path> files;
    for (std::size_t i = 0; i < routers; ++i) {
      addresses.push_back(reserve_port());
      listen_ = addresses.back();
      files.push_back(config_.string() + "." + std::to_string(i));
      std::ofstream(files.back()) << config_text(discovery_address);
    }
    const auto start = std::chrono::steady_clock::now();
    for (const auto& file : files) children.push_back(start_program(file, std::nullopt));
    std::size_t ready = 0;
    for (const net::tcp::endpoint& address : addresses) ready += wait_for([&] { return is_ready(address); });
    const auto duration = std::chrono::steady_clock::now() - start;
    EXPECT_EQ(ready, routers);
    for (const pid_t child : children) ::kill(child, SIGKILL);
    for (const pid_t child : children) ::waitpid(child, nullptr, 0);
    for (const auto& file : files) std::filesystem::remove(file);
    return duration;
  }
  /// Reserves a port for the duration of the test: it is bound but not listened on, so that the router can
  /// still bind it with SO_REUSEADDR.
  net::tcp::endpoint reserve_port() {
    net::tcp::acceptor& bound = reserved_.emplace_back(io);
    bound.open(net::tcp::v4());
    bound.set_option(net::tcp::acceptor::reuse_address(true));
    bound.bind(any_port());
    return bound.local_endpoint();
  }
  bool is_ready(const net::tcp::endpoint& address) { return up_answer(address) == "HTTP/1.1 200"; }
  // The first bytes of the response to GET /up; empty: there is none.
  std::string up_answer(const net::tcp::endpoint& address) {
    net::tcp::socket probe(io);
    net::error_code error;
    probe.connect(address, error);
    if (error) return {};
    asio::write(probe, asio::buffer(std::string("GET /up HTTP/1.1\r\n\r\n")), error);
    std::array<char, 12> answer{};
    asio::read(probe, asio::buffer(answer), error);
    return error ? std::string() : std::string(answer.data(), answer.size());
  }
  // Starts the program as a child process that may open at most `descriptors` files, if given.
  static pid_t start_program(const std::filesystem::path& config, std::optional<rlim_t> descriptors) {
    const pid_t child = ::fork();
    if (child != 0) return child;
    ::setenv("NODE_CONFIG", config.c_str(), 1);
    if (descriptors) {
      const rlimit limit{*descriptors, *descriptors};
      ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    for (int fd = 3; fd < 4'096; ++fd) ::close(fd);
    preload_into_router();
    ::execl(STREAMPICK_ROUTER, STREAMPICK_ROUTER, nullptr);
    ::_exit(127);
  }
  void signal(int number) { ASSERT_EQ(::kill(child_, number), 0); }
  int exit_code_of_child() {
    int status = 0;
    const bool has_ended = wait_for([&] { return ::waitpid(child_, &status, WNOHANG) == child_; });
    if (!has_ended) return -1;
    child_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : 1000 + WTERMSIG(status);
  }
  bool serves_a_read() {
    FakeClient one(io, listen_);
    one.ask(a_read());
    return wait_for([&] { return one.answers.size() == 1; }) && one.status() == 200;
  }
  bool accepts_watch(net::tcp::acceptor& at) {
    bool accepted = false;
    at.async_accept([&](net::error_code error, net::tcp::socket) { accepted = !error; });
    return wait_for([&] { return accepted; });
  }

  std::vector<net::tcp::acceptor> reserved_;
  std::filesystem::path config_;
  net::tcp::endpoint listen_;
  pid_t child_ = 0;
  rlim_t sockets_ = 256;
  std::int64_t max_deadline_us_ = 8'000'000;
  nlohmann::json known_;  // the list in the configuration; null: the cache and the origin
};

}  // namespace streampick::test
