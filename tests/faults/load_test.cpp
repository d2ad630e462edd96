// Load on a router, and its shutdown, while its system calls fail: each request that it read must get exactly
// one final answer.
#include <algorithm>
#include <set>

#include "faults/faulty_router.h"

namespace streampick::test {
namespace {

using faults::Call;

/// Outcomes of all clients' requests.
struct Tally {
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;  // 503
  std::uint64_t failed = 0;    // 502, 504
  std::uint64_t other = 0;
  std::uint64_t sent = 0;  // including requests that were sent again
  // Requests that were sent again because their connection ended without an answer to them: on a new
  // connection, and on one that had answered before.
  std::uint64_t ended_before_answer = 0;
  std::uint64_t ended_between_requests = 0;
  std::uint64_t not_connected = 0;
  std::uint64_t answered() const { return served + rejected + failed + other; }
  void count(int status) {
    if (status == 200) ++served;
    if (status == 503) ++rejected;
    if (status == 502 || status == 504) ++failed;
    if (status != 200 && status != 503 && status != 502 && status != 504) ++other;
  }
};

/// Sends one request after another on a persistent connection. A request whose connection ends without an
/// answer is sent again on a new connection.
class LoadClient {
 public:
  LoadClient(asio::io_context& io, const net::tcp::endpoint& to, std::vector<std::string> requests,
             Tally& tally)
      : io_(io), to_(to), requests_(std::move(requests)), tally_(tally), pause_(io) {
    connect();
  }
  ~LoadClient() {
    *alive_ = false;
    if (socket_) socket_->close(ignored_);
  }
  LoadClient(const LoadClient&) = delete;
  LoadClient& operator=(const LoadClient&) = delete;

  /// From now on, a failed connection attempt ends the client.
  void expect_end() { is_end_expected_ = true; }
  bool is_done() const { return is_done_; }

 private:
  static constexpr std::chrono::milliseconds kPause{20};

  void connect() {
    answers_on_connection_ = 0;
    received_.clear();
    socket_ = std::make_unique<net::tcp::socket>(io_);
    socket_->async_connect(to_, [this, alive = alive_](net::error_code error) {
      if (!*alive) return;
      if (!error) return ask();
      ++tally_.not_connected;
      if (is_end_expected_) {
        is_done_ = true;
        return;
      }
      connect_later();
    });
  }
  void connect_later() {
    pause_.expires_after(kPause);
    pause_.async_wait([this, alive = alive_](net::error_code cancelled) {
      if (!cancelled && *alive) connect();
    });
  }
  void ask() {
    if (next_ == requests_.size()) {
      is_done_ = true;
      return;
    }
    ++tally_.sent;
    asio::write(*socket_, asio::buffer(requests_[next_]), ignored_);
    read();
  }
  void read() {
    socket_->async_read_some(
        asio::buffer(chunk_), [this, alive = alive_](net::error_code error, std::size_t got) {
          if (!*alive) return;
          received_.append(chunk_.data(), got);
          if (const std::string answer = take_message(received_); !answer.empty()) return answered(answer);
          if (!error) return read();
          ++(answers_on_connection_ == 0 ? tally_.ended_before_answer : tally_.ended_between_requests);
          connect_later();
        });
  }
  void answered(const std::string& answer) {
    tally_.count(std::stoi(answer.substr(9, 3)));
    ++answers_on_connection_;
    ++next_;
    if (answer.find("Connection: close") != std::string::npos) return connect_later();
    ask();
  }

  asio::io_context& io_;
  net::tcp::endpoint to_;
  std::vector<std::string> requests_;
  Tally& tally_;
  std::unique_ptr<net::tcp::socket> socket_;
  asio::steady_timer pause_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::array<char, 4096> chunk_{};
  std::string received_;
  std::size_t next_ = 0;
  std::size_t answers_on_connection_ = 0;
  bool is_end_expected_ = false;
  bool is_done_ = false;
  net::error_code ignored_;
};

/// Returns requests of which, in each ten, seven are reads, two are saves with an idempotency key and one is
/// a write that must not run twice.
std::vector<std::string> mixed_requests(std::size_t count) {
  std::vector<std::string> out;
  for (std::size_t i = 0; i < count; ++i) {
    char key[17];
    std::snprintf(key, sizeof key, "%016llx", static_cast<unsigned long long>(i) * 0x9e3779b97f4a7c15ULL);
    const std::size_t kind = i % 10;
    const std::string value = "value " + std::to_string(i);
    if (kind < 7) out.push_back(request_text("GET", "/read/" + std::string(key), "read"));
    if (kind == 7 || kind == 8)
      out.push_back(request_text("PUT", "/save/" + std::string(key), "save", value, "8.0",
                                 "Idempotency-Key: " + next_txn() + "\r\n"));
    if (kind == 9) out.push_back(request_text("PUT", "/pay/" + std::string(key), "pay", value));
  }
  return out;
}

std::string faults_at(int one_in) {
  std::string out;
  for (const char* name : faults::kCallNames) out += std::string(name) + "/" + std::to_string(one_in) + " ";
  return out;
}

class Load : public RouterUnderFaults {
 protected:
  static constexpr std::size_t kClients = 8;

  Load() {
    cache.answer = [](const std::string&) { return response(200, "from the cache"); };
    origin.answer = [](const std::string&) { return response(200, "from the origin"); };
  }
  void start(const FaultPlan& plan, std::size_t requests_each) {
    address_ = free_address();
    tally_ = {};
    router_.reset();
    router_ = std::make_unique<FaultyRouter>("load", config(address_), plan);
    ASSERT_TRUE(becomes_ready(*router_, address_)) << router_->log();
    for (std::size_t i = 0; i < kClients; ++i)
      clients_.push_back(std::make_unique<LoadClient>(io, address_, mixed_requests(requests_each), tally_));
  }
  bool all_done() const {
    return std::all_of(clients_.begin(), clients_.end(),
                       [](const auto& client) { return client->is_done(); });
  }
  void stop() {
    router_->signal(SIGTERM);
    for (const auto& client : clients_) client->expect_end();
    ASSERT_TRUE(wait_for([&] { return all_done() && router_->ended(); })) << router_->log();
    EXPECT_EQ(router_->exit_code(), 0) << router_->log();
  }
  /// Checks that the router read as many requests as clients received answers.
  void expect_all_accounted_for() {
    const std::uint64_t asked = router_->summary_value("asked").value_or(0);
    const std::uint64_t shed = router_->summary_value("shed").value_or(0);
    EXPECT_EQ(asked + shed, tally_.answered()) << router_->log();
    EXPECT_EQ(router_->summary_value("withdrawn"), 0U) << router_->log();
    EXPECT_EQ(tally_.other, 0U);
    expect_no_write_ran_twice();
  }
  void expect_no_write_ran_twice() {
    std::multiset<std::string> ran;
    for (const std::string& request : origin.requests)
      if (request.rfind("PUT /pay/", 0) == 0) ran.insert(request.substr(request.find("X-Txn: "), 23));
    for (const std::string& transaction_id : ran) EXPECT_EQ(ran.count(transaction_id), 1U) << transaction_id;
  }
  void report(const std::string& what) {
    const std::uint64_t asked =
        router_->summary_value("asked").value_or(0) + router_->summary_value("shed").value_or(0);
    std::printf(
        "%s: faults=%llu sent=%llu read=%llu answered=%llu (served=%llu rejected=%llu failed=%llu) "
        "lost=%lld; connections ended before the first answer=%llu, between requests=%llu\n",
        what.c_str(), static_cast<unsigned long long>(router_->counts().all_faults()),
        static_cast<unsigned long long>(tally_.sent), static_cast<unsigned long long>(asked),
        static_cast<unsigned long long>(tally_.answered()), static_cast<unsigned long long>(tally_.served),
        static_cast<unsigned long long>(tally_.rejected), static_cast<unsigned long long>(tally_.failed),
        static_cast<long long>(asked) - static_cast<long long>(tally_.answered()),
        static_cast<unsigned long long>(tally_.ended_before_answer),
        static_cast<unsigned long long>(tally_.ended_between_requests));
  }
  /// Runs the router twice: with SIGTERM after all requests, and with SIGTERM after half of them.
  void run_load(int one_in, std::uint64_t seed, std::size_t requests_each, double least_served) {
    const std::string name = "one in " + std::to_string(one_in) + ", seed " + std::to_string(seed);
    start({faults_at(one_in), seed}, requests_each);
    ASSERT_TRUE(wait_for([&] { return all_done() || router_->ended(); })) << router_->log();
    stop();
    EXPECT_EQ(tally_.answered(), kClients * requests_each);
    EXPECT_GE(static_cast<double>(tally_.served), least_served * static_cast<double>(tally_.answered()));
    EXPECT_GT(router_->counts().all_faults(), 0U);
    expect_all_accounted_for();
    report(name + ", load");
    clients_.clear();

    start({faults_at(one_in), seed + 1'000}, requests_each);
    const std::size_t half = kClients * requests_each / 2;
    ASSERT_TRUE(wait_for([&] { return tally_.answered() >= half || router_->ended(); })) << router_->log();
    stop();
    EXPECT_GE(tally_.answered(), half);
    expect_all_accounted_for();
    report(name + ", end under load");
    clients_.clear();
  }

  net::tcp::endpoint address_;
  Tally tally_;
  std::unique_ptr<FaultyRouter> router_;
  std::vector<std::unique_ptr<LoadClient>> clients_;
};

TEST_F(Load, OneOfTwoHundredCallsFails_EachRequestIsAnswered) {
  for (const std::uint64_t seed : {1, 2, 3}) run_load(200, seed, 100, 0.99);
}

TEST_F(Load, OneOfTenCallsFails_EachRequestIsAnswered) {
  for (const std::uint64_t seed : {1, 2, 3}) run_load(10, seed, 100, 0.9);
}

// Steps of the wall clock during requests must change neither deadlines nor results: spans of time are
// measured on the monotonic clock.
class SteppedClock : public Load {
 protected:
  static constexpr std::size_t kRequestsEach = 60;
  static constexpr int kHeldRequests = 10;
  static constexpr double kHeldTimeout = 0.6, kOtherTimeout = 8.0;  // seconds that clients wait

  SteppedClock() {
    cache.answer = [](const std::string& request) { return is_held(request) ? "" : response(200, "cached"); };
    origin.answer = [](const std::string& request) {
      return is_held(request) ? "" : response(200, "original");
    };
  }
  static bool is_held(const std::string& request) { return request.rfind("GET /read/held", 0) == 0; }

  /// Sends a request that no server answers every 100 ms, so that clock steps come before, during and after
  /// the requests. Each must be answered at its deadline.
  void expect_deadlines_hold() {
    constexpr auto kInterval = std::chrono::milliseconds(100);
    constexpr auto kAtLeast = std::chrono::milliseconds(550);
    constexpr auto kAtMost = std::chrono::milliseconds(1'500);
    struct Held {
      std::unique_ptr<FakeClient> client;
      std::chrono::steady_clock::time_point asked;
      std::chrono::steady_clock::duration took{};
    };
    std::vector<Held> all;
    const auto look = [&all] {
      for (Held& one : all)
        if (one.took.count() == 0 && !one.client->answers.empty())
          one.took = std::chrono::steady_clock::now() - one.asked;
      return std::all_of(all.begin(), all.end(), [](const Held& one) { return one.took.count() > 0; });
    };
    for (int i = 0; i < kHeldRequests; ++i) {
      const auto now = std::chrono::steady_clock::now();
      all.push_back({std::make_unique<FakeClient>(io, address_), now});
      const std::string path = "/read/held" + std::to_string(i);
      all.back().client->ask(request_text("GET", path, "read", "", std::to_string(kHeldTimeout)));
      while (std::chrono::steady_clock::now() - now < kInterval) {
        quiet(5);
        look();
      }
    }
    ASSERT_TRUE(wait_for(look)) << router_->log();
    for (const Held& one : all) {
      EXPECT_GE(one.took, kAtLeast);
      EXPECT_LE(one.took, kAtMost);
    }
  }
  /// Checks the remaining time that servers received with each request.
  void expect_times_left_are_sound() {
    for (const std::string& request : cache.requests) {
      const double left = std::stod(request.substr(request.find("X-Remaining: ") + 13));
      EXPECT_GT(left, 0.0);
      EXPECT_LE(left, is_held(request) ? kHeldTimeout : kOtherTimeout);
    }
  }
  void run_load(const std::string& steps) {
    SCOPED_TRACE("steps: " + steps);
    start({"", 1, steps}, kRequestsEach);
    expect_deadlines_hold();
    ASSERT_TRUE(wait_for([&] { return all_done() || router_->ended(); })) << router_->log();
    EXPECT_EQ(tally_.served, kClients * kRequestsEach);
    EXPECT_EQ(tally_.answered(), tally_.served);
    expect_times_left_are_sound();
    stop();
    clients_.clear();
    cache.requests.clear();
  }
};

TEST_F(SteppedClock, NoStep_AllRequestsAreServedAndDeadlinesHold) { run_load(""); }
TEST_F(SteppedClock, StepOfAnHour_ResultsAndDeadlinesHold) {
  run_load("500:3600");
  run_load("500:-3600,900:-3600");
}
TEST_F(SteppedClock, StepsOfSeveralSeconds_ResultsAndDeadlinesHold) {
  run_load("400:7,600:-9,800:5");
  run_load("500:-3,700:3600,900:-3600");
}

}  // namespace
}  // namespace streampick::test
