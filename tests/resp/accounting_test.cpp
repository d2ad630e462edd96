// Sends 20,000 requests while caches close connections in the middle of pipelines and push between replies.
// Each request must get one final reply with the right content, and no write may run more often than its
// class allows.
#include <unordered_map>

#include "resp/resp_loopback.h"

namespace streampick::test {
namespace {

// Sends a list of commands on one connection, a limited number at a time, and checks each reply when it
// arrives.
class CheckingClient {
 public:
  struct CommandToSend {
    std::string id, key;
    bool write = false;
  };
  CheckingClient(std::unique_ptr<RespClient> client, std::vector<CommandToSend> all, bool keyed)
      : client_(std::move(client)), all_(std::move(all)), keyed_(keyed) {
    client_->on_reply = [this] { send_more(); };
    send_more();
  }
  bool done() const { return client_->replies.size() >= all_.size(); }
  std::size_t extra() const {
    return client_->replies.size() - std::min(all_.size(), client_->replies.size());
  }
  std::size_t wrong_replies = 0, served = 0, rejected = 0, failed = 0;
  std::vector<std::string> rejected_writes, failed_writes, served_writes;

 private:
  static constexpr std::size_t kDepth = 24;
  void send_more() {
    for (; checked_ < client_->replies.size() && checked_ < all_.size(); ++checked_) {
      const CommandToSend& one = all_[checked_];
      const Value& reply = client_->reply(checked_);
      if (reply.is_error()) {
        const bool is_rejected = reply.text.rfind("TRYAGAIN", 0) == 0;
        ++(is_rejected ? rejected : failed);
        if (one.write) (is_rejected ? rejected_writes : failed_writes).push_back(one.id);
        continue;
      }
      ++served;
      if (one.write) served_writes.push_back(one.id);
      const bool right =
          one.write ? reply == Value::simple("OK") : reply == Value::blob("value of " + one.key);
      wrong_replies += right ? 0U : 1U;
    }
    std::string bytes;
    for (; sent_ < all_.size() && sent_ < checked_ + kDepth; ++sent_) {
      const CommandToSend& one = all_[sent_];
      bytes += !one.write ? command({"ROUTE", "ID", one.id, "GET", one.key})
               : keyed_
                   ? command({"ROUTE", "ID", one.id, "KEY", one.id, "SET", one.key, "value of " + one.key})
                   : command({"ROUTE", "ID", one.id, "SET", one.key, "value of " + one.key});
    }
    if (!bytes.empty()) client_->raw(bytes);
  }
  std::unique_ptr<RespClient> client_;
  std::vector<CommandToSend> all_;
  bool keyed_;
  std::size_t sent_ = 0, checked_ = 0;
};

class Accounting : public RespLoopback {
 protected:
  static constexpr std::size_t kClients = 10, kEach = 2'000, kKeys = 400;

  void run(const std::string& write_class) {
    add_caches(4);
    for (std::size_t i = 0; i < kKeys; ++i) store.values[key(i)] = "value of " + key(i);
    std::uint64_t turn = 0;
    const auto faulty = [&turn](const std::vector<std::string>&, std::size_t) {
      turn = turn * 6364136223846793005U + 1442695040888963407U;
      switch ((turn >> 33U) % 200) {
        case 0: return Fault{Fault::Kind::close};
        case 1: return Fault{Fault::Kind::close_mid_reply};
        case 2: return Fault{Fault::Kind::close_unseen};
        case 3:
        case 4: return Fault{Fault::Kind::push_before};
        case 5: return Fault{Fault::Kind::push_after};
        case 6: return Fault{Fault::Kind::error, "LOADING not yet"};
        default: return Fault{};
      }
    };
    for (const auto& one : caches) one->script = faulty;
    store.script = faulty;
    // Enough attempts that requests fail because of the faults of the caches, not because of a busy origin.
    adjust = [](nlohmann::json& config) { config["settings"]["PolicyLimits"]["MaxAttempts"] = 4; };
    start_resp("write_class = \"" + write_class + "\"\n", "connections = 3\npipeline = 8\nsend_ids = true\n");
    accept_watch();
    begin_watch();
    std::vector<std::unique_ptr<CheckingClient>> all;
    std::uint64_t id = 0, seed = 99;
    for (std::size_t c = 0; c < kClients; ++c) {
      std::vector<CheckingClient::CommandToSend> plan;
      for (std::size_t i = 0; i < kEach; ++i) {
        seed = seed * 6364136223846793005U + 1442695040888963407U;
        std::array<char, 17> text{};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(++id));
        plan.push_back({text.data(), key((seed >> 40U) % kKeys), (seed >> 33U) % 10 == 0});
      }
      all.push_back(std::make_unique<CheckingClient>(resp_client(), std::move(plan), write_class == "save"));
    }
    const auto progress = [&] {
      return host->counts().served + host->counts().refused + host->counts().failed;
    };
    ASSERT_TRUE(wait_for([&] {
      send_keepalive();
      return progress() > kClients * kEach / 4;
    }));
    send_phases(2, {{0, "terminating"}});
    const auto listed_at = std::chrono::steady_clock::now();
    caches[0]->record_times = true;
    for (int rounds = 0; rounds < 10 && !HasFailure(); ++rounds)
      if (wait_for([&] {
            return std::all_of(all.begin(), all.end(), [](const auto& one) { return one->done(); });
          }))
        break;
    quiet(100);
    std::size_t served = 0, rejected = 0, failed = 0;
    for (const auto& one : all) {
      EXPECT_TRUE(one->done());
      EXPECT_EQ(one->extra(), 0U);
      EXPECT_EQ(one->wrong_replies, 0U);
      served += one->served;
      rejected += one->rejected;
      failed += one->failed;
      for (const std::string& write : one->served_writes) EXPECT_EQ(store.executions[write], 1U) << write;
      for (const std::string& write : one->failed_writes) EXPECT_LE(store.executions[write], 1U) << write;
      // A rejection of an unsafe write means that it did not run. Of a keyed write it means that a repeat is
      // safe.
      if (write_class == "pay") {
        for (const std::string& write : one->rejected_writes) EXPECT_EQ(store.executions[write], 0U) << write;
      }
    }
    EXPECT_EQ(served + rejected + failed, kClients * kEach);
    EXPECT_EQ(host->counts().requests, kClients * kEach);
    EXPECT_EQ(host->counts().served, served);
    EXPECT_EQ(host->counts().refused, rejected);
    EXPECT_EQ(host->counts().failed, failed);
    EXPECT_EQ(host->counts().deadline_guards, 0U);
    EXPECT_GT(served, kClients * kEach * 9 / 10);
    EXPECT_GT(outcomes(Outcome::reset), 20U);  // the faults occurred
    EXPECT_GT(host->resp_servers().pushes, 100U);
    EXPECT_GT(host->resp_servers().shared, 100U);
    const auto late = std::count_if(caches[0]->taken.begin(), caches[0]->taken.end(),
                                    [&](const auto& at) { return at - listed_at > std::chrono::seconds(2); });
    EXPECT_EQ(late, 0) << "of " << caches[0]->taken.size()
                       << " commands since the member was listed as terminating";
  }
  static std::string key(std::size_t i) { return "sheet-" + std::to_string(i); }
};

TEST_F(Accounting, UnsafeWrites_HaveOneFinalReply) { run("pay"); }
TEST_F(Accounting, KeyedWrites_HaveOneFinalReply) { run("save"); }

// The same requests through both fronts to the same servers must have the same outcomes.
TEST_F(RespLoopback, SameRequestsAtBothFronts_HaveTheSameOutcomes) {
  const auto counts = [&](bool by_resp) {
    caches.clear();
    add_caches(2);
    store.values.clear();
    store.executions.clear();
    for (int i = 0; i < 40; ++i) store.values["k" + std::to_string(i)] = "v";
    // Faults depend on the key alone, so that both fronts meet the same faults.
    const auto script = [](const std::vector<std::string>& words, std::size_t) {
      const int number = std::stoi(words.at(1).substr(1));
      if (words[0] == "SET" && number % 8 == 3) return Fault{Fault::Kind::close};
      if (words[0] == "SET" && number % 8 == 5) return Fault{Fault::Kind::error, "WRONGTYPE no"};
      return Fault{};
    };
    store.script = script;
    start_resp("write_class = \"pay\"\n", "store_queue = 0\n");
    std::string kinds;
    const auto resp = resp_client();
    const auto http = client();
    for (int i = 0; i < 60; ++i) {
      const bool write = i % 3 == 0;
      const std::string key = "k" + std::to_string(i);
      if (by_resp) {
        resp->ask(write ? std::vector<std::string>{"SET", key, "x"} : std::vector<std::string>{"GET", key});
        EXPECT_TRUE(wait_for([&] { return resp->replies.size() == static_cast<std::size_t>(i + 1); }));
      } else {
        http->ask(write ? request_text("PUT", "/pay/" + key, "pay", "x")
                        : request_text("GET", "/read/" + key, "read"));
        EXPECT_TRUE(wait_for([&] { return http->answers.size() == static_cast<std::size_t>(i + 1); }));
      }
    }
    const engine::Counters& all = host->counts();
    kinds = "asked " + std::to_string(all.requests) + " served " + std::to_string(all.served) + " refused " +
            std::to_string(all.refused) + " failed " + std::to_string(all.failed) + " attempts " +
            std::to_string(all.attempts) + " outcomes";
    for (const std::uint64_t count : all.outcomes) kinds += " " + std::to_string(count);
    kinds += " run " + std::to_string(store.executions.size());
    host.reset();
    return kinds;
  };
  const std::string by_http = counts(false), by_resp = counts(true);
  EXPECT_EQ(by_http, by_resp);
  EXPECT_EQ(by_http.rfind("asked 60 served ", 0), 0U);
}

}  // namespace
}  // namespace streampick::test
