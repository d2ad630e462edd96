// An upstream towards one server of the test, and a listener whose queue is full.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http1/upstream.h"
#include "loopback.h"

namespace streampick::test {

struct Record final : net::UpstreamResources, engine::AttemptObserver {
  void on_attempt_ended(engine::AttemptId attempt, Outcome outcome, engine::Answer answer) override {
    ended.emplace_back(attempt, outcome);
    bodies.push_back(answer.body);
  }
  std::optional<Time> may_write(engine::AttemptId) override {
    return wanted ? std::optional<Time>(kNever) : std::nullopt;
  }
  std::vector<std::pair<engine::AttemptId, Outcome>> ended;
  std::vector<std::string> bodies;
  bool wanted = true;  // false: the clients of all attempts have gone
};

// A server that accepts no connection until open(): connects to it stay pending in the kernel.
class FullListener {
 public:
  explicit FullListener(asio::io_context& io) : io_(io), acceptor_(io) {
    acceptor_.open(net::tcp::v4());
    acceptor_.bind(any_port());
    acceptor_.listen(0);
    fill();
  }
  // Two connections fill its queue; the handshake of a third one is not answered.
  void fill() {
    for (int i = 0; i < 2; ++i) {
      fill_.emplace_back(io_);
      fill_.back().async_connect(acceptor_.local_endpoint(), [](net::error_code) {});
    }
  }
  // Accepts one pending connection and never answers on it. The handshake of another one may now succeed.
  void take_one() {
    acceptor_.async_accept([this](net::error_code error, net::tcp::socket socket) {
      if (!error) keep(std::move(socket));
    });
  }
  std::string address() const { return text_of(acceptor_.local_endpoint()); }
  // From here on accepts all connections; requests are recorded, none is answered. The kernel repeats a
  // dropped handshake after a second.
  void open() {
    net::error_code ignored;
    for (net::tcp::socket& one : fill_) one.close(ignored);
    accept();
  }
  std::size_t requests() const {
    return static_cast<std::size_t>(
        std::count_if(peers.begin(), peers.end(), [](const auto& peer) { return !peer->got.empty(); }));
  }
  std::vector<std::shared_ptr<Peer>> peers;

 private:
  void accept() {
    acceptor_.async_accept([this](net::error_code error, net::tcp::socket socket) {
      if (error) return;
      keep(std::move(socket));
      accept();
    });
  }
  void keep(net::tcp::socket socket) {
    peers.push_back(std::make_shared<Peer>(std::move(socket)));
    peers.back()->read([](Peer&) {});
  }
  asio::io_context& io_;
  net::tcp::acceptor acceptor_;
  std::vector<net::tcp::socket> fill_;
};

class ToOneServer : public Loopback {
 protected:
  ToOneServer() {
    record.connections.set_limit(16);
    forward->target = "/read/1";
    forward->transaction_id = "9b1f03aa5c7e2d41";
    upstream.set_address(cache.address());
    quiet(20);  // the listener's queue fills
  }
  void send(std::uint32_t number, Time begin_by = kNever) {
    upstream.send({1, number}, forward, clock.now() + 8'000'000, begin_by);
  }

  Record record;
  std::shared_ptr<engine::Message> forward = std::make_shared<engine::Message>();
  FullListener full{io};
  http1::Upstream upstream{io, clock, record, record, "s-1"};
};

}  // namespace streampick::test
