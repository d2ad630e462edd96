// Streamed responses, and the connections of cancelled attempts, over loopback sockets.
#include "http1/client_backlog.h"
#include "http1/read_ahead_buffer.h"
#include "http1/reuse_rules.h"
#include "loopback.h"

namespace streampick::test {
namespace {

TEST(ReadAheadBuffer, BytesOfManyPieces_ArrivedNoLaterThanTheirOwnPiece) {
  http1::ReadAheadBuffer buffer;
  net::MemoryBudget memory;
  constexpr Time kPieces = 200;
  for (Time piece = 1; piece <= kPieces; ++piece) buffer.append_pipelined("12345", piece, memory);
  EXPECT_EQ(buffer.arrived_at(1), 1);
  EXPECT_EQ(buffer.arrived_at(5), 1);
  EXPECT_EQ(buffer.arrived_at(6), 2);
  for (std::size_t count = 1; count <= buffer.size(); ++count) {
    const Time own_piece = static_cast<Time>((count + 4) / 5);
    ASSERT_LE(buffer.arrived_at(count), own_piece) << count;
    ASSERT_GT(buffer.arrived_at(count), 0) << count;
  }
  buffer.consume(7);
  EXPECT_EQ(buffer.arrived_at(1), 2);
  EXPECT_EQ(buffer.arrived_at(4), 3);
  buffer.consume(buffer.size());
  buffer.append("1", kPieces + 1);
  EXPECT_EQ(buffer.arrived_at(1), kPieces + 1);
}

// Guards against late bytes of a paused upload that count as sent when they are read.
TEST(ClientBacklog, AfterAPause_IsDrainedOnceTheSocketWasEmptyForAWhile) {
  constexpr Time kMillisecond = 1'000;
  http1::ClientBacklog backlog;
  EXPECT_TRUE(backlog.is_drained());  // nothing was paused
  backlog.on_resumed(5 * kMillisecond);
  EXPECT_FALSE(backlog.is_drained());
  backlog.on_empty_socket(5 * kMillisecond);
  EXPECT_TRUE(backlog.is_drained());
  backlog.on_resumed(3'000 * kMillisecond);
  backlog.on_empty_socket(3'000 * kMillisecond);  // one event, perhaps of an event loop that was held up
  EXPECT_FALSE(backlog.is_drained());
  for (int piece = 0; piece < 20; ++piece) backlog.on_empty_socket(10 * kMillisecond);
  EXPECT_TRUE(backlog.is_drained());
}

class ResponseStreaming : public Loopback {
 protected:
  void begin(std::size_t max_buffered = 64 * 1024, std::uint64_t max_response = 64 << 20) {
    settings = platform::parse_settings(
        config_json(
            text_of(discovery.local_endpoint()),
            list_json(1, true, {{"s-cache", cache.address()}, {"s-origin", origin.address(), "origin"}}))
            .dump());
    settings.overload.max_buffered_response = max_buffered;
    settings.overload.max_response = max_response;
    host = std::make_unique<daemon::Host>(io, clock, settings);
  }
  std::string head(std::size_t length) {
    return "HTTP/1.1 200 X\r\nContent-Type: image/x\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n";
  }
  // Connects a client and sends `text`. The client reads only in read_to_end().
  net::tcp::socket connect_and_send(const std::string& text) {
    net::tcp::socket socket(io);
    socket.connect(host->address());
    asio::write(socket, asio::buffer(text));
    return socket;
  }
  // Returns everything that the client receives until its connection ends.
  std::string read_to_end(net::tcp::socket& socket) {
    std::string out;
    std::array<char, 65536> chunk{};
    bool ended = false;
    std::function<void()> next = [&] {
      socket.async_read_some(asio::buffer(chunk), [&](net::error_code error, std::size_t got) {
        out.append(chunk.data(), got);
        error ? void(ended = true) : next();
      });
    };
    next();
    EXPECT_TRUE(wait_for([&] { return ended; }));
    return out;
  }
  // A read after whose response the router closes the connection, so that a test can wait for the end.
  static std::string closing_read_request() {
    return request_text("GET", "/read/7f3a9c21e0b4d655", "read", "", "8.0", "Connection: close\r\n");
  }
  const net::StreamCounts& streams() { return host->upstream_resources().streams; }
};

TEST_F(ResponseStreaming, LongResponse_IsForwardedWhileItArrives) {
  begin();
  const std::string body = pattern(300'000);
  const auto http_client = client();
  http_client->ask(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  cache.peers[0]->write(head(body.size()) + body.substr(0, 70'000));
  ASSERT_TRUE(wait_for([&] { return http_client->peer->got.size() > 70'000; }));
  EXPECT_TRUE(http_client->answers.empty());
  EXPECT_EQ(host->counts().served, 1U);
  cache.peers[0]->write(body.substr(70'000));
  ASSERT_TRUE(wait_for([&] { return http_client->answers.size() == 1; }));
  EXPECT_EQ(http_client->body(), body);
  EXPECT_NE(http_client->answers[0].find("Content-Type: image/x"), std::string::npos);
  EXPECT_EQ(streams().open, 0U);
  EXPECT_EQ(host->upstream_resources().body_memory.reserved(), 0U);
  // The client's and the server's connection are used again, the latter once it has settled.
  quiet(2 * static_cast<int>(http1::kSettleTime / 1'000));
  cache.answer = [](const std::string&) { return response(200, "small"); };
  http_client->ask(a_read());
  ASSERT_TRUE(wait_for([&] { return http_client->answers.size() == 2; }));
  EXPECT_EQ(http_client->body(1), "small");
  EXPECT_EQ(cache.peers.size(), 1U);
}

// The response is short enough to be buffered, but arrives slowly: the client receives the first bytes early.
TEST_F(ResponseStreaming, SlowMediumResponse_IsForwardedWhileItArrives) {
  start();
  const std::string body = pattern(300'000);
  const auto http_client = client();
  http_client->ask(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  cache.peers[0]->write(head(body.size()) + body.substr(0, 1'000));
  ASSERT_TRUE(wait_for([&] { return http_client->peer->got.size() > 1'000; }));
  EXPECT_TRUE(http_client->answers.empty());
  cache.peers[0]->write(body.substr(1'000));
  ASSERT_TRUE(wait_for([&] { return http_client->answers.size() == 1; }));
  EXPECT_EQ(http_client->body(), body);
}

TEST_F(ResponseStreaming, ResponseOf32MiB_IsForwardedCompletely) {
  start();
  const std::string body = pattern(32 << 20);
  net::tcp::socket http_client = connect_and_send(closing_read_request());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  const std::string answer = head(body.size()) + body;
  asio::async_write(cache.peers[0]->socket, asio::buffer(answer), [](net::error_code, std::size_t) {});
  const std::string got = read_to_end(http_client);
  EXPECT_TRUE(got.substr(got.find("\r\n\r\n") + 4) == body);
  EXPECT_EQ(host->upstream_resources().body_memory.reserved(), 0U);
}

TEST_F(ResponseStreaming, LongUnframedResponse_IsCompleteOnlyIfConnectionCloses) {
  start();
  const std::string body = pattern(200'000);
  for (const bool reset : {false, true}) {
    const auto http_client = client();
    http_client->ask(closing_read_request());
    ASSERT_TRUE(wait_for([&] { return cache.requests.size() == (reset ? 2U : 1U); }));
    Peer& peer = *cache.peers.back();
    peer.write("HTTP/1.1 200 X\r\n\r\n" + body);
    ASSERT_TRUE(wait_for([&] { return http_client->peer->got.size() > body.size(); }));
    if (reset) peer.socket.set_option(asio::socket_base::linger(true, 0));
    peer.close();
    ASSERT_TRUE(wait_for([&] { return http_client->peer->ended; }));
    const bool last_chunk =
        http_client->peer->got.find("\r\n0\r\n\r\n") != std::string::npos || http_client->answers.size() > 1;
    EXPECT_EQ(last_chunk, !reset);
  }
  EXPECT_EQ(streams().truncated, 1U);
}

// The end of the connection marks the end of each response. Complete responses are forwarded, whatever their
// size and however many others are reset; a response that was reset is never served as complete.
TEST_F(ResponseStreaming, CompleteUnframedResponses_AreForwarded) {
  begin();
  const std::string open_head = "HTTP/1.1 200 X\r\n\r\n";
  std::size_t whole = 0, forwarded = 0;
  for (std::size_t i = 0; i < 40; ++i) {
    const bool reset = i % 4 == 3;
    const std::string body = pattern(i % 2 == 0 ? 500 + i : 100'000 + i);
    cache.answer = origin.answer = {};
    const std::size_t before = cache.requests.size() + origin.requests.size();
    const auto http_client = client();
    http_client->ask(
        request_text("GET", "/read/" + std::to_string(i), "read", "", "2.0", "Connection: close\r\n"));
    ASSERT_TRUE(wait_for([&] { return cache.requests.size() + origin.requests.size() > before; })) << i;
    // A retry, if there is one, is answered at once.
    cache.answer = origin.answer = [](const std::string&) { return response(500); };
    Peer& peer =
        cache.peers.empty() || cache.peers.back()->ended ? *origin.peers.back() : *cache.peers.back();
    peer.write(open_head + body);
    quiet(10);
    if (reset) peer.socket.set_option(asio::socket_base::linger(true, 0));
    peer.close();
    ASSERT_TRUE(wait_for([&] { return http_client->peer->ended; })) << i;
    const std::string& got = http_client->answers.empty() ? http_client->peer->got : http_client->answers[0];
    const bool in_chunks = got.find("Transfer-Encoding: chunked") != std::string::npos;
    const bool ends = in_chunks ? http_client->peer->got.find("\r\n0\r\n\r\n") != std::string::npos
                                : !http_client->answers.empty();
    const bool served = ends && got.rfind("HTTP/1.1 200", 0) == 0;
    EXPECT_FALSE(reset && served) << i;
    if (reset) continue;
    ++whole;
    forwarded += served ? 1U : 0U;
  }
  EXPECT_EQ(whole, 30U);
  EXPECT_GE(forwarded * 2, whole);
  RecordProperty("forwarded", static_cast<int>(forwarded));
}

TEST_F(ResponseStreaming, SlowClient_PausesServerWithBoundedBuffer) {
  begin();
  const std::string body = pattern(48 << 20);
  net::tcp::socket slow = connect_and_send(closing_read_request());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  const std::string answer = head(body.size()) + body;
  std::size_t written = 0;
  std::function<void()> more = [&] {
    if (written == answer.size()) return;
    const std::size_t part = std::min<std::size_t>(answer.size() - written, 65'536);
    cache.peers[0]->socket.async_write_some(asio::buffer(answer.data() + written, part),
                                            [&](net::error_code error, std::size_t took) {
                                              written += took;
                                              if (!error) more();
                                            });
  };
  more();
  // Until no byte is written any more: the kernel's buffers on both sides are full.
  for (std::size_t before = 1; before != written;) {
    before = written;
    quiet(200);
  }
  EXPECT_LT(written, answer.size());
  EXPECT_EQ(host->upstream_resources().body_memory.reserved(), 64U * 1024);
  const std::string got = read_to_end(slow);
  ASSERT_EQ(got.size() - got.find("\r\n\r\n") - 4, body.size());
  EXPECT_TRUE(got.substr(got.find("\r\n\r\n") + 4) == body);
  EXPECT_EQ(host->upstream_resources().body_memory.reserved(), 0U);
}

TEST_F(ResponseStreaming, ResponseBrokenMidway_IsTruncatedAndNotRetried) {
  begin();
  net::tcp::socket http_client = connect_and_send(closing_read_request());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  cache.peers[0]->write(head(200'000) + pattern(100'000));
  ASSERT_TRUE(wait_for([&] { return streams().started == 1; }));
  cache.peers[0]->close();
  const std::string got = read_to_end(http_client);
  EXPECT_LT(got.size(), 200'000U);
  EXPECT_EQ(streams().truncated, 1U);
  EXPECT_EQ(streams().open, 0U);
  EXPECT_EQ(cache.requests.size(), 1U);
  EXPECT_TRUE(origin.requests.empty());
  EXPECT_EQ(host->counts().served + host->counts().failed + host->counts().refused, 1U);
}

TEST_F(ResponseStreaming, ChunkedResponse_IsForwardedInChunksAndTruncationOmitsTheLast) {
  begin();
  for (const bool cut : {false, true}) {
    net::tcp::socket http_client = connect_and_send(closing_read_request());
    ASSERT_TRUE(wait_for([&] { return cache.requests.size() == (cut ? 2U : 1U); }));
    const std::string body = pattern(100'000);
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    auto& peer = *cache.peers.back();
    peer.write(std::string("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n") + size + body + "\r\n");
    if (!cut) peer.write("0\r\n\r\n");
    if (cut) {
      ASSERT_TRUE(wait_for([&] { return streams().started == 2; }));
      peer.close();
    }
    const std::string got = read_to_end(http_client);
    EXPECT_NE(got.find("Transfer-Encoding: chunked"), std::string::npos);
    const bool whole = got.size() > 7 && got.substr(got.size() - 7) == "\r\n0\r\n\r\n";
    EXPECT_EQ(whole, !cut);
  }
  EXPECT_EQ(streams().truncated, 1U);
}

TEST_F(ResponseStreaming, ClientDisconnectsMidway_ServerConnectionIsClosed) {
  begin();
  net::tcp::socket http_client = connect_and_send(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  cache.peers[0]->write(head(1 << 20) + pattern(100'000));
  ASSERT_TRUE(wait_for([&] { return streams().started == 1; }));
  http_client.close();
  ASSERT_TRUE(wait_for([&] { return cache.open() == 0 && streams().open == 0; }));
  EXPECT_EQ(streams().abandoned, 1U);
  EXPECT_EQ(host->upstream_resources().connections.open(), 0U);
  EXPECT_EQ(host->upstream_resources().body_memory.reserved(), 0U);
}

TEST_F(ResponseStreaming, ServerLeavesListMidway_ResponseIsCompleted) {
  begin();
  accept_watch();
  begin_watch();
  const std::string body = pattern(200'000);
  const auto http_client = client();
  http_client->ask(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
  cache.peers[0]->write(head(body.size()) + body.substr(0, 100'000));
  ASSERT_TRUE(wait_for([&] { return streams().started == 1; }));
  chunk(list_json(2, false, {{"s-cache", cache.address(), "box", "terminated"}}).dump() + "\n");
  quiet(1'500);  // longer than the one-second interval at which the router removes servers that left
  cache.peers[0]->write(body.substr(100'000));
  ASSERT_TRUE(wait_for([&] { return http_client->answers.size() == 1; }));
  EXPECT_EQ(http_client->body(), body);
}

TEST_F(ResponseStreaming, OverlongResponse_IsMalformedAndOneWithoutMemoryIsStreamed) {
  begin(1 << 20, 1 << 20);
  cache.answer = [&](const std::string&) { return head(2 << 20) + "x"; };
  const auto http_client = client();
  http_client->ask(request_text("GET", "/read/1", "read", "", "0.8"));
  ASSERT_TRUE(wait_for([&] { return http_client->answers.size() == 1; }));
  EXPECT_NE(http_client->status(), 200);
  EXPECT_GT(host->counts().outcomes[static_cast<std::size_t>(Outcome::malformed)], 0U);
  const std::string body = pattern(500'000);
  cache.answer = [&](const std::string&) { return response(200, body); };
  // Enough for the stream's buffer, not for the whole body.
  host->upstream_resources().body_memory.set_limit(100'000);
  http_client->ask(a_read());
  ASSERT_TRUE(wait_for([&] { return http_client->answers.size() == 2; }));
  EXPECT_EQ(http_client->body(1), body);
  EXPECT_EQ(streams().started, 1U);
}

// ---- Connections of cancelled attempts

class CancelledAttempt : public Loopback {
 protected:
  // Serves one read, so that the server's average response time is known, and disconnects the client of a
  // second one. `response_time_ms` is the response time of the first read.
  void cancel_by_disconnect(int response_time_ms) {
    start();
    const auto first = client();
    first->ask(a_read());
    ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 1; }));
    quiet(response_time_ms);
    cache.peers[0]->write(response(200, "x"));
    ASSERT_TRUE(wait_for([&] { return first->answers.size() == 1; }));
    quiet(30);  // the connection to the server has settled
    {
      const auto gone = client();
      gone->ask(a_read());
      ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 2; }));
    }
    ASSERT_TRUE(wait_for([&] { return host->counts().cancelled_by_client == 1; }));
  }
};

TEST_F(CancelledAttempt, DrainedResponseArrives_ConnectionIsUsedAgain) {
  cancel_by_disconnect(50);
  EXPECT_EQ(host->upstream_resources().drains.active, 1U);
  EXPECT_EQ(host->upstream_resources().drains.started, 1U);
  cache.peers[0]->write(response(200, "nobody's"));
  ASSERT_TRUE(wait_for([&] { return host->upstream_resources().drains.reused == 1; }));
  quiet(30);
  const auto next = client();
  next->ask(a_read());
  ASSERT_TRUE(wait_for([&] { return cache.requests.size() == 3; }));
  cache.peers[0]->write(response(200, "mine"));
  ASSERT_TRUE(wait_for([&] { return next->answers.size() == 1; }));
  EXPECT_EQ(next->body(), "mine");
  EXPECT_EQ(cache.peers.size(), 1U);
  EXPECT_EQ(host->counts().served, 2U);
}

TEST_F(CancelledAttempt, DrainedResponseIsLate_ConnectionIsClosed) {
  cancel_by_disconnect(20);
  ASSERT_TRUE(wait_for([&] { return cache.open() == 0; }));
  EXPECT_EQ(host->upstream_resources().drains.active, 0U);
  EXPECT_EQ(host->upstream_resources().drains.reused, 0U);
  EXPECT_EQ(host->upstream_resources().connections.open(), 0U);
}

TEST_F(CancelledAttempt, DescriptorNeeded_DrainingConnectionIsEvicted) {
  cancel_by_disconnect(200);
  ASSERT_EQ(host->upstream_resources().drains.active, 1U);
  host->upstream_resources().evict_idle_connection();
  EXPECT_EQ(host->upstream_resources().drains.active, 0U);
  ASSERT_TRUE(wait_for([&] { return cache.open() == 0; }));
}

}  // namespace
}  // namespace streampick::test
