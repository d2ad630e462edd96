// A test with an http1::Upstream towards one server, and a listener whose accept queue is full.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http1/upstream.h"
#include "loopback.h"

namespace streampick::test {

struct RecordingEnvironment final : net::UpstreamResources, engine::AttemptObserver {
  void on_attempt_ended(engine::AttemptId attempt, Outcome outcome, engine::Answer answer) override {
    ended.emplace_back(attempt, outcome);
    bodies.push_back(answer.body);
  }
  std::optional<Time> may_write(engine::AttemptId) override {
    return attempts_needed ? std::optional<Time>(kNever) : std::nullopt;
  }
  std::vector<std::pair<engine::AttemptId, Outcome>> ended;
  std::vector<std::string> bodies;
  bool attempts_needed = true;  // false: the clients of all attempts have disconnected
};

// A server that accepts no connection until open(), so that connects to it stay pending in the kernel.
class FullListener {
 public:
  explicit FullListener(asio::io_context& io) : io_(io), acceptor_(io) {
    acceptor_.open(net::tcp::v4());
    acceptor_.bind(any_port());
    acceptor_.listen(0);
    fill_queue();
  }
  // Two connections fill the accept queue. The kernel does not answer the handshake of a third one.
  void fill_queue() {
    for (int i = 0; i < 2; ++i) {
      queue_fillers_.emplace_back(io_);
      queue_fillers_.back().async_connect(acceptor_.local_endpoint(), [](net::error_code) {});
    }
  }
  // Accepts one pending connection and never answers on it. The handshake of another connection may succeed
  // then.
  void accept_one() {
    acceptor_.async_accept([this](net::error_code error, net::tcp::socket socket) {
      if (!error) keep(std::move(socket));
    });
  }
  std::string address() const { return text_of(acceptor_.local_endpoint()); }
  // Accepts all connections from now on; their requests are recorded and never answered. The kernel repeats a
  // handshake that was not answered after one second.
  void open() {
    net::error_code ignored;
    for (net::tcp::socket& filler : queue_fillers_) filler.close(ignored);
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
  std::vector<net::tcp::socket> queue_fillers_;
};

class SingleServerTest : public Loopback {
 protected:
  SingleServerTest() {
    record.connections.set_limit(16);
    message->target = "/read/1";
    message->transaction_id = "9b1f03aa5c7e2d41";
    upstream.set_address(cache.address());
    quiet(20);  // until the queue of `full` is full
  }
  void send(std::uint32_t number, Time begin_by = kNever) {
    upstream.send({1, number}, message, clock.now() + 8'000'000, begin_by);
  }

  RecordingEnvironment record;
  std::shared_ptr<engine::Message> message = std::make_shared<engine::Message>();
  FullListener full{io};
  http1::Upstream upstream{io, clock, record, record, "s-1"};
};

}  // namespace streampick::test
