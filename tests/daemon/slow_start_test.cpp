/// Twenty router processes and one cache server in slow start: the requests that all of them send it together
/// are counted at the server. All clients read one key of the starting server, and one read in three at the
/// other servers is rejected. A router that sends it the full share of a warm server, or sends retries to it
/// without regard to the slow start, exceeds the bound.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "standin/platform.h"
#include "support/loopback.h"

namespace streampick::test {
namespace {

using SteadyTime = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kRouters = 20;
constexpr std::size_t kWarmServers = 19;
constexpr milliseconds kRequestInterval{50};  // of one client
constexpr int kRequestsPerClient = 60;
constexpr int kRestartAfter = 30;  // requests of each client, then the server restarts

constexpr double kColdShare = 0.2;
constexpr double kOverloadFactor = 3;
constexpr seconds kColdTime{60};
constexpr seconds kLoadWindow{1};
constexpr double kNormalLoad = 0.45;  // share of a warm server's capacity that the clients use on average
constexpr double kRequestsPerSecond = static_cast<double>(kRouters) / 0.05;
constexpr double kCapacity = kRequestsPerSecond / (kWarmServers + 1) / kNormalLoad;

std::int64_t wall_clock_ms() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

std::string read_of(const std::string& key) {
  return request_text("GET", "/tile-read/" + key, "tile-read", "", "4.0");
}

// A client of one router: it sends requests at a constant interval and skips a turn while it waits for a
// response.
class PacedClient {
 public:
  PacedClient(asio::io_context& io, const net::tcp::endpoint& router, std::string text_key)
      : client_(io, router), timer_(io), key_(std::move(text_key)) {
    turn();
  }
  int turns() const { return turns_; }
  std::size_t asked() const { return asked_; }
  std::size_t answered() const { return client_.answers.size(); }

 private:
  void turn() {
    ++turns_;
    if (client_.answers.size() == asked_) {
      ++asked_;
      client_.ask(read_of(key_));
    }
    if (turns_ == kRequestsPerClient) return;
    timer_.expires_after(kRequestInterval);
    timer_.async_wait([this](net::error_code cancelled) {
      if (!cancelled) turn();
    });
  }
  FakeClient client_;
  asio::steady_timer timer_;
  std::string key_;
  int turns_ = 0;
  std::size_t asked_ = 0;
};

class SlowStartFleet : public ::testing::Test {
 protected:
  SlowStartFleet() {
    starting_.answer = [this](const std::string& message) {
      calls_.push_back({std::chrono::steady_clock::now(), started_});
      first_line_ = message.substr(0, message.find("\r\n"));
      return response(200, "x");
    };
    // One read in three is rejected without execution, so that the router retries it at another server.
    warm_.answer = [this](const std::string&) {
      const bool rejected = rejects_ && ++warm_calls_ % 3 == 0;
      return rejected ? response(503, "", "X-Turned-Away: 1\r\n") : response(200, "x");
    };
    origin_.answer = [](const std::string&) { return response(200, "x"); };
    discovery_ = std::make_unique<standin::StaticDiscovery>(io_, members(0));
  }

  std::vector<standin::PlatformMember> members(std::int64_t up_since_ms) const {
    std::vector<standin::PlatformMember> out;
    for (std::size_t i = 0; i < kWarmServers; ++i)
      out.push_back({"s-warm-" + std::to_string(i), warm_.address()});
    out.push_back({"s-starting", starting_.address(), false, "in_service", up_since_ms});
    out.push_back({"s-origin", origin_.address(), true});
    return out;
  }

  // Starts a router whose configuration holds the list. Returns the address for clients.
  net::tcp::endpoint start_router(std::int64_t up_since_ms) {
    constexpr std::size_t kSockets = 256;
    const std::string listen = "127.0.0.1:" + std::to_string(standin::free_port(io_));
    auto config = standin::router_config(listen, discovery_->address(), members(up_since_ms), kSockets);
    config["seed"] = "8c1f30d27a5be9" + std::to_string(10 + processes_.size());
    config["settings"]["Balancers"] = kRouters;
    auto& guarantees = config["settings"]["Guarantees"];
    guarantees["ColdShare"] = kColdShare;
    guarantees["ColdUs"] = std::chrono::microseconds(kColdTime).count();
    guarantees["OverloadFactor"] = kOverloadFactor;
    guarantees["TipAfterUs"] = std::chrono::microseconds(kLoadWindow).count();
    processes_.push_back(
        std::make_unique<standin::RouterProcess>(STREAMPICK_ROUTER, config, "", "/dev/null"));
    const auto colon = listen.find(':');
    return {asio::ip::make_address(listen.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(listen.substr(colon + 1)))};
  }

  template <typename Condition>
  [[nodiscard]] bool wait_for(Condition holds) {
    const auto until = std::chrono::steady_clock::now() + seconds(60);
    while (!holds()) {
      if (std::chrono::steady_clock::now() > until) return false;
      io_.restart();
      io_.run_one_for(milliseconds(10));
    }
    return true;
  }
  [[nodiscard]] bool wait_until_listening(const net::tcp::endpoint& router) {
    return wait_for([&] {
      net::tcp::socket probe(io_);
      net::error_code error;
      probe.connect(router, error);
      return !error;
    });
  }

  // Finds a key of the server that starts later, through a router to which all servers are warm.
  std::string find_key_of_starting_server() {
    const net::tcp::endpoint router = start_router(0);
    if (!wait_until_listening(router)) return {};
    FakeClient client(io_, router);
    std::string key;
    for (std::size_t i = 0; calls_.empty(); ++i) {
      key = "sheet-" + std::to_string(i);
      client.ask(read_of(key));
      if (!wait_for([&] { return client.answers.size() == i + 1; })) return {};
    }
    processes_.clear();
    return key;
  }

  void start_server() {
    started_ = std::chrono::steady_clock::now();
    discovery_->change(members(wall_clock_ms()));
  }

  // The maximum number of calls at the starting server within a window, by its capacity at the begin of the
  // window.
  static double bound_at(SteadyTime at, SteadyTime started) {
    const double warm = std::min(1.0, std::chrono::duration<double>(at - started) / kColdTime);
    const double budget = kOverloadFactor * kCapacity * (kColdShare + (1 - kColdShare) * warm) *
                          std::chrono::duration<double>(kLoadWindow).count();
    if (budget < 30) return budget + 3 * std::sqrt(budget) + 3;
    return budget + 2 * std::sqrt(budget) + 2;
  }

  struct Call {
    SteadyTime at, started;
  };

  asio::io_context io_{1};
  FakeServer warm_{io_}, starting_{io_}, origin_{io_};
  std::unique_ptr<standin::StaticDiscovery> discovery_;
  std::vector<std::unique_ptr<standin::RouterProcess>> processes_;
  std::vector<Call> calls_;
  SteadyTime started_{};
  std::string first_line_;
  bool rejects_ = false;
  std::uint64_t warm_calls_ = 0;
};

TEST_F(SlowStartFleet, TwentyRouters_StayWithinTheBudgetOfAStartingServer) {
  const std::string key = find_key_of_starting_server();
  ASSERT_FALSE(key.empty());
  ASSERT_NE(first_line_.find(key), std::string::npos);
  calls_.clear();
  rejects_ = true;

  start_server();
  const std::int64_t up_since_ms = wall_clock_ms();
  std::vector<net::tcp::endpoint> routers;
  for (std::size_t i = 0; i < kRouters; ++i) routers.push_back(start_router(up_since_ms));
  for (const net::tcp::endpoint& router : routers) ASSERT_TRUE(wait_until_listening(router));

  std::vector<std::unique_ptr<PacedClient>> clients;
  for (const net::tcp::endpoint& router : routers)
    clients.push_back(std::make_unique<PacedClient>(io_, router, key));
  const auto all_have_taken = [&](int turns) {
    return std::all_of(clients.begin(), clients.end(),
                       [&](const auto& one) { return one->turns() >= turns; });
  };
  ASSERT_TRUE(wait_for([&] { return all_have_taken(kRestartAfter); }));
  start_server();
  ASSERT_TRUE(wait_for([&] { return all_have_taken(kRequestsPerClient); }));
  ASSERT_TRUE(wait_for([&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](const auto& one) { return one->answered() == one->asked(); });
  }));

  std::size_t worst = 0;
  double bound_of_worst = 0;
  for (std::size_t first = 0; first < calls_.size(); ++first) {
    std::size_t last = first;
    while (last < calls_.size() && calls_[last].at < calls_[first].at + kLoadWindow) ++last;
    const double bound = bound_at(calls_[first].at, calls_[first].started);
    EXPECT_LE(static_cast<double>(last - first), bound);
    if (last - first > worst) {
      worst = last - first;
      bound_of_worst = bound;
    }
  }
  std::printf("%zu calls, %zu of %.1f in the worst window; %llu at warm servers\n", calls_.size(), worst,
              bound_of_worst, static_cast<unsigned long long>(warm_calls_));
  EXPECT_GT(calls_.size(), 0U);
  EXPECT_GT(warm_calls_, 0U);
}

}  // namespace
}  // namespace streampick::test
