// Digests of how responses are read and streamed.
#include "http1/upstream_digest.h"

namespace streampick::test {
namespace {

// ---- Responses

struct ScriptedResponse {
  const char* name;
  std::vector<std::string> pieces;
  enum class End { keeps_open, closes, resets } end = End::keeps_open;
};

std::vector<std::string> bytewise(const std::string& text) {
  std::vector<std::string> pieces;
  for (const char byte : text) pieces.emplace_back(1, byte);
  return pieces;
}

class UpstreamResponseDigest : public UpstreamDigest {
 protected:
  void run(const std::vector<ScriptedResponse>& responses) {
    for (const ScriptedResponse& scripted : responses) {
      begin_section(scripted.name);
      const std::size_t connections = server.peers.size();
      const bool reused = resources.connections.open() > 0;
      send_read();
      const std::size_t index = reused ? connections - 1 : connections;
      expect_request(index);
      clock.advance(3'000);
      for (const std::string& piece : scripted.pieces) {
        peer(index).write(piece);
        if (scripted.pieces.size() > 1) settle();
      }
      settle();
      if (scripted.end == ScriptedResponse::End::closes) peer(index).close();
      if (scripted.end == ScriptedResponse::End::resets) reset(index);
      expect_ended(next_attempt);
      clock.advance(kPastSettleTime);
      record_state();
    }
  }
};

TEST_F(UpstreamResponseDigest, CompleteResponses) {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: a/b\r\n\r\n"
      "5\r\nabcde\r\n3;x=y\r\nfgh\r\n0\r\nX-Trailer: 1\r\n\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  using End = ScriptedResponse::End;
  run({
      {"length", {response(200, "whole", "Content-Type: image/x\r\n")}},
      {"length bytewise", bytewise("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab")},
      {"empty body", {response(200)}},
      {"chunked", {chunked}},
      {"chunked in pieces", {chunked.substr(0, 30), chunked.substr(30, 50), chunked.substr(80)}},
      {"miss", {response(404, "none")}},
      {"error", {response(500, "broken")}},
      {"invalid request", {response(400, "why")}},
      {"bare 503", {response(503)}},
      {"rejected 503", {response(503, "", "X-Turned-Away: 1\r\n")}},
      {"rejected 504", {response(504, "", "x-turned-away: 1\r\n")}},
      {"503 with another value", {response(503, "", "X-Turned-Away: 2\r\n")}},
      {"500 with the header", {response(500, "", "X-Turned-Away: 1\r\n")}},
      {"no content", {"HTTP/1.1 204 X\r\n\r\n"}},
      {"not modified", {"HTTP/1.1 304 X\r\n\r\n"}},
      {"redirect", {response(301)}},
      {"interim", {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 X\r\nLink: a\r\n\r\n", response(200, "y")}},
      {"interim together", {"HTTP/1.1 102 X\r\n\r\n" + response(200, "z")}},
      {"long body in memory", {ok + "Content-Length: 100000\r\n\r\n" + pattern(100'000)}},
      {"connection close", {ok + "Connection: close\r\nContent-Length: 1\r\n\r\nx"}},
      {"HTTP/1.0", {"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx"}},
      {"HTTP/1.0 keep-alive", {"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\nx"}},
      {"no length, closed", {ok + "\r\nuntil the end"}, End::closes},
      {"no length, empty", {ok + "\r\n"}, End::closes},
      {"error head, closed in its body", {"HTTP/1.1 500 X\r\nContent-Length: 9\r\n\r\nhalf"}, End::closes},
      {"miss without a length, closed", {"HTTP/1.1 404 X\r\n\r\nnone"}, End::closes},
  });
  expect_digest(0xf6e1a53f04f70f3a);
}

TEST_F(UpstreamResponseDigest, BrokenResponses) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  using End = ScriptedResponse::End;
  run({
      {"closed before", {}, End::closes},
      {"reset before", {}, End::resets},
      {"closed in the head", {"HTTP/1.1 200 OK\r\nConte"}, End::closes},
      {"reset in the head", {"HTTP/1.1 200 OK\r\nConte"}, End::resets},
      {"closed in the body", {ok + "Content-Length: 9\r\n\r\nhalf"}, End::closes},
      {"reset in the body", {ok + "Content-Length: 9\r\n\r\nhalf"}, End::resets},
      {"closed in a chunk", {ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nab"}, End::closes},
      {"reset between chunks", {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"}, End::resets},
      {"no length, reset", {ok + "\r\nhalf of"}, End::resets},
      {"error head, reset in its body", {"HTTP/1.1 500 X\r\nContent-Length: 9\r\n\r\nhalf"}, End::resets},
      {"interim, then closed", {"HTTP/1.1 103 X\r\n\r\n"}, End::closes},
  });
  expect_digest(0xbf1ec3aeab67bd1d);
}

TEST_F(UpstreamResponseDigest, MalformedResponses) {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  std::string interim;
  for (int i = 0; i < 17; ++i) interim += "HTTP/1.1 103 X\r\n\r\n";
  run({
      {"noise", {"\x8f\x01 noise \xff\r\n\r\n"}},
      {"another protocol", {"ICY 200 OK\r\nContent-Length: 1\r\n\r\nx"}},
      {"status not a number", {"HTTP/1.1 2x0 OK\r\nContent-Length: 1\r\n\r\nx"}},
      {"no colon", {ok + "no colon\r\nContent-Length: 1\r\n\r\nx"}},
      {"head too long", {ok + "X-Pad: " + std::string(20'000, 'p')}},
      {"too long", {ok + "Content-Length: 3000000000\r\n\r\n" + std::string(500, 'x')}},
      {"negative length", {ok + "Content-Length: -1\r\n\r\nx"}},
      {"length twice", {ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx"}},
      {"length list", {ok + "Content-Length: 1, 1\r\n\r\nx"}},
      {"length and chunked", {ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}},
      {"coding before chunked", {ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"}},
      {"chunked in HTTP/1.0", {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"}},
      {"bad chunk size", {ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\nzz\r\n"}},
      {"interim without end", {interim + response(200, "x")}},
      {"long body of no length", {ok + "\r\n" + pattern(70'000)}},
      {"long body for a client without streaming", {ok + "Content-Length: 1100000\r\n\r\nx"}},
  });
  resources.body_memory.set_limit(1'000);
  run({{"no memory for a long body", {ok + "Content-Length: 100000\r\n\r\nx"}}});
  expect_digest(0xfbea51adcd801f32);
}

// ---- Streamed responses

class UpstreamStreamDigest : public UpstreamDigest {
 protected:
  UpstreamStreamDigest() { resources.streaming.max_buffered_body = 64 * 1024; }
  std::shared_ptr<engine::Message> streaming() {
    auto request = message();
    request->accepts_streaming = true;
    return request;
  }
  static std::string head(std::size_t length) {
    return "HTTP/1.1 200 X\r\nContent-Type: image/x\r\nContent-Length: " + std::to_string(length) +
           "\r\n\r\n";
  }
  /// Reads the stream of the last answer until it ends or `until` bytes were read.
  void read_stream(std::size_t until = SIZE_MAX) {
    std::string part;
    ASSERT_TRUE(wait_for([&] {
      if (body.size() < until && outcomes.last.stream->read(part)) body += part;
      return body.size() >= until || outcomes.last.stream->state() != engine::BodyStream::State::open;
    })) << transcript;
  }
  void record_stream() {
    transcript += "stream " + printable(body) +
                  " state=" + std::to_string(static_cast<int>(outcomes.last.stream->state())) + "\n";
    body.clear();
    outcomes.last = {};
    record_state();
    clock.advance(kPastSettleTime);
  }
  std::string body;
};

TEST_F(UpstreamStreamDigest, CompleteStreams) {
  const std::string bytes = pattern(300'000);
  begin_section("with a length");
  send(streaming());
  expect_request(0);
  peer(0).write(head(bytes.size()) + bytes.substr(0, 40'000));
  expect_ended(1);
  read_stream(40'000);
  record_state();
  asio::async_write(peer(0).socket, asio::buffer(bytes.data() + 40'000, bytes.size() - 40'000),
                    [](net::error_code, std::size_t) {});
  read_stream();
  record_stream();
  begin_section("chunked");
  send(streaming());
  expect_request(0);
  const std::string chunk = "186a0\r\n" + bytes.substr(0, 100'000) + "\r\n";
  const std::string chunked =
      "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk + "0\r\n\r\n";
  asio::async_write(peer(0).socket, asio::buffer(chunked), [](net::error_code, std::size_t) {});
  expect_ended(2);
  read_stream();
  record_stream();
  begin_section("no length, closed");
  send(streaming());
  expect_request(0);
  const std::string unframed = "HTTP/1.1 200 X\r\n\r\n" + bytes;
  asio::async_write(peer(0).socket, asio::buffer(unframed),
                    [&](net::error_code, std::size_t) { peer(0).close(); });
  expect_ended(3);
  read_stream();
  record_stream();
  begin_section("short but slow");
  resources.streaming.max_buffered_body = 1'000'000;
  resources.streaming.max_buffering_time = 1'000;
  send(streaming());
  expect_request(1);
  peer(1).write(head(100'000) + bytes.substr(0, 1'000));
  expect_ended(4);
  read_stream(1'000);
  peer(1).write(bytes.substr(0, 99'000));
  read_stream();
  record_stream();
  expect_digest(0xf4c9e5531898021f);
}

TEST_F(UpstreamStreamDigest, TruncatedStreams) {
  const std::string bytes = pattern(100'000);
  const auto begin = [&](std::size_t index, const std::string& received) {
    send(streaming());
    expect_request(index);
    peer(index).write(received);
    expect_ended(next_attempt);
    read_stream(20'000);
    settle();
  };
  begin_section("closed");
  begin(0, head(200'000) + bytes.substr(0, 20'000));
  peer(0).close();
  read_stream();
  record_stream();
  begin_section("reset");
  begin(1, head(200'000) + bytes.substr(0, 20'000));
  reset(1);
  read_stream();
  record_stream();
  begin_section("bad chunk");
  begin(2, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + bytes);
  read_stream(100'000);
  peer(2).write("\r\nzz\r\n");
  read_stream();
  record_stream();
  begin_section("longer than the limit");
  resources.streaming.max_body = 150'000;
  begin(3, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + bytes);
  read_stream(100'000);
  peer(3).write("\r\n186a0\r\n" + bytes);
  read_stream();
  body.clear();
  record_stream();
  begin_section("its reader closes");
  begin(4, head(120'000) + bytes.substr(0, 20'000));
  record_state();
  outcomes.last = {};
  expect_closed(4);
  record_state();
  begin_section("idle connections are closed");
  begin(5, head(120'000) + bytes.substr(0, 20'000));
  upstream->close_idle(kNever);
  record_state();
  expect_digest(0xea34a8eb64d910dd);
}

TEST_F(UpstreamStreamDigest, LimitsOfStreams) {
  resources.streaming.max_body = 150'000;
  begin_section("too long");
  send(streaming());
  expect_request(0);
  peer(0).write(head(150'001));
  expect_ended(1);
  record_state();
  begin_section("no memory for its buffer");
  resources.body_memory.set_limit(60'000);
  send(streaming());
  expect_request(1);
  peer(1).write(head(100'000));
  expect_ended(2);
  record_state();
  begin_section("no memory for all of it, but for its buffer");
  resources.streaming.max_buffered_body = 1'000'000;
  resources.body_memory.set_limit(70'000);
  send(streaming());
  expect_request(2);
  peer(2).write(head(100'000) + pattern(100'000));
  expect_ended(3);
  read_stream();
  record_stream();
  begin_section("an error is never streamed");
  send(streaming());
  expect_request(2);
  peer(2).write("HTTP/1.1 500 X\r\nContent-Length: 100000\r\n\r\n");
  expect_ended(4);
  expect_digest(0x002e0df20d714eda);
}

TEST_F(UpstreamStreamDigest, ServerThatStallsInAStream) {
  send(streaming());
  expect_request(0);
  peer(0).write(head(100'000) + pattern(1'000));
  expect_ended(1);
  read_stream(1'000);
  clock.advance(5'000'000);
  read_stream();
  expect_closed(0);
  record_stream();
  expect_digest(0xdfb2b5faeb04aca9);
}

TEST_F(UpstreamStreamDigest, DestructionInEachState) {
  begin_section("idle, waiting for a response, draining, streaming");
  for (int i = 0; i < 4; ++i) send_read();
  for (std::size_t i = 0; i < 4; ++i) expect_request(i);
  clock.advance(10'000'000);
  for (std::size_t i = 0; i < 4; ++i) {
    peer(i).write(response(200, "x"));
    expect_ended(i + 1);
  }
  clock.advance(kPastSettleTime);
  send(streaming());
  expect_request(3);
  const std::uint32_t drained = send_read();
  expect_request(2);
  send_read();
  expect_request(1);
  upstream->cancel({1, drained}, engine::CancelReason::no_longer_needed);
  record_state();
  peer(3).write(head(100'000) + pattern(1'000));
  settle();
  record_state();
  upstream.reset();
  transcript += "connections=" + std::to_string(resources.connections.open()) +
                " draining=" + std::to_string(resources.drains.active) + "\n";
  record_stream();
  begin_section("connecting, with an outcome under way");
  upstream = std::make_unique<http1::Upstream>(io, clock, resources, outcomes, "s-1");
  upstream->set_address(server.address());
  send_read();
  send(message(engine::Operation::other_read));
  upstream.reset();
  expect_digest(0x6342b1ca4adc4818);
}

TEST_F(UpstreamStreamDigest, SlowReaderPausesTheServer) {
  const std::string bytes = pattern(8 << 20);
  const std::string answer = head(bytes.size()) + bytes;
  send(streaming());
  expect_request(0);
  asio::async_write(peer(0).socket, asio::buffer(answer), [](net::error_code, std::size_t) {});
  expect_ended(1);
  settle();
  settle();
  record_state();
  read_stream();
  EXPECT_TRUE(body == bytes);
  record_stream();
  expect_digest(0x46455a51109a5d3f);
}

}  // namespace
}  // namespace streampick::test
