// One schedule of calls, through the daemon and through the client, over fleets of the same kind: what
// becomes of them must not differ by more than chance makes two runs of either differ.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <cstdlib>

#include "fleet.h"

namespace streampick::test {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

struct Scenario {
  const char* name;
  int calls = 300;
  std::chrono::milliseconds delay{2};
  std::uint64_t keys = 0;           // of the caches: one key in so many is missing
  std::size_t slots = 0, line = 0;  // strength of the servers; 0: no bound
  std::chrono::milliseconds deadline{2'000};
  int saves_every = 10;
};

struct Figures {
  int served = 0, refused = 0, failed = 0;
  std::uint64_t attempts = 0;
  void count(Status status) {
    ++(status == Status::served ? served : status == Status::refused ? refused : failed);
  }
};

void set_up(StandinFleet& fleet, const Scenario& scenario) {
  for (std::size_t i = 0; i < fleet.servers.size(); ++i) {
    fleet.servers[i]->delay = scenario.delay;
    fleet.servers[i]->slots = scenario.slots;
    fleet.servers[i]->line = scenario.line;
    if (i + 1 < fleet.servers.size()) fleet.servers[i]->keys = scenario.keys;
  }
}
std::string key_of(int i) { return "sheet-" + std::to_string(i * 7919 % 97); }

// Sixteen callers, each with one call at a time.
constexpr int kCallers = 16;

Figures through_client(const Scenario& scenario) {
  StandinFleet fleet(4);
  set_up(fleet, scenario);
  Client client(fleet.settings);
  std::vector<Figures> each(kCallers);
  std::vector<std::thread> callers;
  for (int c = 0; c < kCallers; ++c)
    callers.emplace_back([&, c] {
      for (int i = c; i < scenario.calls; i += kCallers) {
        const CallOptions options{.deadline = scenario.deadline};
        const bool save = i % scenario.saves_every == 0;
        each[static_cast<std::size_t>(c)].count(
            (save ? client.put(key_of(i), "mark", options) : client.get(key_of(i), options)).get().status);
      }
    });
  Figures all;
  for (int c = 0; c < kCallers; ++c) {
    callers[static_cast<std::size_t>(c)].join();
    all.served += each[static_cast<std::size_t>(c)].served;
    all.refused += each[static_cast<std::size_t>(c)].refused;
    all.failed += each[static_cast<std::size_t>(c)].failed;
  }
  all.attempts = fleet.requests();
  return all;
}

// One request on a connection that is kept; 0: the connection ended.
int ask(tcp::socket& socket, const std::string& text) {
  boost::system::error_code error;
  asio::write(socket, asio::buffer(text), error);
  std::string in;
  std::array<char, 4096> chunk{};
  for (;;) {
    const std::size_t got = socket.read_some(asio::buffer(chunk), error);
    if (error) return 0;
    in.append(chunk.data(), got);
    const std::size_t head = in.find("\r\n\r\n");
    if (head == std::string::npos) continue;
    const std::size_t at = in.find("Content-Length: ");
    if (in.size() >= head + 4 + std::strtoul(in.c_str() + at + 16, nullptr, 10)) break;
  }
  return std::atoi(in.c_str() + 9);
}

Figures through_daemon(const Scenario& scenario) {
  StandinFleet fleet(4);
  set_up(fleet, scenario);
  asio::io_context io;
  const unsigned short port = standin::free_port(io);
  auto config = nlohmann::json::parse(fleet.settings.config);
  config["listen"] = "127.0.0.1:" + std::to_string(port);
  standin::RouterProcess router(STREAMPICK_ROUTER, config, "", "/dev/null");
  const tcp::endpoint at{asio::ip::make_address("127.0.0.1"), port};
  boost::system::error_code error;
  for (int tries = 0; tries < 500; ++tries) {
    tcp::socket probe(io);
    probe.connect(at, error);
    if (!error) break;
    std::this_thread::sleep_for(10ms);
  }
  std::vector<Figures> each(kCallers);
  std::vector<std::thread> callers;
  for (int c = 0; c < kCallers; ++c)
    callers.emplace_back([&, c] {
      asio::io_context own;
      auto socket = std::make_unique<tcp::socket>(own);
      socket->connect(at);
      for (int i = c; i < scenario.calls; i += kCallers) {
        const bool save = i % scenario.saves_every == 0;
        const std::string kind = save ? "annotation-save" : "tile-read";
        char id[17];
        std::snprintf(id, sizeof id, "%016x", 0x1000 + i);
        char remaining[16];
        std::snprintf(remaining, sizeof remaining, "%.3f",
                      std::chrono::duration<double>(scenario.deadline).count());
        const std::string text =
            std::string(save ? "PUT /" : "GET /") + kind + "/" + key_of(i) +
            " HTTP/1.1\r\nHost: a\r\nX-Txn: " + id + "\r\nX-Lane: " + kind + "\r\nX-Remaining: " + remaining +
            (save ? std::string("\r\nIdempotency-Key: ") + id + "\r\nContent-Length: 4\r\n\r\nmark"
                  : "\r\n\r\n");
        const int status = ask(*socket, text);
        each[static_cast<std::size_t>(c)].count(status == 200   ? Status::served
                                                : status == 503 ? Status::refused
                                                                : Status::failed);
      }
    });
  Figures all;
  for (int c = 0; c < kCallers; ++c) {
    callers[static_cast<std::size_t>(c)].join();
    all.served += each[static_cast<std::size_t>(c)].served;
    all.refused += each[static_cast<std::size_t>(c)].refused;
    all.failed += each[static_cast<std::size_t>(c)].failed;
  }
  all.attempts = fleet.requests();
  return all;
}

class SameAsTheDaemon : public ::testing::TestWithParam<Scenario> {};

TEST_P(SameAsTheDaemon, InWhatBecomesOfItsCalls) {
  const Scenario& scenario = GetParam();
  const Figures client = through_client(scenario), daemon = through_daemon(scenario);
  EXPECT_EQ(client.served + client.refused + client.failed, scenario.calls);
  EXPECT_EQ(daemon.served + daemon.refused + daemon.failed, scenario.calls);
  // Two runs of one binomial of these sizes differ by more than this once in some thousands.
  const int bound = 4 + scenario.calls / 5;
  EXPECT_NEAR(client.served, daemon.served, bound);
  EXPECT_NEAR(client.refused, daemon.refused, bound);
  EXPECT_NEAR(client.failed, daemon.failed, bound);
  EXPECT_NEAR(static_cast<double>(client.attempts), static_cast<double>(daemon.attempts),
              0.25 * static_cast<double>(daemon.attempts) + 10);
}

// Where nothing hangs on timing the counts are equal.
TEST(SameAsTheDaemonExactly, InACalmHour) {
  const Scenario calm{.name = "calm", .calls = 320};
  const Figures client = through_client(calm), daemon = through_daemon(calm);
  EXPECT_EQ(client.served, 320);
  EXPECT_EQ(daemon.served, 320);
}

INSTANTIATE_TEST_SUITE_P(
    Scenarios, SameAsTheDaemon,
    ::testing::Values(Scenario{.name = "misses", .calls = 400, .keys = 3},
                      Scenario{.name = "crowded", .calls = 400, .delay = 20ms, .slots = 1, .line = 1},
                      Scenario{.name = "stalled", .calls = 64, .delay = 5'000ms, .deadline = 400ms}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace streampick::test
