// Each accepted request gets exactly one final response, whatever faults its servers and other clients have.
#include "http1/one_server.h"
#include "raw_client.h"

namespace streampick::test {
namespace {

// Alternates valid responses with resets, truncated, malformed, rejecting and missing responses.
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
      case 5: return;  // no response
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

// Sends one request after another, on a new connection whenever the router closed the previous one.
class SequentialClient {
 public:
  SequentialClient(asio::io_context& io, net::tcp::endpoint to, std::size_t request_count)
      : io_(io), to_(std::move(to)), request_count_(request_count) {}
  /// Reads responses and sends the next request. Returns whether all requests are answered.
  bool advance() {
    if (client_ && client_->answers.size() > handled_) {
      last_ = client_->answers[handled_++];
      ++answered_;
      is_waiting_ = false;
    }
    if (is_waiting_ && client_->peer->ended) {
      ++unanswered_;
      is_waiting_ = false;
    }
    if (is_waiting_ || sent_ == request_count_) return !is_waiting_;
    if (!client_ || client_->peer->ended || last_.find("Connection: close") != std::string::npos) {
      client_ = std::make_unique<FakeClient>(io_, to_);
      handled_ = 0;
    }
    last_.clear();
    const bool write = ++sent_ % 5 == 0;
    client_->ask(write ? request_text("PUT", "/pay/" + std::to_string(sent_), "pay", "x", "0.6")
                       : request_text("GET", "/read/" + std::to_string(sent_), "read", "", "0.6"));
    is_waiting_ = true;
    return false;
  }
  std::size_t answered() const { return answered_; }
  std::size_t unanswered() const { return unanswered_; }

 private:
  asio::io_context& io_;
  net::tcp::endpoint to_;
  std::size_t request_count_, sent_ = 0, answered_ = 0, unanswered_ = 0, handled_ = 0;
  std::unique_ptr<FakeClient> client_;
  std::string last_;
  bool is_waiting_ = false;
};

class HttpAccounting : public Loopback {
 protected:
  static constexpr std::size_t kClients = 6, kRequestsPerClient = 15;

  void start_with_faulty_servers(std::size_t sockets) {
    nlohmann::json config = config_json(text_of(discovery.local_endpoint()),
                                        list_json(1, true,
                                                  {{"s-1", first.address()},
                                                   {"s-2", second.address()},
                                                   {"s-o", faulty_origin.address(), "origin"}}));
    config["limits"]["sockets"] = sockets;
    settings = platform::parse_settings(config.dump());
    host = std::make_unique<daemon::Host>(io, clock, settings);
  }
  /// Expects one response to each request. `meanwhile` is called repeatedly until all are answered.
  void send_all_requests(const std::function<void()>& meanwhile) {
    std::vector<std::unique_ptr<SequentialClient>> all;
    for (std::size_t i = 0; i < kClients; ++i)
      all.push_back(std::make_unique<SequentialClient>(io, host->address(), kRequestsPerClient));
    ASSERT_TRUE(wait_for([&] {
      meanwhile();
      bool done = true;
      for (const auto& http_client : all) done = http_client->advance() && done;
      return done;
    }));
    quiet(50);
    for (const auto& http_client : all) {
      EXPECT_EQ(http_client->answered(), kRequestsPerClient);
      EXPECT_EQ(http_client->unanswered(), 0U);
    }
    const engine::Counters& counts = host->counts();
    EXPECT_GE(counts.requests, kClients * kRequestsPerClient);
    EXPECT_EQ(counts.deadline_guards, 0U);
    EXPECT_EQ(counts.requests - counts.cancelled_by_client, counts.served + counts.refused + counts.failed);
    EXPECT_EQ(counts.served + counts.refused + counts.failed, kClients * kRequestsPerClient);
  }

  FaultyServer first{io}, second{io}, faulty_origin{io};
};

TEST_F(HttpAccounting, FaultyServers_EveryRequestGetsOneResponse) {
  start_with_faulty_servers(256);
  send_all_requests([] {});
}

// Other clients send garbage after a request, send malformed or incomplete requests, and disconnect at any
// time.
TEST_F(HttpAccounting, MisbehavingOtherClients_EveryRequestGetsOneResponse) {
  start_with_faulty_servers(256);
  std::vector<std::unique_ptr<RawClient>> misbehaving;
  std::size_t iteration = 0;
  send_all_requests([&] {
    if (++iteration % 20 != 0) return;
    misbehaving.push_back(std::make_unique<RawClient>(io, host->address()));
    misbehaving.back()->socket.non_blocking(true);
    const std::string request = request_text("GET", "/read/9", "read", "", "2.0");
    switch (iteration / 20 % 4) {
      case 0: misbehaving.back()->write(request + std::string(100'000, 'x')); break;
      case 1: misbehaving.back()->write("no request at all\r\n\r\n"); break;
      case 2: misbehaving.back()->write(request.substr(0, request.size() / 2)); break;
      default: misbehaving.back()->write(request + request_text("GET", "/read/8", "read", "", "2.0"));
    }
    if (misbehaving.size() > 8) {
      if (misbehaving.front()->socket.is_open())
        misbehaving.front()->go(iteration % 3 == 0 ? RawClient::Way::reset : RawClient::Way::fin);
      misbehaving.erase(misbehaving.begin());
    }
    // Requests of these clients get no final response, so they are not counted.
    if (iteration / 20 % 4 != 1) misbehaving.back()->go(RawClient::Way::fin);
  });
}

TEST_F(HttpAccounting, IdleClientsFillTheDescriptors_EveryRequestGetsOneResponse) {
  start_with_faulty_servers(96);
  std::vector<std::unique_ptr<RawClient>> idle;
  send_all_requests([&] {
    if (idle.size() < 200) idle.push_back(std::make_unique<RawClient>(io, host->address()));
  });
}

}  // namespace
}  // namespace streampick::test
