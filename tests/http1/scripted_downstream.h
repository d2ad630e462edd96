/// \file
/// The HTTP/1.1 downstream between raw clients and a scripted engine, and a transcript of its behaviour: the
/// bytes that each client receives and how its connection ends, the calls to the engine, and the counters.
///
/// A transcript contains no times. The bytes that a client has received are recorded only after no handler is
/// left to run, so that the transcript does not depend on timing.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "http1/server.h"
#include "raw_client.h"

namespace streampick::test {

/// The 64-bit FNV-1a hash.
inline std::uint64_t digest_of(std::string_view text) {
  std::uint64_t hash = 0xcbf29ce484222325U;
  for (const char character : text) {
    hash ^= static_cast<unsigned char>(character);
    hash *= 0x100000001b3U;
  }
  return hash;
}

/// The text in printable form on one line. Of a long text: its first bytes, size and digest.
inline std::string printable(std::string_view text) {
  constexpr std::size_t kMaxPrinted = 600;
  std::string printed;
  for (const char character : text.substr(0, kMaxPrinted)) {
    if (character == '\r') {
      printed += "\\r";
    } else if (character == '\n') {
      printed += "\\n";
    } else if (character < ' ' || character > '~') {
      printed += '?';
    } else {
      printed += character;
    }
  }
  if (text.size() <= kMaxPrinted) return printed;
  return printed + "... (" + std::to_string(text.size()) + " bytes, digest " +
         std::to_string(digest_of(text)) + ")";
}

class Transcript {
 public:
  void add(const std::string& line) { text_ += line + "\n"; }
  [[nodiscard]] const std::string& text() const { return text_; }

 private:
  std::string text_;
};

/// Records each call. Responds at once where `respond_at_once` is set, otherwise keeps the request open until
/// the test responds.
class ScriptedEngine final : public engine::RequestHandler {
 public:
  struct OpenRequest {
    RequestId id = 0;
    std::shared_ptr<engine::ResponseSink> sink;
    engine::IncomingRequest incoming;
    std::string upload = {};  ///< the part of its streamed body that was read
  };

  explicit ScriptedEngine(Transcript& transcript) : transcript_(transcript) {}

  RequestId on_request(const std::shared_ptr<engine::ResponseSink>& sink,
                       engine::IncomingRequest incoming) override {
    ++requests_;
    transcript_.add("  engine: request " + describe(incoming));
    if (rejects_id) return 0;
    const RequestId id = ++last_id_;
    if (respond_at_once) {
      const std::uint64_t tag = incoming.tag;
      incoming.message.reset();
      sink->respond(tag, respond_at_once());
    } else {
      open.push_back({id, sink, std::move(incoming)});
    }
    return id;
  }
  void on_client_cancelled(RequestId request) override {
    transcript_.add("  engine: cancelled " + std::to_string(request));
    std::erase_if(open, [&](const OpenRequest& candidate) { return candidate.id == request; });
    ++cancelled_;
  }
  void on_body_complete(RequestId request) override {
    transcript_.add("  engine: body complete " + std::to_string(request));
  }
  void on_rejected_unread(std::uint32_t request_class) override {
    transcript_.add("  engine: rejected unread, class " + std::to_string(request_class));
  }

  /// Responds to the oldest open request.
  void respond(engine::Response response) {
    ASSERT_FALSE(open.empty());
    const OpenRequest request = std::move(open.front());
    open.erase(open.begin());
    request.sink->respond(request.incoming.tag, std::move(response));
  }
  /// Reads the bytes that have arrived of the streamed bodies of open requests.
  void read_uploads() {
    for (OpenRequest& request : open) {
      std::string part;
      while (request.incoming.message->upload && request.incoming.message->upload->read(part)) {
        request.upload += part;
      }
    }
  }
  [[nodiscard]] std::size_t requests() const { return requests_; }
  [[nodiscard]] std::size_t cancelled() const { return cancelled_; }

  std::function<engine::Response()> respond_at_once;
  bool rejects_id = false;  ///< rejects every request as if its transaction id was in use
  std::vector<OpenRequest> open;

 private:
  static std::string describe(const engine::IncomingRequest& incoming) {
    const engine::Message& message = *incoming.message;
    std::string text = engine::is_write(message.operation) ? "write" : "read";
    text += " class=" + std::to_string(incoming.request_class);
    text += " tenant=" + std::to_string(incoming.tenant);
    text += " id=" + std::to_string(incoming.transaction_id);
    text += incoming.has_key ? " key=" + std::to_string(incoming.key) : " keyless";
    text += " remaining=" + std::to_string(incoming.remaining);
    text += " cost=" + std::to_string(incoming.cost_hint);
    text += " tag=" + std::to_string(incoming.tag);
    text += " [" + printable(message.target) + "][" + printable(message.key) + "][" + message.transaction_id +
            "][" + message.idempotency_key + "][" + message.content_type + "][" + printable(message.body) +
            "]";
    if (message.accepts_streaming) text += " accepts_streaming";
    if (message.memory) text += " reserved";
    if (message.upload) {
      const auto& length = message.upload->length();
      text += " upload=" + (length ? std::to_string(*length) : std::string("unknown"));
    }
    return text;
  }

  Transcript& transcript_;
  RequestId last_id_ = 0;
  std::size_t requests_ = 0;
  std::size_t cancelled_ = 0;
};

inline engine::Response served(const std::string& body, const std::string& content_type = "text/x") {
  engine::Response response;
  response.kind = engine::Response::Kind::served;
  response.answer.content_type = content_type;
  response.answer.body = body;
  return response;
}

inline engine::Response served(const std::shared_ptr<engine::BodyStream>& stream) {
  engine::Response response = served("");
  response.answer.stream = engine::BodyReader(stream);
  return response;
}

class ScriptedDownstream : public ::testing::Test {
 protected:
  using Client = RawClient;

  /// `listening_descriptor` is a listening socket that the downstream shares, or -1.
  void start(int listening_descriptor = -1) {
    server = std::make_unique<http1::Server>(io, clock, names, engine, any_address(), descriptors, overload,
                                             load_shedder(), body_memory, listening_descriptor);
    server->start_accepting();
  }
  static net::tcp::endpoint any_address() { return {asio::ip::make_address("127.0.0.1"), 0}; }
  net::LoadShedder& load_shedder() {
    if (!load_shedder_) {
      load_shedder_ = std::make_unique<net::LoadShedder>(io, overload, config(), 1.0, std::vector<bool>{});
    }
    return *load_shedder_;
  }

  std::unique_ptr<Client> connect() {
    auto client = std::make_unique<Client>(io, server->address());
    client->socket.non_blocking(true);
    return client;
  }
  /// Returns the number of handlers that ran.
  std::size_t run_once() {
    clock.next_batch();
    io.restart();
    const std::size_t handlers = io.run_one_for(std::chrono::milliseconds(2));
    engine.read_uploads();
    return handlers;
  }
  [[nodiscard]] bool run_until(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition()) {
      if (std::chrono::steady_clock::now() > deadline) return false;
      run_once();
    }
    return true;
  }
  void run_for(std::chrono::milliseconds time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (std::chrono::steady_clock::now() < end) run_once();
  }
  /// Runs the event loop until no handler was ready for several turns.
  void settle() {
    constexpr int kQuietTurns = 5;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    for (int quiet_turns = 0; quiet_turns < kQuietTurns && std::chrono::steady_clock::now() < deadline;) {
      quiet_turns = run_once() == 0 ? quiet_turns + 1 : 0;
    }
  }

  /// Writes all of `text`. A text that fits into the receive buffer is delivered before the downstream runs,
  /// so that it is read in full chunks. A longer text is written while the downstream runs.
  void send(Client& client, std::string_view text, std::size_t receive_buffer = 60'000) {
    const bool fits = text.size() <= receive_buffer;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    net::error_code error;
    while (!text.empty() && std::chrono::steady_clock::now() < deadline) {
      text.remove_prefix(client.socket.write_some(asio::buffer(text.data(), text.size()), error));
      if (error && error != asio::error::would_block) return;
      if (error) run_once();
    }
    if (fits) {
      Client::wait_until_delivered(client.socket);
      return;
    }
    int undelivered = 1;
    while (undelivered > 0 && std::chrono::steady_clock::now() < deadline) {
      if (::ioctl(client.socket.native_handle(), SIOCOUTQ, &undelivered) != 0) return;
      run_once();
    }
  }
  bool has_responses(Client& client, std::size_t count) {
    return run_until([&] {
      client.take();
      return client.count("HTTP/1.") >= count || client.end;
    });
  }
  bool has_ended(Client& client) {
    return run_until([&] {
      client.take();
      return static_cast<bool>(client.end);
    });
  }
  bool has_requests(std::size_t count) {
    return run_until([&] { return engine.requests() >= count; });
  }

  /// Adds the bytes that the client has received and the state of its connection to the transcript. If the
  /// downstream has ended the connection, the client closes it too, so that it does not linger.
  void record(const std::string& name, Client& client) {
    settle();
    client.take();
    const char* end = "open";
    if (client.end == asio::error::eof) {
      end = "closed";
    } else if (client.end) {
      end = "reset";
    }
    transcript.add(name + ": " + end + " [" + printable(client.got) + "]");
    if (client.end) client.socket.close();
  }
  void record_counts() {
    settle();
    transcript.add(server->summary() + " unanswered=" + std::to_string(server->unanswered()));
    transcript.add("memory=" + std::to_string(body_memory.reserved()));
  }
  /// Sends `text` on a new connection and records the responses and the state of the connection.
  void exchange(const std::string& name, const std::string& text, std::size_t responses = 1) {
    const auto client = connect();
    send(*client, text);
    EXPECT_TRUE(has_responses(*client, responses)) << name;
    record(name, *client);
  }
  void expect_digest(std::uint64_t expected) {
    EXPECT_EQ(digest_of(transcript.text()), expected) << transcript.text();
  }

  static std::string request(const std::string& method, const std::string& target, const std::string& lane,
                             const std::string& headers = "", const std::string& body = "") {
    return method + " " + target + " HTTP/1.1\r\nHost: a\r\nX-Txn: 00000000000000aa\r\nX-Lane: " + lane +
           "\r\nX-Remaining: 5.25\r\n" + headers + "\r\n" + body;
  }
  static std::string read_request(const std::string& headers = "") {
    return request("GET", "/read/7f3a9c21e0b4d655", "read", headers);
  }
  static std::string write_request(const std::string& body, const std::string& headers = "") {
    return request("PUT", "/pay/1", "pay",
                   "Content-Length: " + std::to_string(body.size()) + "\r\n" + headers, body);
  }
  static std::string body_of(std::size_t size) {
    std::string body(size, '\0');
    for (std::size_t i = 0; i < size; ++i) body[i] = static_cast<char>('a' + i * 7 % 26);
    return body;
  }

  static Config config() {
    Config config;
    config.classes.resize(3);
    config.max_retry_after = 2'000'000;
    return config;
  }
  static overload::Settings without_shedding() {
    overload::Settings settings;
    settings.target_loop_lag = 0;
    return settings;
  }

  Names names{{"read", "save", "pay"}, {"acme", "umbrella"}, {}, {}, {false, true, false}};
  overload::Settings overload = without_shedding();
  Transcript transcript;
  ScriptedEngine engine{transcript};
  asio::io_context io{1};
  net::Clock clock{io};
  net::MessageMemory body_memory;
  overload::DescriptorBudget descriptors{{200, 60, 60}};
  std::unique_ptr<net::LoadShedder> load_shedder_;
  std::unique_ptr<http1::Server> server;
};

}  // namespace streampick::test
