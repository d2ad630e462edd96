// A loop that was held up finds the end of a RESP client and what would begin an attempt for it ready in one
// turn, in either order: nothing begins. And what a RESP server is told of deadlines behind a hold-up.
#include <unistd.h>

#include "resp/resp_loopback.h"

namespace streampick::test {
namespace {

constexpr int kHoldUpUs = 150'000, kPastTheHedgeUs = 900'000;

class RespHeldUp : public RespLoopback, public ::testing::WithParamInterface<bool> {
 protected:
  static bool client_first() { return GetParam(); }
  void client_goes_and_timers_fall_due(RespClient& one) {
    one.peer->muted = true;
    if (client_first()) {
      one.peer->close();
    } else {
      blocker.expires_after(std::chrono::microseconds(0));
      blocker.async_wait([&one](net::error_code) {
        one.peer->close();
        ::usleep(kHoldUpUs);
      });
    }
    ::usleep(kPastTheHedgeUs);
  }
  asio::steady_timer blocker{io};
};
INSTANTIATE_TEST_SUITE_P(Ends, RespHeldUp, ::testing::Bool(),
                         [](const auto& info) { return info.param ? "ClientFirst" : "ClientLast"; });

TEST_P(RespHeldUp, AHedgeWhoseTimerIsDueBesideTheEndIsNotSent) {
  FakeServer other(io);  // a hedge has somewhere to go
  start_with(
      kFront,
      list_json(1, true,
                {{"s-1", cache.address()}, {"s-2", other.address()}, {"s-o", origin.address(), "origin"}}));
  const auto all = [&] { return cache.requests.size() + other.requests.size() + origin.requests.size(); };
  const auto one = resp_client();
  one->ask({"GET", "k"});
  ASSERT_TRUE(wait_for([&] { return all() == 1; }));
  client_goes_and_timers_fall_due(*one);
  EXPECT_TRUE(wait_for([&] { return host->counts().cancelled_by_client == 1; }));
  quiet(1'200);
  EXPECT_EQ(all(), 1U);
}

// Many commands in one write: none of them is begun long behind the end, be it read with them or not.
TEST_P(RespHeldUp, PipelinedCommandsAreNotBegunBesideTheEnd) {
  start_http();
  const auto one = resp_client();
  one->ask({"GET", "k"});
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  quiet(20);
  std::string many;
  for (int i = 0; i < 200; ++i) many += command({"GET", "k" + std::to_string(i)});
  one->peer->muted = true;
  if (client_first()) {
    one->raw(many);
    one->peer->close();
  }
  cache.peers[0]->write(response(200, "x"));
  if (!client_first()) {
    one->raw(many);
    one->peer->close();
  }
  ::usleep(kHoldUpUs);
  quiet(1'200);
  EXPECT_EQ(cache.requests.size() + origin.requests.size(), 1U);
}

struct Ended final : engine::AttemptObserver {
  void on_attempt_ended(engine::AttemptId, Outcome outcome, engine::Answer) override {
    outcomes.push_back(outcome);
  }
  std::optional<Time> may_write(engine::AttemptId) override {
    return wanted ? std::optional<Time>(kNever) : std::nullopt;
  }
  std::vector<Outcome> outcomes;
  bool wanted = true;
};

// A server whose bytes are read when told.
class ToldToResp : public RespLoopback {
 protected:
  ToldToResp() {
    resources.connections.set_limit(4);
    servers.rules.send_ids = true;
    servers.connections = 1;
    transport.set_address(text_of(acceptor.local_endpoint()));
    acceptor.async_accept(server, [](net::error_code) {});
  }
  void send(std::uint32_t number, Time expires) { transport.send({1, number}, message, expires, kNever); }
  // Reads what is there.
  std::string take() {
    server.non_blocking(true);
    std::string out;
    std::vector<char> chunk(1'000'000);
    net::error_code error;
    while (!error) out.append(chunk.data(), server.read_some(asio::buffer(chunk), error));
    return out;
  }
  // Answers the greeting.
  void greet() {
    std::string got;
    ASSERT_TRUE(wait_for([&] {
      if (server.is_open()) got += take();
      return got.find("HELLO") != std::string::npos;
    }));
    net::error_code ignored;
    asio::write(server, asio::buffer(std::string("%1\r\n+server\r\n+x\r\n")), ignored);
    quiet(20);
  }
  static Time told(const std::string& bytes) {
    const std::size_t at = bytes.find("DEADLINE\r\n");
    if (at == std::string::npos) return -1;
    return std::stoll(bytes.substr(bytes.find("\r\n", at + 10) + 2)) * 1'000;
  }
  // The rest of what the kernel took, up to the end of the connection or some quiet.
  std::string rest() {
    std::string out;
    for (int rounds = 0; rounds < 20; ++rounds) {
      out += take();
      quiet(10);
    }
    return out;
  }

  net::tcp::acceptor acceptor{io, any_port()};
  net::tcp::socket server{io};
  net::UpstreamResources resources;
  Ended ended;
  resp::ServerSettings servers;
  resp::ServerCounts counts;
  resp::RespTransport transport{io, clock, resources, ended, servers, counts, "c-0", false};
  std::shared_ptr<engine::Message> message = std::make_shared<engine::Message>();
};

TEST_F(ToldToResp, BehindAHoldUpWithinABatchTheTimeIsReadAnew) {
  message->key = "k";
  message->transaction_id = "9b1f03aa5c7e2d41";
  send(0, clock.now() + 8'000'000);
  greet();
  take();
  asio::write(server, asio::buffer(std::string("$1\r\nv\r\n")));
  ASSERT_TRUE(wait_for([&] { return ended.outcomes.size() == 1; }));
  const Time expires = clock.now() + 2'000'000;
  ::usleep(300'000);
  send(1, expires);
  std::string got;
  ASSERT_TRUE(wait_for([&] {
    got += take();
    return got.find("GET") != std::string::npos;
  }));
  EXPECT_GT(told(got), 0);
  EXPECT_LE(told(got), 1'700'000);
}

TEST_F(ToldToResp, OfACommandThatIsHalfOutTheRestDoesNotFollowLateOrForNobody) {
  message->operation = engine::Operation::write;
  message->key = "k";
  message->transaction_id = "9b1f03aa5c7e2d41";
  message->body = std::string(8'000'000, 'x');
  for (const bool late : {true, false}) {
    SCOPED_TRACE(late ? "late" : "for nobody");
    send(0, clock.now() + 8'000'000);
    greet();
    quiet(late ? 300 : 20);
    ended.wanted = late;
    const std::size_t before = ended.outcomes.size();
    EXPECT_LT(rest().size(), message->body.size());
    ASSERT_TRUE(wait_for([&] { return ended.outcomes.size() == before + 1; }));
    EXPECT_EQ(ended.outcomes.back(), Outcome::connect_failed);
    ended.wanted = true;
    server.close();
    acceptor.async_accept(server, [](net::error_code) {});
    quiet(20);
  }
}

}  // namespace
}  // namespace streampick::test
