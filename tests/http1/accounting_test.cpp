// Each accepted request gets exactly one final response, whatever its servers and other clients do.
#include "http1/one_server.h"
#include "raw_client.h"

namespace streampick::test {
namespace {

// Resets, truncates, malforms, rejects and stays silent, in turn with valid responses.
class FaultyServer {
 public:
  explicit FaultyServer(asio::io_context& io) : acceptor_(io, any_port()) { accept(); }
  std::string address() const { return text_of(acceptor_.local_endpoint()); }

 private:
  void accept() {
    acceptor_.async_accept([this](net::error_code error, net::tcp::socket socket) {
      if (error) return;
      peers_.push_back(std::make_shared<Peer>(std::move(socket)));
      peers_.back()->read([this](Peer& peer) {
        while (!peer.ended && !take_message(peer.got).empty()) answer(peer);
      });
      accept();
    });
  }
  void answer(Peer& peer) {
    switch (++requests_ % 8) {
      case 1: return reset(peer);
      case 2: peer.write("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"); return peer.close();
      case 3: return peer.write("HTTP/1.1 2x0 spoilt\r\n\r\n");
      case 4: return peer.write(response(503, "", "X-Turned-Away: 1\r\n"));
      case 5: return;  // silence
      case 6: return peer.write(response(500));
      default: return peer.write(response(200, "good"));
    }
  }
  static void reset(Peer& peer) {
    net::error_code ignored;
    peer.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    peer.close();
  }
  net::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<Peer>> peers_;
  std::uint64_t requests_ = 0;
};

// Sends one request after the other, on a new connection where the router closed the one before.
class SequentialClient {
 public:
  SequentialClient(asio::io_context& io, net::tcp::endpoint to, std::size_t all)
      : io_(io), to_(std::move(to)), all_(all) {}
  /// Reads responses and sends the next request. Returns whether all are answered.
  bool advance() {
    if (client_ && client_->answers.size() > seen_) {
      last_ = client_->answers[seen_++];
      ++answered_;
      waiting_ = false;
    }
    if (waiting_ && client_->peer->ended) {
      ++unanswered_;
      waiting_ = false;
    }
    if (waiting_ || asked_ == all_) return !waiting_;
    if (!client_ || client_->peer->ended || last_.find("Connection: close") != std::string::npos) {
      client_ = std::make_unique<FakeClient>(io_, to_);
      seen_ = 0;
    }
    last_.clear();
    const bool write = ++asked_ % 5 == 0;
    client_->ask(write ? request_text("PUT", "/pay/" + std::to_string(asked_), "pay", "x", "0.6")
                       : request_text("GET", "/read/" + std::to_string(asked_), "read", "", "0.6"));
    waiting_ = true;
    return false;
  }
  std::size_t answered() const { return answered_; }
  std::size_t unanswered() const { return unanswered_; }

 private:
  asio::io_context& io_;
  net::tcp::endpoint to_;
  std::size_t all_, asked_ = 0, answered_ = 0, unanswered_ = 0, seen_ = 0;
  std::unique_ptr<FakeClient> client_;
  std::string last_;
  bool waiting_ = false;
};

class HttpAccounting : public Loopback {
 protected:
  static constexpr std::size_t kClients = 6, kEach = 15;

  void start_faulty(std::size_t sockets) {
    nlohmann::json config = config_json(
        text_of(discovery.local_endpoint()),
        list_json(
            1, true,
            {{"s-1", first.address()}, {"s-2", second.address()}, {"s-o", source.address(), "origin"}}));
    config["limits"]["sockets"] = sockets;
    settings = platform::parse_settings(config.dump());
    host = std::make_unique<daemon::Host>(io, clock, settings);
  }
  /// Expects one response to each request; `meanwhile` is called again and again.
  void ask_all(const std::function<void()>& meanwhile) {
    std::vector<std::unique_ptr<SequentialClient>> all;
    for (std::size_t i = 0; i < kClients; ++i)
      all.push_back(std::make_unique<SequentialClient>(io, host->address(), kEach));
    ASSERT_TRUE(wait_for([&] {
      meanwhile();
      bool done = true;
      for (const auto& one : all) done = one->advance() && done;
      return done;
    }));
    quiet(50);
    for (const auto& one : all) {
      EXPECT_EQ(one->answered(), kEach);
      EXPECT_EQ(one->unanswered(), 0U);
    }
    const engine::Counters& counts = host->counts();
    EXPECT_GE(counts.requests, kClients * kEach);
    EXPECT_EQ(counts.deadline_guards, 0U);
    EXPECT_EQ(counts.requests - counts.cancelled_by_client, counts.served + counts.refused + counts.failed);
    EXPECT_EQ(counts.served + counts.refused + counts.failed, kClients * kEach);
  }

  FaultyServer first{io}, second{io}, source{io};
};

TEST_F(HttpAccounting, FaultyServers_EveryRequestGetsOneResponse) {
  start_faulty(256);
  ask_all([] {});
}

// Clients that flood behind a request, send malformed ones or stop within one, and disconnect at any time.
TEST_F(HttpAccounting, MisbehavingClientsBeside_EveryRequestGetsOneResponse) {
  start_faulty(256);
  std::vector<std::unique_ptr<RawClient>> bad;
  std::size_t turn = 0;
  ask_all([&] {
    if (++turn % 20 != 0) return;
    bad.push_back(std::make_unique<RawClient>(io, host->address()));
    bad.back()->socket.non_blocking(true);
    const std::string request = request_text("GET", "/read/9", "read", "", "2.0");
    switch (turn / 20 % 4) {
      case 0: bad.back()->write(request + std::string(100'000, 'x')); break;
      case 1: bad.back()->write("no request at all\r\n\r\n"); break;
      case 2: bad.back()->write(request.substr(0, request.size() / 2)); break;
      default: bad.back()->write(request + request_text("GET", "/read/8", "read", "", "2.0"));
    }
    if (bad.size() > 8) {
      if (bad.front()->socket.is_open())
        bad.front()->go(turn % 3 == 0 ? RawClient::Way::reset : RawClient::Way::fin);
      bad.erase(bad.begin());
    }
    if (turn / 20 % 4 != 1)
      bad.back()->go(RawClient::Way::fin);  // its requests have no final answer to count
  });
}

TEST_F(HttpAccounting, IdleClientsFillTheDescriptors_EveryRequestGetsOneResponse) {
  start_faulty(96);
  std::vector<std::unique_ptr<RawClient>> idle;
  ask_all([&] {
    if (idle.size() < 200) idle.push_back(std::make_unique<RawClient>(io, host->address()));
  });
}

}  // namespace
}  // namespace streampick::test
