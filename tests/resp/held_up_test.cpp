// Tests of a delayed event loop. After the delay one turn of the loop handles the disconnect of a RESP client
// and an event that would start an attempt for it, in either order; no attempt may start. A RESP server must
// receive deadlines that account for the delay.
#include <unistd.h>

#include "resp/resp_loopback.h"

namespace streampick::test {
namespace {

constexpr int kLoopDelayUs = 150'000, kPastTheHedgeDelayUs = 900'000;

class RespDisconnectDuringLoopDelay : public RespLoopback, public ::testing::WithParamInterface<bool> {
 protected:
  static bool client_first() { return GetParam(); }
  void disconnect_with_timers_due(RespClient& resp) {
    resp.peer->muted = true;
    if (client_first()) {
      resp.peer->close();
    } else {
      blocker.expires_after(std::chrono::microseconds(0));
      blocker.async_wait([&resp](net::error_code) {
        resp.peer->close();
        ::usleep(kLoopDelayUs);
      });
    }
    ::usleep(kPastTheHedgeDelayUs);
  }
  asio::steady_timer blocker{io};
};
INSTANTIATE_TEST_SUITE_P(Ends, RespDisconnectDuringLoopDelay, ::testing::Bool(),
                         [](const auto& info) { return info.param ? "ClientFirst" : "ClientLast"; });

TEST_P(RespDisconnectDuringLoopDelay, HedgeTimerDueAtADisconnect_HedgeIsNotSent) {
  FakeServer other(io);  // a server for the hedge
  start_with(
      kFront,
      list_json(1, true,
                {{"s-1", cache.address()}, {"s-2", other.address()}, {"s-o", origin.address(), "origin"}}));
  const auto all = [&] { return cache.requests.size() + other.requests.size() + origin.requests.size(); };
  const auto resp = resp_client();
  resp->ask({"GET", "k"});
  ASSERT_TRUE(wait_for([&] { return all() == 1; }));
  disconnect_with_timers_due(*resp);
  EXPECT_TRUE(wait_for([&] { return host->counts().cancelled_by_client == 1; }));
  quiet(1'200);
  EXPECT_EQ(all(), 1U);
}

// Many commands arrive in one write. After a disconnect none of them may start, whether the router reads the
// disconnect together with them or not.
TEST_P(RespDisconnectDuringLoopDelay, PipelinedCommandsAtADisconnect_AreNotStarted) {
  start_http();
  const auto resp = resp_client();
  resp->ask({"GET", "k"});
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  quiet(20);
  std::string many;
  for (int i = 0; i < 200; ++i) many += command({"GET", "k" + std::to_string(i)});
  resp->peer->muted = true;
  if (client_first()) {
    resp->raw(many);
    resp->peer->close();
  }
  cache.peers[0]->write(response(200, "x"));
  if (!client_first()) {
    resp->raw(many);
    resp->peer->close();
  }
  ::usleep(kLoopDelayUs);
  quiet(1'200);
  EXPECT_EQ(cache.requests.size() + origin.requests.size(), 1U);
}

struct Observer final : engine::AttemptObserver {
  void on_attempt_ended(engine::AttemptId, Outcome outcome, engine::Answer) override {
    outcomes.push_back(outcome);
  }
  std::optional<Time> may_write(engine::AttemptId) override {
    return is_open ? std::optional<Time>(kNever) : std::nullopt;
  }
  std::vector<Outcome> outcomes;
  bool is_open = true;
};

// A server that reads received bytes only when the test calls take().
class RespServerDeadline : public RespLoopback {
 protected:
  RespServerDeadline() {
    resources.connections.set_limit(4);
    servers.rules.send_ids = true;
    servers.connections = 1;
    transport.set_address(text_of(acceptor.local_endpoint()));
    acceptor.async_accept(server, [](net::error_code) {});
  }
  void send(std::uint32_t number, Time expires) { transport.send({1, number}, message, expires, kNever); }
  // Reads all received bytes.
  std::string take() {
    server.non_blocking(true);
    std::string out;
    std::vector<char> chunk(1'000'000);
    net::error_code error;
    while (!error) out.append(chunk.data(), server.read_some(asio::buffer(chunk), error));
    return out;
  }
  // Answers the greeting of the router.
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
  static Time sent_deadline(const std::string& bytes) {
    const std::size_t at = bytes.find("DEADLINE\r\n");
    if (at == std::string::npos) return -1;
    return std::stoll(bytes.substr(bytes.find("\r\n", at + 10) + 2)) * 1'000;
  }
  // Reads the remaining bytes in the kernel, for 200 ms.
  std::string read_remaining() {
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
  Observer ended;
  resp::ServerSettings servers;
  resp::ServerCounts counts;
  resp::RespTransport transport{io, clock, resources, ended, servers, counts, "c-0", false};
  std::shared_ptr<engine::Message> message = std::make_shared<engine::Message>();
};

TEST_F(RespServerDeadline, LoopDelayWithinABatch_DeadlineUsesTheCurrentTime) {
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
  EXPECT_GT(sent_deadline(got), 0);
  EXPECT_LE(sent_deadline(got), 1'700'000);
}

TEST_F(RespServerDeadline, PartlyWrittenCommandThatIsLateOrCancelled_IsNotCompleted) {
  message->operation = engine::Operation::write;
  message->key = "k";
  message->transaction_id = "9b1f03aa5c7e2d41";
  message->body = std::string(8'000'000, 'x');
  for (const bool late : {true, false}) {
    SCOPED_TRACE(late ? "late" : "cancelled");
    send(0, clock.now() + 8'000'000);
    greet();
    quiet(late ? 300 : 20);
    ended.is_open = late;
    const std::size_t before = ended.outcomes.size();
    EXPECT_LT(read_remaining().size(), message->body.size());
    ASSERT_TRUE(wait_for([&] { return ended.outcomes.size() == before + 1; }));
    EXPECT_EQ(ended.outcomes.back(), Outcome::connect_failed);
    ended.is_open = true;
    server.close();
    acceptor.async_accept(server, [](net::error_code) {});
    quiet(20);
  }
}

// Guards against a repeat that goes on being written when its server has forgotten the first attempt.
TEST_F(RespServerDeadline, PartlyWrittenRepeatWhoseWindowEnds_IsNotCompleted) {
  servers.rules.send_ids = false;
  message->operation = engine::Operation::write;
  message->key = "k";
  message->body = std::string(8'000'000, 'x');
  transport.send({1, 0}, message, clock.now() + 8'000'000, clock.now() + 200'000);
  greet();
  quiet(300);
  EXPECT_LT(read_remaining().size(), message->body.size());
  ASSERT_TRUE(wait_for([&] { return ended.outcomes.size() == 1; }));
  EXPECT_EQ(ended.outcomes.back(), Outcome::connect_failed);
}

}  // namespace
}  // namespace streampick::test
