/// Starts the router as a child process with the preloaded library that fails system calls. Servers,
/// discovery and clients run in the test's process.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "faults/fault_counts.h"
#include "support/loopback.h"

namespace streampick::test {

/// Which system calls fail in a router's process, and how its wall clock is stepped.
struct FaultPlan {
  std::string faults;  // value of STREAMPICK_FAULTS
  std::uint64_t seed = 1;
  std::string clock_steps = {};  // value of STREAMPICK_CLOCK_STEPS
  bool armed = true;             // whether calls fail from the start of the process
};

/// The test's view of the counts that it shares with a router's process.
class SharedCounts {
 public:
  explicit SharedCounts(std::string path) : path_(std::move(path)) {
    const int file = ::open(path_.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    const bool is_sized = ::ftruncate(file, sizeof(faults::FaultCounts)) == 0;
    void* at = ::mmap(nullptr, sizeof(faults::FaultCounts), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    if (!is_sized || at == MAP_FAILED) throw std::runtime_error("cannot map shared memory: " + path_);
    counts_ = static_cast<faults::FaultCounts*>(at);
  }
  ~SharedCounts() {
    ::munmap(counts_, sizeof(faults::FaultCounts));
    std::filesystem::remove(path_);
  }
  SharedCounts(const SharedCounts&) = delete;
  SharedCounts& operator=(const SharedCounts&) = delete;

  const std::string& path() const { return path_; }
  void arm(bool armed) { counts_->armed = armed ? 1 : 0; }
  std::uint64_t calls(faults::Call call) const { return counts_->calls[static_cast<std::size_t>(call)]; }
  std::uint64_t faults(faults::Call call) const { return counts_->faults[static_cast<std::size_t>(call)]; }
  std::uint64_t all_faults() const {
    std::uint64_t out = 0;
    for (const auto& count : counts_->faults) out += count;
    return out;
  }

 private:
  std::string path_;
  faults::FaultCounts* counts_ = nullptr;
};

/// A router's process. The destructor kills it if it still runs.
class FaultyRouter {
 public:
  /// `config`: the platform's configuration file. `environment`: further environment variables. `options`:
  /// the options file; empty: none.
  FaultyRouter(const std::string& name, const nlohmann::json& config, const FaultPlan& plan,
               const std::vector<std::pair<std::string, std::string>>& environment = {},
               const std::string& options = "")
      : file_(std::filesystem::path(::testing::TempDir()) /
              ("streampick_faults_" + std::to_string(::getpid()) + "_" + name)),
        counts_(file_.string() + ".counts") {
    std::ofstream(file_) << config.dump();
    std::ofstream(options_file()) << options;
    counts_.arm(plan.armed);
    child_ = ::fork();
    if (child_ == 0) run(plan, environment, !options.empty());
  }
  ~FaultyRouter() {
    if (child_ > 0) {
      ::kill(child_, SIGKILL);
      ::waitpid(child_, nullptr, 0);
    }
    for (const std::string& file : {file_.string(), options_file(), log_file()})
      std::filesystem::remove(file);
  }
  FaultyRouter(const FaultyRouter&) = delete;
  FaultyRouter& operator=(const FaultyRouter&) = delete;

  SharedCounts& counts() { return counts_; }
  void signal(int number) const {
    if (child_ > 0) ::kill(child_, number);
  }
  /// Atomically replaces the configuration file.
  void configure(const nlohmann::json& config) const {
    const std::string next = file_.string() + ".next";
    std::ofstream(next) << config.dump();
    std::filesystem::rename(next, file_);
  }
  /// Whether the process has exited; exit_code() is valid then.
  bool ended() {
    if (child_ <= 0) return true;
    int status = 0;
    if (::waitpid(child_, &status, WNOHANG) != child_) return false;
    child_ = 0;
    exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : kSignalExitBase + WTERMSIG(status);
    return true;
  }
  int exit_code() const { return exit_code_; }
  std::string log() const {
    std::ifstream file(log_file());
    return {std::istreambuf_iterator<char>(file), {}};
  }
  /// Returns the value `name` of the last "stopped:" line in the log, or nothing if there is none.
  std::optional<std::uint64_t> summary_value(const std::string& name) const {
    const std::string text = log();
    const std::size_t line = text.rfind("streampick: stopped:");
    if (line == std::string::npos) return std::nullopt;
    const std::size_t at = text.find(" " + name + "=", line);
    if (at == std::string::npos) return std::nullopt;
    return std::stoull(text.substr(at + name.size() + 2));
  }

 private:
  static constexpr int kSignalExitBase = 1000;
  static constexpr int kMaxDescriptors = 4'096;

  std::string options_file() const { return file_.string() + ".toml"; }
  std::string log_file() const { return file_.string() + ".log"; }

  [[noreturn]] void run(const FaultPlan& plan,
                        const std::vector<std::pair<std::string, std::string>>& environment,
                        bool has_options) const {
    const int log = ::open(log_file().c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND, 0600);
    ::dup2(log, STDERR_FILENO);
    int first_to_close = 3;
    for (const auto& [name, value] : environment) {
      ::setenv(name.c_str(), value.c_str(), 1);
      if (name == "NODE_PASSED_SOCKET") first_to_close = 4;  // passed as descriptor 3
    }
    for (int fd = first_to_close; fd < kMaxDescriptors; ++fd) ::close(fd);
    ::setenv("NODE_CONFIG", file_.c_str(), 1);
    ::setenv("STREAMPICK_FAULTS", plan.faults.c_str(), 1);
    ::setenv("STREAMPICK_FAULTS_SEED", std::to_string(plan.seed).c_str(), 1);
    ::setenv("STREAMPICK_FAULTS_FILE", counts_.path().c_str(), 1);
    ::setenv("STREAMPICK_CLOCK_STEPS", plan.clock_steps.c_str(), 1);
    ::setenv("LD_PRELOAD", STREAMPICK_CALL_FAULTS, 1);
    // AddressSanitizer's runtime checks that it is loaded first; it also works behind this library.
    ::setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    const std::string options = options_file();
    if (has_options) {
      ::execl(STREAMPICK_ROUTER, STREAMPICK_ROUTER, "--options", options.c_str(), nullptr);
    } else {
      ::execl(STREAMPICK_ROUTER, STREAMPICK_ROUTER, nullptr);
    }
    ::_exit(127);
  }

  std::filesystem::path file_;
  SharedCounts counts_;
  pid_t child_ = 0;
  int exit_code_ = -1;
};

/// Fixture with servers and a discovery service for routers whose system calls fail.
class RouterUnderFaults : public Loopback {
 protected:
  RouterUnderFaults() {
    accept_watches();
    keep_watches();
  }

  /// Returns an address for a router. The test keeps a socket bound to it without listening, so that the
  /// kernel gives its port to no other process.
  net::tcp::endpoint free_address() {
    net::tcp::acceptor& bound = reserved_.emplace_back(io);
    bound.open(net::tcp::v4());
    bound.set_option(net::tcp::acceptor::reuse_address(true));
    bound.bind(any_port());
    return bound.local_endpoint();
  }
  nlohmann::json members() const {
    return list_json(1, true, {{"s-cache", cache.address()}, {"s-origin", origin.address(), "origin"}});
  }
  nlohmann::json config(const net::tcp::endpoint& listen) const {
    nlohmann::json out = config_json(text_of(discovery.local_endpoint()), members());
    out["listen"] = text_of(listen);
    return out;
  }
  /// Whether GET /up on a new connection is answered with 200 within 2 s.
  bool is_up(const net::tcp::endpoint& address) {
    net::tcp::socket probe(io);
    net::error_code error;
    probe.connect(address, error);
    if (error) return false;
    FakeClient client(std::move(probe));
    client.ask("GET /up HTTP/1.1\r\n\r\n");
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (client.answers.empty() && !client.peer->ended && std::chrono::steady_clock::now() < until)
      quiet(5);
    return !client.answers.empty() && client.status() == 200;
  }
  [[nodiscard]] bool becomes_ready(FaultyRouter& router, const net::tcp::endpoint& address) {
    return wait_for([&] { return router.ended() || is_up(address); }) && !router.ended();
  }
  [[nodiscard]] bool ends(FaultyRouter& router) {
    return wait_for([&] { return router.ended(); });
  }

 private:
  /// Sends each new watch the endpoint list. keep_watches() then sends keep-alive lines.
  void accept_watches() {
    discovery.async_accept([this](net::error_code error, net::tcp::socket socket) {
      if (error) return;
      watches_.push_back(std::make_shared<Peer>(std::move(socket)));
      const auto watch = watches_.back();
      watch->read([](Peer&) {});
      const std::string list = members().dump() + "\n";
      std::array<char, 16> size{};
      std::snprintf(size.data(), size.size(), "%zx\r\n", list.size());
      watch->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string(size.data()) + list +
                   "\r\n");
      accept_watches();
    });
  }
  void keep_watches() {
    alive_.expires_after(std::chrono::seconds(1));
    alive_.async_wait([this](net::error_code cancelled) {
      if (cancelled) return;
      for (const auto& watch : watches_) watch->write("1\r\n\n\r\n");
      keep_watches();
    });
  }

  asio::steady_timer alive_{io};
  std::vector<net::tcp::acceptor> reserved_;
  std::vector<std::shared_ptr<Peer>> watches_;
};

}  // namespace streampick::test
