// Load and the end of a router while its system calls fail: each request that was read has one final answer.
#include <algorithm>
#include <set>

#include "faults/faulty_router.h"

namespace streampick::test {
namespace {

using faults::Call;

/// What became of the requests of all clients.
struct Tally {
  std::uint64_t served = 0;
  std::uint64_t rejected = 0;  // 503
  std::uint64_t failed = 0;    // 502, 504
  std::uint64_t other = 0;
  std::uint64_t sent = 0;     // also those that were sent again
  std::uint64_t unread = 0;   // ended on a new connection with no answer, sent again
  std::uint64_t crossed = 0;  // ended between two requests with no answer, sent again
  std::uint64_t not_connected = 0;
  std::uint64_t answered() const { return served + rejected + failed + other; }
  void count(int status) {
    if (status == 200) ++served;
    if (status == 503) ++rejected;
    if (status == 502 || status == 504) ++failed;
    if (status != 200 && status != 503 && status != 502 && status != 504) ++other;
  }
};

/// Sends one request after another, each on the connection of the one before while that lives. What ended
/// with no answer is sent again on a new connection.
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

  /// Gives up where it can't connect any more.
  void expect_end() { is_end_expected_ = true; }
  bool is_done() const { return is_done_; }

 private:
  static constexpr std::chrono::milliseconds kPause{20};

  void connect() {
    answered_here_ = 0;
    got_.clear();
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
    socket_->async_read_some(asio::buffer(chunk_),
                             [this, alive = alive_](net::error_code error, std::size_t got) {
                               if (!*alive) return;
                               got_.append(chunk_.data(), got);
                               if (const std::string answer = take_message(got_); !answer.empty())
                                 return answered(answer);
                               if (!error) return read();
                               ++(answered_here_ == 0 ? tally_.unread : tally_.crossed);
                               connect_later();
                             });
  }
  void answered(const std::string& answer) {
    tally_.count(std::stoi(answer.substr(9, 3)));
    ++answered_here_;
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
  std::string got_;
  std::size_t next_ = 0;
  std::size_t answered_here_ = 0;
  bool is_end_expected_ = false;
  bool is_done_ = false;
  net::error_code ignored_;
};

/// Of ten requests seven are reads, two saves with a key, one is a write that must not run twice.
std::vector<std::string> some_requests(std::size_t count) {
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
      clients_.push_back(std::make_unique<LoadClient>(io, address_, some_requests(requests_each), tally_));
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
  /// What the router has read is what clients have answers to.
  void expect_all_accounted_for() {
    const std::uint64_t asked = router_->summed("asked").value_or(0);
    const std::uint64_t shed = router_->summed("shed").value_or(0);
    EXPECT_EQ(asked + shed, tally_.answered()) << router_->log();
    EXPECT_EQ(router_->summed("withdrawn"), 0U) << router_->log();
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
    const std::uint64_t asked = router_->summed("asked").value_or(0) + router_->summed("shed").value_or(0);
    std::printf(
        "%s: faults=%llu sent=%llu read=%llu answered=%llu (served=%llu rejected=%llu failed=%llu) "
        "lost=%lld; ended unread=%llu, between two requests=%llu\n",
        what.c_str(), static_cast<unsigned long long>(router_->counts().all_faults()),
        static_cast<unsigned long long>(tally_.sent), static_cast<unsigned long long>(asked),
        static_cast<unsigned long long>(tally_.answered()), static_cast<unsigned long long>(tally_.served),
        static_cast<unsigned long long>(tally_.rejected), static_cast<unsigned long long>(tally_.failed),
        static_cast<long long>(asked) - static_cast<long long>(tally_.answered()),
        static_cast<unsigned long long>(tally_.unread), static_cast<unsigned long long>(tally_.crossed));
  }
  /// A load, then the end; and the end in the midst of a load.
  void play(int one_in, std::uint64_t seed, std::size_t requests_each, double least_served) {
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

TEST_F(Load, WithOneCallInTwoHundredFailingEachRequestHasItsAnswer) {
  for (const std::uint64_t seed : {1, 2, 3}) play(200, seed, 100, 0.99);
}

TEST_F(Load, WithOneCallInTenFailingEachRequestHasItsAnswer) {
  for (const std::uint64_t seed : {1, 2, 3}) play(10, seed, 100, 0.9);
}

// The wall clock is stepped in the midst of requests: deadlines hold, and all is served as without.
class SteppedClock : public Load {
 protected:
  static constexpr std::size_t kRequestsEach = 60;
  static constexpr int kHeld = 10;
  static constexpr double kHeldFor = 0.6, kOthersFor = 8.0;  // s that their clients wait

  SteppedClock() {
    cache.answer = [](const std::string& request) { return is_held(request) ? "" : response(200, "cached"); };
    origin.answer = [](const std::string& request) {
      return is_held(request) ? "" : response(200, "original");
    };
  }
  static bool is_held(const std::string& request) { return request.rfind("GET /read/held", 0) == 0; }

  /// Asks what nobody answers, one request each 100 ms, so that steps come before, in and behind their time.
  void expect_deadlines_hold() {
    constexpr auto kApart = std::chrono::milliseconds(100);
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
    for (int i = 0; i < kHeld; ++i) {
      const auto now = std::chrono::steady_clock::now();
      all.push_back({std::make_unique<FakeClient>(io, address_), now});
      const std::string path = "/read/held" + std::to_string(i);
      all.back().client->ask(request_text("GET", path, "read", "", std::to_string(kHeldFor)));
      while (std::chrono::steady_clock::now() - now < kApart) {
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
  /// What servers were told that is left, of each request.
  void expect_times_left_are_sound() {
    for (const std::string& request : cache.requests) {
      const double left = std::stod(request.substr(request.find("X-Remaining: ") + 13));
      EXPECT_GT(left, 0.0);
      EXPECT_LE(left, is_held(request) ? kHeldFor : kOthersFor);
    }
  }
  void play(const std::string& steps) {
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

TEST_F(SteppedClock, WithoutAStepAllIsServedAndDeadlinesHold) { play(""); }
TEST_F(SteppedClock, AStepOfAnHourChangesNothing) {
  play("500:3600");
  play("500:-3600,900:-3600");
}
TEST_F(SteppedClock, StepsOfSomeSecondsChangeNothing) {
  play("400:7,600:-9,800:5");
  play("500:-3,700:3600,900:-3600");
}

}  // namespace
}  // namespace streampick::test
