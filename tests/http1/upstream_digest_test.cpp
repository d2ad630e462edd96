// Digests of requests, of the reuse of connections, of cancellation and of connections that are established
// late.
#include "http1/upstream_digest.h"

namespace streampick::test {
namespace {

// ---- Requests

TEST_F(UpstreamDigest, RequestsOfEachForm) {
  const auto exchange = [&](std::shared_ptr<engine::Message> request, Time within) {
    send(std::move(request), within);
    expect_request(0);
    peer(0).write(response(200, "x"));
    expect_ended(next_attempt);
    clock.advance(kPastSettleTime);
  };
  exchange(message(), 8'000'000);
  exchange(message(), 1'499);
  exchange(message(), 1'234'567);
  auto with_key = message();
  with_key->idempotency_key = "order-17";
  with_key->content_type = "text/plain";
  exchange(with_key, 500'000);
  auto with_body = message();
  with_body->body = "query";
  exchange(with_body, 500'000);
  auto write = message(engine::Operation::write);
  write->target = "/save/1";
  write->idempotency_key = "k";
  write->content_type = "application/json";
  write->body = "{\"a\":1}";
  exchange(write, 2'000'000);
  exchange(message(engine::Operation::write), 2'000'000);
  auto long_write = message(engine::Operation::write);
  long_write->body = pattern(200'000);
  exchange(long_write, 2'000'000);
  send(message(engine::Operation::other_read));
  send(message(engine::Operation::other_write));
  expect_ended(next_attempt);
  expect_digest(0x233c4561bb5e1e25);
}

TEST_F(UpstreamDigest, DeadlinesBeforeTheFirstByte) {
  serve_read(0, 1'000);
  clock.advance(kPastSettleTime);
  begin_section("a lower deadline from the observer");
  outcomes.write_deadline = clock.now() + 1'500'000;
  send_read();
  expect_request(0);
  peer(0).write(response(200, "x"));
  expect_ended(2);
  clock.advance(kPastSettleTime);
  begin_section("an expired, a begun too late and a cancelled one");
  outcomes.write_deadline = kNever;
  send(message(), 0);
  expect_ended(3);
  send(message(), 8'000'000, clock.now());
  expect_ended(4);
  outcomes.write_deadline = std::nullopt;
  send_read();
  expect_ended(5);
  outcomes.write_deadline = clock.now();
  send_read();
  expect_ended(6);
  begin_section("a draining server");
  outcomes.write_deadline = kNever;
  upstream->stop_sending_at(clock.now() + 1'000);
  send_read();
  expect_request(0);
  clock.advance(2'000);
  peer(0).write(response(200, "x"));
  expect_ended(7);
  expect_digest(0x97dbf019604b1432);
}

// ---- Bytes that belong to no request, and reuse

TEST_F(UpstreamDigest, BytesAfterAResponse) {
  begin_section("together with it");
  send_read();
  expect_request(0);
  peer(0).write(response(200, "first") + response(200, "stray"));
  expect_ended(1);
  record_state();
  begin_section("before the connection is looked at");
  serve_read(1, 3'000);
  peer(1).write(response(200, "stray"));
  clock.advance(kPastSettleTime);
  send_read();
  expect_request(2);
  peer(2).write(response(200, "second"));
  expect_ended(3);
  record_state();
  begin_section("while a read of an idle connection is registered");
  clock.advance(2'000'000);
  upstream->close_idle(clock.now() - 10'000'000);
  peer(2).write("stray");
  expect_closed(2);
  record_state();
  begin_section("closed while idle, before it is looked at");
  serve_read(3, 3'000);
  peer(3).close();
  clock.advance(kPastSettleTime);
  send_read();
  expect_request(4);
  peer(4).write(response(200, "third"));
  expect_ended(5);
  record_state();
  begin_section("closed while the next request is written");
  clock.advance(kPastSettleTime);
  send_read();
  peer(4).close();
  expect_ended(6);
  expect_digest(0x521a13baac28fe30);
}

TEST_F(UpstreamDigest, ResponsesTooSoonAfterAnother) {
  serve_read(0, 1'000'000);
  begin_section("a repeatable read need not wait for a slow server's connection");
  auto repeatable = message();
  repeatable->repeatable = true;
  clock.advance(1'000);
  send(repeatable);
  expect_request(0);
  clock.advance(1'000);
  peer(0).write(response(200, "stray"));
  expect_ended(2);
  record_state();
  begin_section("its own response, later");
  serve_read(1, 1'000'000);
  clock.advance(1'000);
  send(repeatable);
  expect_request(1);
  clock.advance(15'000);
  peer(1).write(response(200, "own"));
  expect_ended(4);
  begin_section("one that may not be repeated waits, then a new connection is not needed");
  clock.advance(1'000);
  send_read();
  record_state();
  clock.advance(kPastSettleTime);
  expect_request(1);
  peer(1).write(response(200, "again"));
  expect_ended(5);
  expect_digest(0x61df70d1262bad0b);
}

TEST_F(UpstreamDigest, ConnectionsOfAFastServer) {
  for (int i = 0; i < 4; ++i) {
    const std::size_t ended = outcomes.ended;
    send_read();
    ASSERT_TRUE(wait_for([&] {
      return std::any_of(server.peers.begin(), server.peers.end(),
                         [](const auto& accepted) { return !accepted->got.empty(); });
    }));
    settle();
    for (std::size_t index = 0; index < server.peers.size(); ++index) {
      if (peer(index).got.empty()) continue;
      take_bytes(index);
      clock.advance(500);
      peer(index).write(response(200, std::to_string(index)));
    }
    expect_ended(ended + 1);
    record_state();
  }
  expect_digest(0xaffc08fcadc7953b);
}

TEST_F(UpstreamDigest, TheLastUsedConnectionIsUsedNext) {
  for (int i = 0; i < 3; ++i) send_read();
  for (std::size_t i = 0; i < 3; ++i) expect_request(i);
  for (const std::size_t index : {1, 0, 2}) {
    clock.advance(1'000);
    peer(index).write(response(200, std::to_string(index)));
    expect_ended(outcomes.ended + 1);
  }
  clock.advance(kPastSettleTime);
  send_read();
  expect_request(2);
  send_read();
  expect_request(0);
  peer(2).write(response(200, "a"));
  expect_ended(4);
  clock.advance(1'000);
  peer(0).write(response(200, "b"));
  expect_ended(5);
  record_state();
  begin_section("idle connections are closed, oldest first");
  transcript += upstream->close_oldest_idle() ? "closed\n" : "none\n";
  record_state();
  upstream->close_idle(clock.now() - 1'000);
  record_state();
  upstream->close_idle(kNever);
  record_state();
  transcript += upstream->close_oldest_idle() ? "closed\n" : "none\n";
  expect_digest(0xb44c97fee02b74a1);
}

TEST_F(UpstreamDigest, NoDescriptors) {
  resources.connections.set_limit(1);
  send_read();
  send_read();
  send_read();
  expect_ended(2);
  expect_request(0);
  record_state();
  peer(0).write(response(200, "x"));
  expect_ended(3);
  begin_section("waits for the only connection");
  send_read();
  record_state();
  clock.advance(kPastSettleTime);
  expect_request(0);
  peer(0).close();
  expect_ended(4);
  begin_section("evicted");
  serve_read(1, 1'000);
  resources.evict_idle_connection = [&] { upstream->close_oldest_idle(); };
  send_read();
  send_read();
  expect_ended(6);
  record_state();
  expect_digest(0xf7bbf9447f109b9f);
}

// ---- Cancellation

TEST_F(UpstreamDigest, CancelledBeforeItsConnection) {
  const std::uint32_t attempt = send_read();
  transcript += upstream->cancel_unsent({1, attempt}) ? "cancelled\n" : "not cancelled\n";
  transcript += upstream->cancel_unsent({1, attempt}) ? "cancelled\n" : "not cancelled\n";
  ASSERT_TRUE(wait_for([&] { return server.peers.size() == 1; }));
  record_state();
  send_read();
  expect_request(0);
  transcript += upstream->cancel_unsent({1, 1}) ? "cancelled\n" : "not cancelled\n";
  peer(0).write(response(200, "x"));
  expect_ended(1);
  const std::uint32_t waiting = send_read();
  upstream->cancel({1, waiting}, engine::CancelReason::timed_out);
  upstream->cancel({1, 99}, engine::CancelReason::timed_out);
  expect_digest(0xe74daec34b8c5fe8);
}

TEST_F(UpstreamDigest, HedgeLosersAreDrainedAndTheirConnectionUsedAgain) {
  serve_read(0, 10'000'000);
  clock.advance(kPastSettleTime);
  for (const std::string& received : {std::string(), std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n"),
                                      std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal")}) {
    begin_section("after " + std::to_string(received.size()) + " bytes of its response");
    const std::uint32_t attempt = send_read();
    expect_request(0);
    if (!received.empty()) peer(0).write(received);
    settle();
    upstream->cancel({1, attempt}, engine::CancelReason::no_longer_needed);
    record_state();
    peer(0).write(
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf none").substr(received.size()));
    ASSERT_TRUE(wait_for([&] { return resources.drains.active == 0; }));
    record_state();
    clock.advance(kPastSettleTime);
  }
  serve_read(0, 10'000'000);
  clock.advance(kPastSettleTime);
  begin_section("a long body");
  const std::uint32_t attempt = send_read();
  expect_request(0);
  upstream->cancel({1, attempt}, engine::CancelReason::no_longer_needed);
  peer(0).write("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + pattern(300'000));
  ASSERT_TRUE(wait_for([&] { return resources.drains.active == 0; }));
  clock.advance(kPastSettleTime);
  serve_read(0, 10'000'000);
  expect_digest(0x3aaf3a35533714ac);
}

TEST_F(UpstreamDigest, DrainedConnectionsThatAreClosed) {
  const auto cancelled_on = [&](std::size_t index) {
    serve_read(index, 10'000'000);
    clock.advance(kPastSettleTime);
    const std::uint32_t attempt = send_read();
    expect_request(index);
    upstream->cancel({1, attempt}, engine::CancelReason::no_longer_needed);
    record_state();
  };
  begin_section("reset");
  cancelled_on(0);
  reset(0);
  ASSERT_TRUE(wait_for([&] { return resources.drains.active == 0; }));
  record_state();
  begin_section("malformed");
  cancelled_on(1);
  peer(1).write("noise\r\n\r\n");
  ASSERT_TRUE(wait_for([&] { return resources.drains.active == 0; }));
  record_state();
  begin_section("closing response");
  cancelled_on(2);
  peer(2).write(response(200, "x", "Connection: close\r\n"));
  ASSERT_TRUE(wait_for([&] { return resources.drains.active == 0; }));
  record_state();
  begin_section("evicted");
  cancelled_on(3);
  transcript += upstream->close_oldest_idle() ? "closed\n" : "none\n";
  record_state();
  begin_section("address changed");
  cancelled_on(4);
  upstream->set_address("127.0.0.1:1");
  record_state();
  upstream->set_address(server.address());
  begin_section("server draining");
  serve_read(5, 10'000'000);
  clock.advance(kPastSettleTime);
  const std::uint32_t attempt = send_read();
  expect_request(5);
  upstream->stop_sending_at(clock.now());
  upstream->cancel({1, attempt}, engine::CancelReason::no_longer_needed);
  expect_closed(5);
  expect_digest(0x6f4bd27bcfe82cd9);
}

TEST_F(UpstreamDigest, DrainThatLastsTooLong) {
  serve_read(0, 5'000);
  clock.advance(kPastSettleTime);
  const std::uint32_t attempt = send_read();
  expect_request(0);
  upstream->cancel({1, attempt}, engine::CancelReason::no_longer_needed);
  transcript += "draining=" + std::to_string(resources.drains.active) + "\n";
  expect_closed(0);
  record_state();
  begin_section("waited too long already");
  serve_read(1, 5'000);
  clock.advance(kPastSettleTime);
  const std::uint32_t late = send_read();
  expect_request(1);
  clock.advance(1'000'000);
  upstream->cancel({1, late}, engine::CancelReason::no_longer_needed);
  expect_closed(1);
  expect_digest(0x0e2eea959ac78fe0);
}

TEST_F(UpstreamDigest, CancelledAttemptsWhoseConnectionsAreClosed) {
  begin_section("a silent one closes the idle ones not heard on since");
  for (int i = 0; i < 3; ++i) send_read();
  for (std::size_t i = 0; i < 3; ++i) expect_request(i);
  for (std::size_t i = 0; i < 3; ++i) peer(i).write(response(200, "x"));
  expect_ended(3);
  clock.advance(kPastSettleTime);
  const std::uint32_t silent = send_read();
  settle();
  clock.advance(5'000'000);
  upstream->cancel({1, silent}, engine::CancelReason::timed_out);
  for (std::size_t i = 0; i < 3; ++i) expect_closed(i);
  record_state();
  begin_section("one that was heard closes only its own");
  for (int i = 0; i < 2; ++i) send_read();
  for (std::size_t i = 3; i < 5; ++i) expect_request(i);
  peer(3).write(response(200, "x"));
  expect_ended(4);
  peer(4).write("HTTP/1.1 200");
  settle();
  upstream->cancel({1, 5}, engine::CancelReason::timed_out);
  expect_closed(4);
  record_state();
  begin_section("a write is not drained");
  clock.advance(kPastSettleTime);
  const std::uint32_t write = send(message(engine::Operation::write));
  expect_request(3);
  upstream->cancel({1, write}, engine::CancelReason::no_longer_needed);
  expect_closed(3);
  expect_digest(0x76aa68892259a6b7);
}

// ---- Connections that are established late or never

TEST_F(UpstreamDigest, ConnectTimeoutAndRefusal) {
  FullListener full(io);
  settle();
  resources.connect_timeout = 30'000;
  upstream->set_address(full.address());
  send_read();
  send_read();
  expect_ended(2);
  record_state();
  begin_section("refused");
  std::string closed_address;
  {
    const net::tcp::acceptor closed(io, any_port());
    closed_address = text_of(closed.local_endpoint());
  }
  upstream->set_address(closed_address);
  send_read();
  expect_ended(3);
  record_state();
  upstream->set_address("no address");
  send_read();
  expect_ended(4);
  expect_digest(0xad8da1df6f54d29b);
}

TEST_F(UpstreamDigest, ServerLeavesOrMovesWhileConnecting) {
  FullListener full(io);
  settle();
  upstream->set_address(full.address());
  send_read();
  settle();
  begin_section("moved");
  upstream->set_address(server.address());
  expect_request(0);
  peer(0).write(response(200, "moved"));
  expect_ended(1);
  record_state();
  begin_section("moved while in use");
  clock.advance(kPastSettleTime);
  send_read();
  expect_request(0);
  upstream->set_address(full.address());
  peer(0).write(response(200, "last"));
  expect_ended(2);
  record_state();
  begin_section("leaves while connecting");
  send_read();
  settle();
  upstream->stop_sending_at(clock.now());
  expect_ended(3);
  record_state();
  expect_digest(0x65e2646e99285727);
}

TEST_F(UpstreamDigest, WindowEndsWhileConnecting) {
  send(message(), 8'000'000, clock.now() + 1'000);
  clock.advance(2'000);
  expect_ended(1);
  record_state();
  upstream->close_idle(kNever);
  send(message(), 1'000);
  clock.advance(1'000);
  expect_ended(2);
  record_state();
  send_read();
  expect_request(1);
  expect_digest(0xda076f5672b09f0b);
}

}  // namespace
}  // namespace streampick::test
