// What many slow peers make the router keep, measured by the heap of this process: it must not exceed the
// limit of the memory budget by more than the connections themselves need.
#include <netinet/tcp.h>

#include "loopback.h"
#include "support/heap_use.h"

namespace streampick::test {
namespace {

constexpr std::size_t kLimit = 4'000'000;
constexpr std::size_t kShortLimit = 500'000;
constexpr std::size_t kClients = 24;
/// A client's connection, the one to a server, and the stand-ins' own buffers.
constexpr std::size_t kPerClient = 100'000;

class HeapUse : public Loopback {
 protected:
  void start_with_limit() {
    start();
    memory().set_limit(kLimit);
    memory().short_messages.set_limit(kShortLimit);
    quiet(50);
    heap_before_ = heap_use();
  }
  net::MessageMemory& memory() { return host->upstream_resources().body_memory; }
  /// What the router and the stand-ins have allocated since start_with_limit().
  [[nodiscard]] std::size_t heap_growth() const {
    const std::size_t now = heap_use();
    return now > heap_before_ ? now - heap_before_ : 0;
  }
  /// Writes `text`, which must outlive the connection, while the event loop runs.
  static void write_all(tcp::socket& socket, const std::string& text) {
    asio::async_write(socket, asio::buffer(text), [](error_code, std::size_t) {});
  }

 private:
  std::size_t heap_before_ = 0;
};

/// Guards against a chunked body of which only the stream's buffer counts once it is forwarded, while all
/// that was buffered before waits for the server.
TEST_F(HeapUse, ChunkedUploadsThatWaitForTheirServer_StayWithinTheLimit) {
  tcp::acceptor unread_server(io, any_port());
  Loopback::start(list_json(
      1, true,
      {{"s-cache", cache.address()}, {"s-origin", text_of(unread_server.local_endpoint()), "origin"}}));
  memory().set_limit(kLimit);
  std::string text = request_text("PUT", "/pay/1", "pay", "", "8.0", "Transfer-Encoding: chunked\r\n");
  for (int chunk = 0; chunk < 24; ++chunk) text += "10000\r\n" + std::string(65'536, 'x') + "\r\n";
  quiet(50);
  const std::size_t before = heap_use();
  std::vector<std::unique_ptr<tcp::socket>> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<tcp::socket>(io));
    clients.back()->connect(host->address());
    write_all(*clients.back(), text);
    quiet(20);
  }
  quiet(200);
  EXPECT_LE(memory().reserved(), kLimit);
  EXPECT_LE(heap_use() - before, kLimit + kClients * kPerClient);
}

/// Guards against a response of which only the stream's buffer counts once it is forwarded, while all that
/// was buffered before waits for its client.
TEST_F(HeapUse, ResponsesInTwoPiecesToSlowClients_StayWithinTheLimit) {
  constexpr std::size_t kBody = 1'000'000;
  constexpr std::size_t kFirstPiece = 950'000;
  constexpr int kSegment = 1'400;      // bytes, as on a network
  constexpr int kSmallBuffer = 2'304;  // bytes
  start_with_limit();
  const std::string answer =
      "HTTP/1.1 200 X\r\nContent-Type: image/x\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n" +
      std::string(kFirstPiece, 'x');
  std::vector<std::unique_ptr<tcp::socket>> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    const std::size_t asked = cache.requests.size() + origin.requests.size();
    auto socket = std::make_unique<tcp::socket>(io);
    socket->open(tcp::v4());
    socket->set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
    ASSERT_EQ(::setsockopt(socket->native_handle(), IPPROTO_TCP, TCP_MAXSEG, &kSegment, sizeof kSegment), 0);
    socket->connect(host->address());
    const std::string target = "/read/" + std::to_string(i);
    asio::write(*socket, asio::buffer(request_text("GET", target, "read", "", "8.0")));
    clients.push_back(std::move(socket));
    ASSERT_TRUE(wait_for([&] { return cache.requests.size() + origin.requests.size() > asked; }));
    // A hedge may have gone to the other server. An idle connection ignores the bytes of none.
    for (FakeServer* server : {&cache, &origin})
      if (!server->peers.empty()) write_all(server->peers.back()->socket, answer);
    quiet(80);
  }
  EXPECT_GT(host->upstream_resources().streams.started, 4U);
  EXPECT_LE(memory().reserved(), kLimit);
  EXPECT_LE(heap_growth(), kLimit + kClients * kPerClient);
}

/// Many clients that each make the router keep a little under what it keeps without a budget for long bodies.
class ManyShortMessages : public HeapUse {
 protected:
  static constexpr std::size_t kMany = 150;
  /// A client's connection, and up to MessageMemory::kUnreserved of what it sent, in strings that double as
  /// they grow.
  static constexpr std::size_t kPerShortClient = 30'000;

  /// Sends `text` on a connection of its own, which stays open.
  void connect_and_send(const std::string& text) {
    clients_.push_back(std::make_unique<tcp::socket>(io));
    clients_.back()->connect(host->address());
    write_all(*clients_.back(), text);
  }
  void send_from_many(const std::string& text) {
    start_with_limit();
    for (std::size_t i = 0; i < kMany; ++i) connect_and_send(text);
    quiet(300);
    EXPECT_LE(memory().short_messages.reserved(), kShortLimit);
    EXPECT_LE(heap_growth(), kShortLimit + kMany * kPerShortClient);
  }
  /// A small request of another client, beside all these.
  void expect_small_request_is_served() {
    cache.answer = [](const std::string&) { return response(200, "value"); };
    const auto other = client();
    other->ask(request_text("GET", "/read/other", "read", "", "8.0"));
    ASSERT_TRUE(wait_for([&] { return other->answers.size() == 1; }));
    EXPECT_EQ(other->status(), 200);
  }

 private:
  std::vector<std::unique_ptr<tcp::socket>> clients_;
};

/// Guards against clients that stop half way through a body which is too short for the budget of long bodies.
TEST_F(ManyShortMessages, HalfBodies_StayWithinTheLimit) {
  const std::string body(65'000, 'x');
  send_from_many(request_text("PUT", "/pay/1", "pay", "", "8.0", "Content-Length: 65536\r\n") + body);
  EXPECT_GT(memory().short_messages.reserved(), 0U);
  expect_small_request_is_served();
}

/// Guards against clients that stop within a trailer of very many short fields.
TEST_F(ManyShortMessages, HalfTrailersOfManyFields_StayWithinTheLimit) {
  std::string text = request_text("PUT", "/pay/1", "pay", "", "8.0", "Transfer-Encoding: chunked\r\n");
  text += "fd00\r\n" + std::string(0xfd00, 'x') + "\r\n0\r\n";
  for (int field = 0; field < 3'000; ++field) text += "a:\r\n";
  send_from_many(text);
  EXPECT_GT(memory().short_messages.reserved(), 0U);
  expect_small_request_is_served();
}

/// Guards against clients that stop within a head of very many short fields.
TEST_F(ManyShortMessages, HalfHeadsOfManyFields_StayWithinTheLimit) {
  std::string text = "GET /read/1 HTTP/1.1\r\n";
  for (int field = 0; field < 3'000; ++field) text += "a:\r\n";
  send_from_many(text);
  expect_small_request_is_served();
}

/// Guards against clients that stop within one long line of a head.
TEST_F(ManyShortMessages, HalfLines_StayWithinTheLimit) {
  send_from_many("GET /read/1 HTTP/1.1\r\na: " + std::string(12'000, 'x'));
  EXPECT_GT(memory().short_messages.reserved(), 0U);
  expect_small_request_is_served();
}

/// Guards against sound requests with long targets that wait for their server.
TEST_F(ManyShortMessages, LongTargetsThatWait_StayWithinTheLimit) {
  start_with_limit();
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < kMany; ++i)
    texts.push_back(
        request_text("GET", "/read/" + std::string(15'000, 'k') + std::to_string(i), "read", "", "8.0"));
  std::size_t texts_size = 0;
  for (const std::string& text : texts) texts_size += text.capacity();
  for (const std::string& text : texts) connect_and_send(text);
  quiet(300);
  EXPECT_LE(memory().short_messages.reserved(), kShortLimit);
  // The stand-ins keep the requests that they received.
  std::size_t received = 0;
  for (FakeServer* server : {&cache, &origin})
    for (const auto& peer : server->peers) received += peer->got.capacity();
  EXPECT_LE(heap_growth(), texts_size + 2 * received + kShortLimit + kMany * kPerShortClient);
}

/// Guards against clients that do not read responses which are too short for the budget of long bodies.
TEST_F(ManyShortMessages, UnreadShortResponses_StayWithinTheLimits) {
  constexpr std::size_t kBody = 64'000;
  constexpr int kSegment = 1'400;      // bytes, as on a network
  constexpr int kSmallBuffer = 2'304;  // bytes
  start_with_limit();
  const std::string answer = response(200, std::string(kBody, 'x'));
  cache.answer = [&](const std::string&) { return answer; };
  origin.answer = cache.answer;
  std::vector<std::unique_ptr<tcp::socket>> clients;
  for (std::size_t i = 0; i < kMany; ++i) {
    auto socket = std::make_unique<tcp::socket>(io);
    socket->open(tcp::v4());
    socket->set_option(asio::socket_base::receive_buffer_size(kSmallBuffer));
    ASSERT_EQ(::setsockopt(socket->native_handle(), IPPROTO_TCP, TCP_MAXSEG, &kSegment, sizeof kSegment), 0);
    socket->connect(host->address());
    asio::write(*socket, asio::buffer(request_text("GET", "/read/" + std::to_string(i), "read", "", "8.0")));
    clients.push_back(std::move(socket));
    quiet(5);
  }
  quiet(300);
  EXPECT_GT(memory().short_messages.reserved(), 0U);
  EXPECT_LE(memory().reserved(), kLimit);
  EXPECT_LE(heap_growth(), kLimit + kShortLimit + kMany * kPerShortClient);
  expect_small_request_is_served();
}

}  // namespace
}  // namespace streampick::test
