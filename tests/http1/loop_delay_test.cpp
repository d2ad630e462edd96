// A delayed event loop finds a client's disconnect and an event that would start an attempt for it ready in
// one turn, in either order: no attempt is started. The delay is made by not running the loop, or by a
// handler that blocks.
#include <unistd.h>

#include "http1/one_server.h"
#include "raw_client.h"

namespace streampick::test {
namespace {

// Reads that fill the initial concurrency limit of one server.
constexpr std::size_t kEnough = 3;
constexpr int kLoopDelayUs = 150'000;
constexpr int kPastTheHedgeUs = 900'000;

enum class First { client, attempt };  // which of the two becomes ready first
struct Case {
  RawClient::Way way;
  First first;
};
std::string name_of(const Case& one) {
  const std::string way = one.way == RawClient::Way::fin ? "Fin" : "Reset";
  return way + (one.first == First::client ? "First" : "Last");
}
void PrintTo(const Case& one, std::ostream* out) { *out << name_of(one); }

class DisconnectDuringLoopDelay : public Loopback, public ::testing::WithParamInterface<Case> {
 protected:
  /// Blocks the loop ahead of the engine's timers that become due while it does not run.
  void block_ahead_of_timers(const std::function<void()>& block) {
    blocker.expires_after(std::chrono::microseconds(0));
    blocker.async_wait([block](net::error_code) { block(); });
  }
  /// The client disconnects while the loop does not run, and the engine's timers become due.
  void disconnect_while_timers_become_due(RawClient& one) {
    if (GetParam().first == First::client) {
      one.go(GetParam().way);
      ::usleep(kPastTheHedgeUs);
      return;
    }
    block_ahead_of_timers([&one] {
      one.go(GetParam().way);
      ::usleep(kLoopDelayUs);
    });
    ::usleep(kPastTheHedgeUs);
  }
  void expect_nothing_more(std::size_t before) {
    EXPECT_TRUE(wait_for([&] { return host->counts().cancelled_by_client == 1; }));
    quiet(1'200);  // past the delay of a hedge, a wait in the queue and the kernel's next try at a connection
    EXPECT_EQ(cache.requests.size() + other.requests.size() + origin.requests.size(), before);
    EXPECT_EQ(host->counts().cancelled_by_client, 1U);
    EXPECT_EQ(host->counts().failed, 0U);
  }

  /// Two caches, so that a hedge can be sent.
  void start_with_two() {
    start(list_json(
        1, true, {{"s-1", cache.address()}, {"s-2", other.address()}, {"s-o", origin.address(), "origin"}}));
  }
  /// Opens connections to both, so that no attempt waits for one. Returns the number of requests they got.
  std::size_t warm_up() {
    const auto answers = [](const std::string&) { return response(200, "x"); };
    cache.answer = other.answer = answers;
    const auto one = client();
    for (std::size_t i = 0; i < 40; ++i) {
      one->ask(request_text("GET", "/read/w" + std::to_string(i), "read"));
      EXPECT_TRUE(wait_for([&] { return one->answers.size() == i + 1; }));
    }
    quiet(50);
    EXPECT_FALSE(cache.peers.empty() || other.peers.empty());
    cache.answer = other.answer = nullptr;
    return at_caches();
  }
  std::size_t at_caches() const { return cache.requests.size() + other.requests.size(); }

  FakeServer other{io};
  asio::steady_timer blocker{io};
};

INSTANTIATE_TEST_SUITE_P(Disconnects, DisconnectDuringLoopDelay,
                         ::testing::Values(Case{RawClient::Way::fin, First::client},
                                           Case{RawClient::Way::fin, First::attempt},
                                           Case{RawClient::Way::reset, First::client},
                                           Case{RawClient::Way::reset, First::attempt}),
                         [](const auto& info) { return name_of(info.param); });

TEST_P(DisconnectDuringLoopDelay, HedgeTimerDue_NoHedgeIsSent) {
  start_with_two();
  const std::size_t before = warm_up();
  RawClient one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return at_caches() == before + 1; }));
  disconnect_while_timers_become_due(one);
  expect_nothing_more(before + 1);
}

// Bytes of a further request, more than one read takes, precede the disconnect.
TEST_P(DisconnectDuringLoopDelay, HedgeTimerDueAndBytesUnread_NoHedgeIsSent) {
  start_with_two();
  const std::size_t before = warm_up();
  RawClient one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return at_caches() == before + 1; }));
  one.write(std::string(10'000, 'x'));
  disconnect_while_timers_become_due(one);
  expect_nothing_more(before + 1);
}

TEST_P(DisconnectDuringLoopDelay, RetryTimerDue_NoRetryIsSent) {
  net::tcp::acceptor shut(io, any_port());
  const net::tcp::endpoint nowhere = shut.local_endpoint();
  shut.close();
  start(list_json(1, true, {{"s-1", cache.address()}, {"s-o", text_of(nowhere), "origin"}}));
  RawClient one(io, host->address());
  one.write(request_text("PUT", "/pay/1", "pay", "x"));
  const auto failed = [&] {
    return host->counts().outcomes[static_cast<std::size_t>(Outcome::connect_failed)];
  };
  ASSERT_TRUE(wait_for([&] { return failed() == 1; }));
  const std::uint64_t dials = host->upstream_resources().connect_attempts;
  net::tcp::acceptor back(io, nowhere);
  disconnect_while_timers_become_due(one);
  expect_nothing_more(0);
  EXPECT_EQ(host->upstream_resources().connect_attempts, dials);
}

TEST_P(DisconnectDuringLoopDelay, QueuedRequest_IsNotAdmitted) {
  start();
  std::vector<std::unique_ptr<FakeClient>> busy;
  for (std::size_t i = 0; i < kEnough; ++i) {
    busy.push_back(client());
    busy.back()->ask(request_text("GET", "/read/" + std::to_string(i), "read"));
  }
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == kEnough; }));
  RawClient one(io, host->address());
  one.write(request_text("GET", "/read/77", "read"));
  ASSERT_TRUE(wait_for([&] { return host->counts().requests == kEnough + 1; }));
  quiet(20);
  ASSERT_EQ(cache.requests.size(), kEnough);
  if (GetParam().first == First::client) one.go(GetParam().way);
  for (const auto& peer : cache.peers) peer->write(response(200, "x"));
  if (GetParam().first == First::attempt) one.go(GetParam().way);
  ::usleep(kLoopDelayUs);
  for (const auto& other : busy) ASSERT_TRUE(wait_for([&] { return other->answers.size() == 1; }));
  expect_nothing_more(kEnough);
}

// A pipelined request is started behind the response to the one before it.
TEST_P(DisconnectDuringLoopDelay, PipelinedRequest_IsNotStarted) {
  start();
  RawClient one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  one.write(request_text("GET", "/read/77", "read"));
  quiet(20);
  if (GetParam().first == First::client) one.go(GetParam().way);
  cache.peers[0]->write(response(200, "x"));
  if (GetParam().first == First::attempt) one.go(GetParam().way);
  ::usleep(kLoopDelayUs);
  quiet(1'200);
  EXPECT_EQ(cache.requests.size() + origin.requests.size(), 1U);
}

TEST_P(DisconnectDuringLoopDelay, ConnectionEstablished_CarriesNoRequest) {
  FullListener full(io);
  quiet(20);
  nlohmann::json config =
      config_json(text_of(discovery.local_endpoint()),
                  list_json(1, true, {{"s-1", full.address()}, {"s-o", origin.address(), "origin"}}));
  config["settings"]["PolicyLimits"]["DialTimeoutUs"] = 20'000'000;
  config["settings"]["PolicyLimits"]["SecondCopies"] = false;
  settings = platform::parse_settings(config.dump());
  host = std::make_unique<daemon::Host>(io, clock, settings);
  RawClient one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return host->upstream_resources().connect_attempts == 1; }));
  full.open();
  quiet(20);
  if (GetParam().first == First::client) one.go(GetParam().way);
  ::usleep(1'150'000);  // the kernel has tried again: the connection is made
  if (GetParam().first == First::attempt) one.go(GetParam().way);
  ::usleep(kLoopDelayUs);
  expect_nothing_more(0);
  EXPECT_FALSE(full.peers.empty());
  EXPECT_EQ(full.requests(), 0U);
}

// The request itself is unread.
TEST_P(DisconnectDuringLoopDelay, RequestReadWithItsDisconnect_IsNotStarted) {
  cache.answer = [](const std::string&) { return response(200, "x"); };
  start();
  RawClient one(io, host->address());
  if (GetParam().first == First::attempt) {
    one.write(a_read());  // an answer and a rest, so that the loop waits for the next one
    ASSERT_TRUE(wait_for([&] {
      one.take();
      return !one.got.empty();
    }));
    quiet(50);
  }
  const std::size_t before = cache.requests.size();
  one.write(a_read());
  if (GetParam().way == RawClient::Way::fin) one.write(std::string(10'000, 'x'));
  one.socket.shutdown(net::tcp::socket::shutdown_send);
  ::usleep(kLoopDelayUs);
  quiet(300);
  EXPECT_EQ(cache.requests.size() + origin.requests.size(), before);
}

}  // namespace
}  // namespace streampick::test
