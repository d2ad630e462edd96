// Digests of requests whose body is streamed or only partially written.
#include "http1/upstream_digest.h"

namespace streampick::test {
namespace {

// ---- Streamed and partially written requests

class UpstreamUploadDigest : public UpstreamDigest {
 protected:
  std::shared_ptr<engine::Message> upload(std::optional<std::uint64_t> length) {
    stream = std::make_shared<engine::BodyStream>(length, 64 * 1024);
    auto request = message(engine::Operation::write);
    request->upload = stream;
    return request;
  }
  std::shared_ptr<engine::BodyStream> stream;
};

TEST_F(UpstreamUploadDigest, CompleteUploads) {
  using State = engine::BodyStream::State;
  for (const bool with_length : {true, false}) {
    begin_section(with_length ? "with a length" : "chunked");
    send(upload(with_length ? std::optional<std::uint64_t>(12) : std::nullopt));
    stream->write("first ");
    expect_request(0);
    stream->write("second");
    settle();
    take_bytes(0);
    record_state();
    stream->end(State::complete);
    settle();
    take_bytes(0);
    record_state();
    peer(0).write(response(200, "stored"));
    expect_ended(next_attempt);
    clock.advance(kPastSettleTime);
  }
  expect_digest(0x5823694b17860c4f);
}

TEST_F(UpstreamUploadDigest, BrokenUploads) {
  using State = engine::BodyStream::State;
  begin_section("its client disconnects");
  send(upload(100));
  stream->write("half");
  expect_request(0);
  stream->end(State::truncated);
  expect_ended(1);
  record_state();
  begin_section("an early response");
  send(upload(100));
  stream->write("half");
  expect_request(1);
  peer(1).write(response(200, "early"));
  expect_ended(2);
  record_state();
  begin_section("closed while it waits for its client");
  send(upload(std::nullopt));
  stream->write("half");
  expect_request(2);
  peer(2).close();
  expect_ended(3);
  record_state();
  begin_section("cancelled while it waits for its client");
  const std::uint32_t attempt = send(upload(std::nullopt));
  stream->write("half");
  expect_request(3);
  upstream->cancel({1, attempt}, engine::CancelReason::no_longer_needed);
  stream->write("more");
  expect_closed(3);
  record_state();
  begin_section("truncated before its first part");
  send(upload(std::nullopt));
  stream->end(State::truncated);
  expect_ended(4);
  expect_digest(0x0aca8a09b9deaf74);
}

class UpstreamPartialWriteDigest : public UpstreamDigest {
 protected:
  /// Starts a write that exceeds the socket buffers, to a server that does not read.
  void begin(std::size_t index) {
    server.reads = false;
    auto request = message(engine::Operation::write);
    request->body.assign(32 * 1024 * 1024, 'x');
    send(request);
    ASSERT_TRUE(wait_for([&] { return server.peers.size() > index && peer(index).socket.available() > 0; }));
    settle();
  }
  void read_all(std::size_t index) {
    std::size_t got = 0;
    std::vector<char> sink(1024 * 1024);
    const std::size_t before = outcomes.ended;
    std::function<void()> next = [&] {
      peer(index).socket.async_read_some(asio::buffer(sink), [&](net::error_code error, std::size_t count) {
        got += count;
        if (!error) next();
      });
    };
    next();
    expect_ended(before + 1);
    settle();
    net::error_code ignored;
    peer(index).socket.cancel(ignored);
    settle();
    transcript += "read " + std::string(got > 32 * 1024 * 1024 ? "all" : "a part") + "\n";
  }
};

TEST_F(UpstreamPartialWriteDigest, EarlyResponseWaitsForTheRestOfTheRequest) {
  begin(0);
  peer(0).write(response(200, "early"));
  record_state();
  read_all(0);
  expect_digest(0x81063a04106611d1);
}

TEST_F(UpstreamPartialWriteDigest, RequestThatIsNeverComplete) {
  begin_section("closed");
  begin(0);
  reset(0);
  expect_ended(1);
  record_state();
  begin_section("its client disconnects");
  begin(1);
  outcomes.write_deadline = std::nullopt;
  read_all(1);
  outcomes.write_deadline = kNever;
  record_state();
  begin_section("cancelled");
  begin(2);
  upstream->cancel({1, 2}, engine::CancelReason::no_longer_needed);
  record_state();
  expect_digest(0xf38f8ee99d2fa1dc);
}

}  // namespace
}  // namespace streampick::test
