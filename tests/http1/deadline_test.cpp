// X-Remaining towards a server is at most the time that the client has left when the request is written. The
// tests tolerate only the rounding to milliseconds.
#include <unistd.h>

#include "http1/one_server.h"
#include "raw_client.h"

namespace streampick::test {
namespace {

using Steady = std::chrono::steady_clock;

constexpr Time kRoundingUs = 1'000;

// X-Remaining of a request, in microseconds; -1: absent.
Time remaining_of(const std::string& request) {
  const std::size_t at = request.find("\r\nX-Remaining: ");
  if (at == std::string::npos) return -1;
  return static_cast<Time>(std::stod(request.substr(at + 15)) * 1e6);
}

class RemainingHeader : public Loopback {
 protected:
  Time time_since_sending() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(Steady::now() - sent_at_).count();
  }
  void ask(RawClient& http_client, const std::string& request) {
    sent_at_ = Steady::now();
    http_client.write(request);
  }
  Steady::time_point sent_at_;
};

TEST_F(RemainingHeader, HedgeAfterALoopDelay_CarriesTheTimeLeft) {
  FakeServer other(io);
  start(list_json(1, true,
                  {{"s-1", cache.address()}, {"s-2", other.address()}, {"s-o", origin.address(), "origin"}}));
  const auto all = [&] { return cache.requests.size() + other.requests.size(); };
  RawClient http_client(io, host->address());
  ask(http_client, request_text("GET", "/read/1", "read", "", "4.0"));
  ASSERT_TRUE(wait_for([&] { return all() == 1; }));
  const bool first_at_cache = !cache.requests.empty();
  EXPECT_LE(remaining_of(first_at_cache ? cache.requests[0] : other.requests[0]), 4'000'000);
  ::usleep(950'000);
  const Time elapsed = time_since_sending();
  ASSERT_TRUE(wait_for([&] { return all() == 2; }));
  const std::string& hedge = first_at_cache ? other.requests.at(0) : cache.requests.at(0);
  EXPECT_GT(remaining_of(hedge), 0);
  EXPECT_LE(remaining_of(hedge), 4'000'000 - elapsed + kRoundingUs);
}

TEST_F(RemainingHeader, RetryAfterALoopDelay_CarriesTheTimeLeft) {
  start();
  cache.answer = [&](const std::string&) {
    ::usleep(200'000);  // delays the event loop, which the router shares, before it reads the response
    return response(503, "", "X-Turned-Away: 1\r\n");
  };
  RawClient http_client(io, host->address());
  ask(http_client, request_text("GET", "/read/1", "read", "", "4.0"));
  Time elapsed = 0;
  ASSERT_TRUE(wait_for([&] {
    if (cache.requests.size() == 1 && elapsed == 0) elapsed = time_since_sending();
    return cache.requests.size() + origin.requests.size() >= 2;
  }));
  const std::string& retry = origin.requests.empty() ? cache.requests[1] : origin.requests[0];
  EXPECT_GE(elapsed, 200'000);
  EXPECT_LE(remaining_of(retry), 4'000'000 - elapsed + kRoundingUs);
}

// Guards against an answer after the client's deadline: the time of a request that was pipelined counts from
// its last byte, not from when the request before it was answered.
TEST_F(RemainingHeader, PipelinedRequest_CarriesTheTimeLeftSinceItsLastByte) {
  start();
  RawClient http_client(io, host->address());
  http_client.write(request_text("GET", "/read/1", "read"));
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  ask(http_client, request_text("GET", "/read/2", "read", "", "3.0"));
  quiet(800);
  const Time elapsed = time_since_sending();
  ASSERT_EQ(cache.requests.size(), 1U);
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 2; }));
  EXPECT_LE(remaining_of(cache.requests[1]), 3'000'000 - elapsed + kRoundingUs);
}

TEST_F(RemainingHeader, PipelinedRequestWhoseTimeIsOver_IsAnsweredAndNotSent) {
  start();
  const auto http_client = client();
  http_client->ask(request_text("GET", "/read/1", "read"));
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  http_client->ask(request_text("GET", "/read/2", "read", "", "0.5"));
  quiet(800);
  cache.peers[0]->write(response(200, "x"));
  ASSERT_TRUE(wait_for([&] { return http_client->answers.size() == 2; }));
  EXPECT_EQ(http_client->status(0), 200);
  EXPECT_NE(http_client->status(1), 200);
  EXPECT_EQ(cache.requests.size() + origin.requests.size(), 1U);
}

// The client's time counts from the last byte of its body, which a streamed upload has not sent yet.
TEST_F(RemainingHeader, Upload_CarriesAtMostTheClientsTime) {
  start();
  RawClient http_client(io, host->address());
  const std::string body(2'000'000, 'x');
  const std::string request = request_text("PUT", "/pay/1", "pay", body, "2.0");
  ask(http_client, request.substr(0, 200'000));
  ASSERT_TRUE(wait_for(
      [&] { return !origin.peers.empty() && origin.peers[0]->got.find("\r\n\r\n") != std::string::npos; }));
  EXPECT_GT(remaining_of(origin.peers[0]->got), 0);
  EXPECT_LE(remaining_of(origin.peers[0]->got), 2'000'000);
}

// Servers may drop a request that has little time left, without a response.
TEST_F(RemainingHeader, LittleTimeLeft_ClientIsAnsweredInTime) {
  start();
  for (const char* const remaining : {"0.000", "0.001", "0.010", "0.030", "0.100"}) {
    const auto http_client = client();
    const Time began = clock.now();
    http_client->ask(request_text("GET", "/read/1", "read", "", remaining));
    ASSERT_TRUE(wait_for([&] { return http_client->answers.size() == 1; })) << remaining;
    EXPECT_NE(http_client->status(), 200) << remaining;
    EXPECT_LT(clock.now() - began, static_cast<Time>(std::stod(remaining) * 1e6) + 500'000) << remaining;
  }
  EXPECT_EQ(host->counts().requests,
            host->counts().failed + host->counts().refused + host->counts().cancelled_by_client);
}

class UpstreamRemainingHeader : public SingleServerTest {
 protected:
  /// Serves one request, so that an idle connection is left.
  void warm_up() {
    cache.answer = [](const std::string&) { return response(200, "x"); };
    send(0);
    ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
    quiet(30);
  }
};

// The clock is read once for each batch of events. A delay within a batch makes that reading too old for
// X-Remaining.
TEST_F(UpstreamRemainingHeader, LoopDelayWithinABatch_TimeIsReadAgain) {
  warm_up();
  const Time expires = clock.now() + 2'000'000;
  ::usleep(300'000);
  upstream.send({1, 1}, message, expires, kNever);
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 2; }));
  EXPECT_LE(remaining_of(cache.requests[1]), 1'700'000 + kRoundingUs);
}

TEST_F(UpstreamRemainingHeader, ExpiredWithinABatch_IsNotSent) {
  warm_up();
  const Time now = clock.now();
  ::usleep(100'000);
  upstream.send({1, 1}, message, now + 80'000, kNever);
  upstream.send({1, 2}, message, now + 2'000'000, now + 80'000);
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 3; }));
  EXPECT_EQ(record.ended[1].second, Outcome::not_sent);
  EXPECT_EQ(record.ended[2].second, Outcome::not_sent);
  EXPECT_EQ(cache.requests.size(), 1U);
}

TEST_F(UpstreamRemainingHeader, ConnectionWait_IsSubtracted) {
  upstream.set_address(full.address());
  const Time expires = clock.now() + 4'000'000;
  upstream.send({1, 0}, message, expires, kNever);
  quiet(20);
  full.open();
  quiet(20);
  ::usleep(1'300'000);  // the kernel has sent another SYN
  const Time left = expires - clock.fresh();
  ASSERT_TRUE(wait_for([&] { return full.requests() == 1; }));
  for (const auto& peer : full.peers) {
    if (!peer->got.empty()) {
      EXPECT_LE(remaining_of(peer->got), left + kRoundingUs);
    }
  }
}

// The server reads nothing for a while, so the kernel accepts only a part of the request's head.
class PartiallyWrittenHead : public UpstreamRemainingHeader {
 protected:
  /// A head of this age states a time left that is too large: the attempt ends as not run.
  static constexpr Time kMaxHeadAge = 100'000;

  PartiallyWrittenHead() {
    message->target = "/read/" + std::string(8'000'000, 'x');
    upstream.set_address(text_of(slow_server.local_endpoint()));
    accept();
  }
  void accept() {
    peer.close();
    slow_server.async_accept(peer, [](net::error_code) {});
  }
  /// Reads until the head is complete or the connection ends. Returns whether the head was complete.
  bool read_head() {
    peer.non_blocking(true);
    std::vector<char> chunk(1'000'000);
    std::string last;
    bool ended = false;
    const bool done = wait_for([&] {
      net::error_code error;
      const std::size_t got = peer.read_some(asio::buffer(chunk), error);
      last =
          last.substr(last.size() - std::min<std::size_t>(last.size(), 3)) + std::string(chunk.data(), got);
      ended = error && error != asio::error::would_block;
      return ended || last.find("\r\n\r\n") != std::string::npos;
    });
    EXPECT_TRUE(done);
    return !ended;
  }
  net::tcp::acceptor slow_server{io, any_port()};
  net::tcp::socket peer{io};
};

TEST_F(PartiallyWrittenHead, RestFollowsSoon_IsWrittenCompletely) {
  constexpr std::uint32_t kMaxTrials = 100;
  for (std::uint32_t trial = 0; trial < kMaxTrials; ++trial) {
    const Time began = clock.fresh();
    send(trial);
    quiet(30);
    if (read_head()) {
      EXPECT_EQ(record.ended.size(), trial);
      return;
    }
    // Only a test that was itself too slow may find the attempt ended.
    ASSERT_GT(clock.fresh() - began, kMaxHeadAge);
    ASSERT_TRUE(wait_for([&] { return record.ended.size() == trial + 1; }));
    EXPECT_EQ(record.ended[trial].second, Outcome::connect_failed);
    accept();
  }
  FAIL() << "no trial was quick enough";
}

TEST_F(PartiallyWrittenHead, RestIsLate_AttemptEndsAsNotRun) {
  send(0);
  quiet(300);
  EXPECT_FALSE(read_head());
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::connect_failed);
}

// The client disconnects before the rest is written.
TEST_F(PartiallyWrittenHead, ClientDisconnects_AttemptEndsAsNotRun) {
  send(0);
  quiet(30);
  record.attempts_needed = false;
  EXPECT_FALSE(read_head());
  ASSERT_TRUE(wait_for([&] { return record.ended.size() == 1; }));
  EXPECT_EQ(record.ended[0].second, Outcome::connect_failed);
}

// The server stops reading in the middle of a request, and reads on when the window for repeats is over.
class PartiallyReadRepeat : public PartiallyWrittenHead {
 protected:
  static constexpr Time kWindow = 200'000;
  /// Fits into the kernel's buffer for sending, and not into the server's small one for receiving.
  static constexpr std::size_t kSmallBody = 100'000;
  /// Longer than both buffers together.
  static constexpr std::size_t kLongBody = 8'000'000;
  static constexpr int kSmallBuffer = 4'096;

  PartiallyReadRepeat() {
    message->target = "/save/1";
    message->operation = engine::Operation::write;
    // Connections that wait in the queue take the option over.
    slow_server.set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
  }
  /// Sends a repeat whose window ends in kWindow, lets the window pass, and returns how many bytes of the
  /// request the server can read then.
  std::size_t bytes_read_after_the_window(std::size_t body) {
    message->body.assign(body, 'x');
    send(0, clock.fresh() + kWindow);
    quiet(400);
    return bytes_read_until_the_end();
  }
  std::size_t bytes_read_until_the_end() {
    peer.non_blocking(true);
    std::vector<char> chunk(64'000);
    std::size_t total = 0;
    EXPECT_TRUE(wait_for([&] {
      net::error_code error;
      total += peer.read_some(asio::buffer(chunk), error);
      return error && error != asio::error::would_block;
    }));
    return total;
  }
};

// Guards against a repeat that goes on being written when the server has forgotten the first attempt.
TEST_F(PartiallyReadRepeat, WindowEndsBeforeTheLastByteIsWritten_RestIsNotSent) {
  EXPECT_LT(bytes_read_after_the_window(kLongBody), kLongBody);
  ASSERT_EQ(record.ended.size(), 1U);
  EXPECT_EQ(record.ended[0].second, Outcome::connect_failed);
}

// Guards against the kernel delivering the rest of a repeat after its window.
TEST_F(PartiallyReadRepeat, WindowEndsBeforeTheLastByteIsDelivered_RestIsNotDelivered) {
  EXPECT_LT(bytes_read_after_the_window(kSmallBody), kSmallBody);
  ASSERT_EQ(record.ended.size(), 1U);
  EXPECT_EQ(record.ended[0].second, Outcome::reset);
}

// Guards against the kernel delivering the rest of a request that was given up.
TEST_F(PartiallyReadRepeat, AttemptIsCancelledBeforeTheLastByteIsDelivered_RestIsNotDelivered) {
  message->body.assign(kSmallBody, 'x');
  send(0);
  quiet(50);
  upstream.cancel({1, 0}, engine::CancelReason::timed_out);
  EXPECT_LT(bytes_read_until_the_end(), kSmallBody);
}

}  // namespace
}  // namespace streampick::test
