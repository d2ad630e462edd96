// Digests of what http1::Upstream does with fixed attempts against scripted servers: the bytes of its
// requests, the outcomes that it reports, and the connections that it establishes, closes and uses again. The
// clock is scripted. A digest that no longer matches means that the behaviour has changed; the test then
// prints the whole transcript.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http1/one_server.h"

namespace streampick::test {

inline std::uint64_t fnv1a(std::string_view bytes) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char byte : bytes) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= 0x100000001b3;
  }
  return hash;
}

inline std::string hex(std::uint64_t value) {
  std::array<char, 20> text{};
  std::snprintf(text.data(), text.size(), "0x%016llx", static_cast<unsigned long long>(value));
  return text.data();
}

/// The bytes in printable form; of long ones only the size and hash.
inline std::string printable(const std::string& bytes) {
  if (bytes.size() > 600) return std::to_string(bytes.size()) + " bytes " + hex(fnv1a(bytes));
  std::string text;
  for (const char byte : bytes) {
    if (byte == '\r') {
      text += "\\r";
    } else if (byte == '\n') {
      text += "\\n";
    } else {
      text += byte;
    }
  }
  return text;
}

/// A clock that advances only when a test calls advance(). Timers of asio still run in real time.
class ScriptedClock final : public engine::TimeSource {
 public:
  Time now() override { return now_; }
  Time wall_time() override { return now_; }
  std::unique_ptr<engine::Timer> timer(std::function<void()>) override { return nullptr; }
  void advance(Time by) { now_ += by; }

 private:
  Time now_ = 1'000'000'000;
};

/// Accepts connections and records what arrives on them.
class ScriptedServer {
 public:
  explicit ScriptedServer(asio::io_context& io) : acceptor_(io, any_port()) { accept(); }
  std::string address() const { return text_of(acceptor_.local_endpoint()); }
  std::vector<std::shared_ptr<Peer>> peers;
  bool reads = true;

 private:
  void accept() {
    acceptor_.async_accept([this](net::error_code error, net::tcp::socket socket) {
      if (error) return;
      peers.push_back(std::make_shared<Peer>(std::move(socket)));
      if (reads) peers.back()->read([](Peer&) {});
      accept();
    });
  }
  net::tcp::acceptor acceptor_;
};

/// Writes each reported outcome into the transcript.
class OutcomeRecorder final : public engine::AttemptObserver {
 public:
  explicit OutcomeRecorder(std::string& transcript) : transcript_(transcript) {}
  void on_attempt_ended(engine::AttemptId attempt, Outcome outcome, engine::Answer answer) override {
    ++ended;
    transcript_ += "outcome attempt=" + std::to_string(attempt.number) +
                   " outcome=" + std::to_string(static_cast<int>(outcome)) + " type=" + answer.content_type +
                   " body=" + printable(answer.body) + " reserved=" + (answer.memory ? "yes" : "no");
    if (answer.stream) transcript_ += " streamed";
    transcript_ += "\n";
    last = std::move(answer);
  }
  std::optional<Time> may_write(engine::AttemptId attempt) override {
    // The kernel determines how often a partial write is resumed, so consecutive calls for one attempt are
    // recorded once.
    if (asked_last_ != attempt) transcript_ += "may_write attempt=" + std::to_string(attempt.number) + "\n";
    asked_last_ = attempt;
    return write_deadline;
  }
  std::size_t ended = 0;
  engine::Answer last;
  std::optional<Time> write_deadline = kNever;

 private:
  std::string& transcript_;
  std::optional<engine::AttemptId> asked_last_;
};

class UpstreamDigest : public ::testing::Test {
 protected:
  UpstreamDigest() {
    resources.connections.set_limit(16);
    resources.streaming.max_buffering_time = 60'000'000;
    overload::Settings overload;
    overload.max_drain_time = 60'000'000;
    resources.cancellation = overload::CancellationPolicy(overload);
    upstream->set_address(server.address());
  }

  [[nodiscard]] bool wait_for(const std::function<bool()>& condition) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > until) return false;
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }
  /// Runs the event loop until everything that was sent over loopback has arrived.
  void settle() {
    for (int turn = 0, idle = 0; turn < 60 && idle < 4; ++turn) {
      io.restart();
      idle = io.run_one_for(std::chrono::milliseconds(3)) == 0 ? idle + 1 : 0;
    }
  }

  std::shared_ptr<engine::Message> message(engine::Operation operation = engine::Operation::read) {
    const auto request = std::make_shared<engine::Message>();
    request->operation = operation;
    request->target = "/read/1?version=2";
    request->transaction_id = "9b1f03aa5c7e2d41";
    return request;
  }
  void begin_section(const std::string& text) { transcript += "# " + text + "\n"; }
  std::uint32_t send(std::shared_ptr<const engine::Message> request, Time within = 8'000'000,
                     Time begin_by = kNever) {
    upstream->send({1, next_attempt}, std::move(request), clock.now() + within, begin_by);
    return next_attempt++;
  }
  std::uint32_t send_read() { return send(message()); }

  Peer& peer(std::size_t index) { return *server.peers.at(index); }
  /// Waits for a complete request head on a connection and moves the received bytes into the transcript.
  void expect_request(std::size_t index) {
    ASSERT_TRUE(wait_for([&] {
      return server.peers.size() > index && peer(index).got.find("\r\n\r\n") != std::string::npos;
    }));
    settle();
    take_bytes(index);
  }
  void take_bytes(std::size_t index) {
    transcript += "connection " + std::to_string(index) + " got " + printable(peer(index).got) + "\n";
    peer(index).got.clear();
  }
  void expect_ended(std::size_t count) {
    ASSERT_TRUE(wait_for([&] { return outcomes.ended >= count; })) << transcript;
  }
  void expect_closed(std::size_t index) {
    ASSERT_TRUE(wait_for([&] { return peer(index).ended; })) << transcript;
  }
  void reset(std::size_t index) {
    net::error_code ignored;
    peer(index).socket.set_option(asio::socket_base::linger(true, 0), ignored);
    peer(index).close();
  }
  /// Sends a read that is served after `took` microseconds of the scripted clock, on connection `index`.
  void serve_read(std::size_t index, Time took) {
    const std::size_t ended = outcomes.ended;
    send_read();
    expect_request(index);
    clock.advance(took);
    peer(index).write(response(200, "served"));
    expect_ended(ended + 1);
  }
  void record_state() {
    settle();
    transcript += "state dials=" + std::to_string(resources.connect_attempts) +
                  " connections=" + std::to_string(resources.connections.open()) +
                  " written=" + std::to_string(resources.requests_sent) +
                  " draining=" + std::to_string(resources.drains.active) +
                  " drains=" + std::to_string(resources.drains.started) + "/" +
                  std::to_string(resources.drains.reused) +
                  " streams=" + std::to_string(resources.streams.started) + "/" +
                  std::to_string(resources.streams.truncated) + "/" +
                  std::to_string(resources.streams.abandoned) + "/" + std::to_string(resources.streams.open) +
                  " large=" + std::to_string(resources.body_memory.reserved()) +
                  " streaming=" + (upstream && upstream->has_streaming_response() ? "yes" : "no") + " peers=";
    for (const auto& accepted : server.peers) transcript += accepted->ended ? 'c' : 'o';
    transcript += "\n";
  }
  void expect_digest(std::uint64_t expected) {
    record_state();
    EXPECT_EQ(hex(fnv1a(transcript)), hex(expected)) << transcript;
  }

  asio::io_context io{1};
  ScriptedClock clock;
  net::UpstreamResources resources;
  std::string transcript;
  OutcomeRecorder outcomes{transcript};
  ScriptedServer server{io};
  std::unique_ptr<http1::Upstream> upstream =
      std::make_unique<http1::Upstream>(io, clock, resources, outcomes, "s-1");
  std::uint32_t next_attempt = 0;
};

inline constexpr Time kPastSettleTime = 20'000;  // microseconds; longer than the settle time of a connection

}  // namespace streampick::test
