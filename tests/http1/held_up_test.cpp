// A loop that was held up finds a client's end and what would begin an attempt for it ready in one turn, in
// either order: nothing begins. The hold-up is made by not running the loop, or by a handler that blocks.
#include <unistd.h>

#include "http1/one_server.h"
#include "raw_client.h"

namespace streampick::test {
namespace {

constexpr std::size_t kEnough = 3;  // more reads than the first limit on cache work lets out at one server
constexpr int kHoldUpUs = 150'000, kPastTheHedgeUs = 900'000;

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

class HeldUp : public Loopback, public ::testing::WithParamInterface<Case> {
 protected:
  // What blocks the loop ahead of the engine's timers that fall due while it is not run.
  void block_ahead_of_timers(const std::function<void()>& block) {
    blocker.expires_after(std::chrono::microseconds(0));
    blocker.async_wait([block](net::error_code) { block(); });
  }
  // The client goes while the loop is not run, and the engine's timers fall due.
  void client_goes_and_timers_fall_due(RawClient& one) {
    if (GetParam().first == First::client) {
      one.go(GetParam().way);
      ::usleep(kPastTheHedgeUs);
      return;
    }
    block_ahead_of_timers([&one] {
      one.go(GetParam().way);
      ::usleep(kHoldUpUs);
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

  // Two caches: a hedge has somewhere to go.
  void start_with_two() {
    start(list_json(
        1, true, {{"s-1", cache.address()}, {"s-2", other.address()}, {"s-o", origin.address(), "origin"}}));
  }
  // Connections to both, so that an attempt has none to wait for. How many requests they have had.
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

INSTANTIATE_TEST_SUITE_P(Ends, HeldUp,
                         ::testing::Values(Case{RawClient::Way::fin, First::client},
                                           Case{RawClient::Way::fin, First::attempt},
                                           Case{RawClient::Way::reset, First::client},
                                           Case{RawClient::Way::reset, First::attempt}),
                         [](const auto& info) { return name_of(info.param); });

TEST_P(HeldUp, AHedgeWhoseTimerIsDueBesideTheEndIsNotSent) {
  start_with_two();
  const std::size_t before = warm_up();
  RawClient one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return at_caches() == before + 1; }));
  client_goes_and_timers_fall_due(one);
  expect_nothing_more(before + 1);
}

// Bytes of a next request, more than one read takes, stand before the end.
TEST_P(HeldUp, AHedgeIsNotSentWhereUnreadBytesStandBeforeTheEnd) {
  start_with_two();
  const std::size_t before = warm_up();
  RawClient one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return at_caches() == before + 1; }));
  one.write(std::string(10'000, 'x'));
  client_goes_and_timers_fall_due(one);
  expect_nothing_more(before + 1);
}

TEST_P(HeldUp, ARetryWhoseTimerIsDueBesideTheEndIsNotSent) {
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
  client_goes_and_timers_fall_due(one);
  expect_nothing_more(0);
  EXPECT_EQ(host->upstream_resources().connect_attempts, dials);
}

TEST_P(HeldUp, ARequestInTheQueueIsNotAdmittedBesideTheEnd) {
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
  ::usleep(kHoldUpUs);
  for (const auto& other : busy) ASSERT_TRUE(wait_for([&] { return other->answers.size() == 1; }));
  expect_nothing_more(kEnough);
}

// A request that was sent ahead is begun behind the answer to the one before it.
TEST_P(HeldUp, APipelinedRequestIsNotBegunBesideTheEnd) {
  start();
  RawClient one(io, host->address());
  one.write(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  one.write(request_text("GET", "/read/77", "read"));
  quiet(20);
  if (GetParam().first == First::client) one.go(GetParam().way);
  cache.peers[0]->write(response(200, "x"));
  if (GetParam().first == First::attempt) one.go(GetParam().way);
  ::usleep(kHoldUpUs);
  quiet(1'200);
  EXPECT_EQ(cache.requests.size() + origin.requests.size(), 1U);
}

TEST_P(HeldUp, AConnectionThatComesUpBesideTheEndCarriesNothing) {
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
  ::usleep(kHoldUpUs);
  expect_nothing_more(0);
  EXPECT_FALSE(full.peers.empty());
  EXPECT_EQ(full.requests(), 0U);
}

// The request itself was not read yet.
TEST_P(HeldUp, ARequestThatIsReadBesideItsEndBeginsNothing) {
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
  ::usleep(kHoldUpUs);
  quiet(300);
  EXPECT_EQ(cache.requests.size() + origin.requests.size(), before);
}

}  // namespace
}  // namespace streampick::test
