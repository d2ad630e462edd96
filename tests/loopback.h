// Small peers on loopback sockets for the router's tests: servers, a discovery and clients, all on
// the test's own event loop. Tests wait for what should happen, not for a time.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "daemon/host.h"
#ifdef STREAMPICK_WITH_OPTIONS
#include "platform/options.h"
#endif

namespace streampick::test {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

inline tcp::endpoint any_port() { return {asio::ip::make_address("127.0.0.1"), 0}; }
inline std::string text_of(const tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

// Bytes of which no two stretches are alike.
inline std::string pattern(std::size_t size) {
  std::string out(size, '\0');
  for (std::size_t i = 0; i < size; ++i) out[i] = static_cast<char>((i * 2654435761U) >> 13U);
  return out;
}

// An accepted connection: what came in on it, and whether the other side has ended it.
struct Peer : std::enable_shared_from_this<Peer> {
  explicit Peer(tcp::socket from) : socket(std::move(from)) {}
  void read(std::function<void(Peer&)> on_bytes) {
    socket.async_read_some(asio::buffer(chunk), [self = shared_from_this(), on_bytes = std::move(on_bytes)](
                                                    error_code error, std::size_t got) {
      self->got.append(self->chunk.data(), got);
      self->ended = self->ended || static_cast<bool>(error);
      if (!self->muted) on_bytes(*self);
      if (!error && self->socket.is_open()) self->read(on_bytes);
    });
  }
  void write(const std::string& text) {
    error_code ignored;
    asio::write(socket, asio::buffer(text), ignored);
  }
  void close() {
    error_code ignored;
    socket.close(ignored);
    ended = true;
  }
  tcp::socket socket;
  std::array<char, 4096> chunk{};
  std::string got;
  bool ended = false, muted = false;
};

// Takes the first whole HTTP message from `text`; empty when there is none yet.
inline std::string take_message(std::string& text) {
  const std::size_t head = text.find("\r\n\r\n");
  if (head == std::string::npos) return {};
  std::size_t length = 0;
  if (const std::size_t at = text.find("Content-Length: "); at < head)
    length = std::stoul(text.substr(at + 16));
  if (text.size() < head + 4 + length) return {};
  std::string message = text.substr(0, head + 4 + length);
  text.erase(0, message.size());
  return message;
}

inline std::string response(int status, const std::string& body = "", const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Answers each request as `answer` says: bytes to write, or none to hold it.
class FakeServer {
 public:
  explicit FakeServer(asio::io_context& io, std::function<std::string(const std::string&)> on_request = {})
      : answer(std::move(on_request)), acceptor_(io, any_port()) {
    accept();
  }
  std::string address() const { return text_of(acceptor_.local_endpoint()); }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  std::size_t open() const {
    return static_cast<std::size_t>(
        std::count_if(peers.begin(), peers.end(), [](const auto& peer) { return !peer->ended; }));
  }

  std::function<std::string(const std::string&)> answer;
  std::vector<std::string> requests;
  std::vector<std::shared_ptr<Peer>> peers;
  bool close_after_request = false;

 private:
  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      peers.push_back(std::make_shared<Peer>(std::move(socket)));
      peers.back()->read([this](Peer& peer) {
        for (std::string message; !(message = take_message(peer.got)).empty();) {
          requests.push_back(message);
          if (close_after_request) return peer.close();
          if (answer) peer.write(answer(message));
        }
      });
      accept();
    });
  }
  tcp::acceptor acceptor_;
};

class FakeClient {
 public:
  FakeClient(asio::io_context& io, const tcp::endpoint& to) : FakeClient(connected(io, to)) {}
  explicit FakeClient(tcp::socket socket) {
    peer = std::make_shared<Peer>(std::move(socket));
    peer->read([this](Peer& from) {
      for (std::string message; !(message = take_message(from.got)).empty();) answers.push_back(message);
    });
  }
  ~FakeClient() {
    peer->muted = true;
    peer->close();
  }
  FakeClient(const FakeClient&) = delete;
  FakeClient& operator=(const FakeClient&) = delete;
  void ask(const std::string& raw) { peer->write(raw); }
  int status(std::size_t i = 0) const { return std::stoi(answers.at(i).substr(9, 3)); }
  std::string body(std::size_t i = 0) const {
    return answers.at(i).substr(answers.at(i).find("\r\n\r\n") + 4);
  }

  std::shared_ptr<Peer> peer;
  std::vector<std::string> answers;

 private:
  static tcp::socket connected(asio::io_context& io, const tcp::endpoint& to) {
    tcp::socket socket(io);
    socket.connect(to);
    return socket;
  }
};

struct MemberText {
  std::string id, address, kind = "box", phase = "in_service";
  std::int64_t up_since_ms = 0;
};

inline nlohmann::json list_json(std::uint64_t revision, bool complete,
                                const std::vector<MemberText>& members) {
  nlohmann::json out = {{"revision", revision}, {"complete", complete}, {"members", nlohmann::json::array()}};
  for (const MemberText& member : members)
    out["members"].push_back({{"id", member.id},
                              {"host_port", member.address},
                              {"locality", "a"},
                              {"flavor", member.kind},
                              {"cell", 1},
                              {"phase", member.phase},
                              {"size", 1.0},
                              {"up_since_ms", member.up_since_ms}});
  return out;
}

// Classes: read (safe), save (keyed, by all), pay (unsafe).
inline nlohmann::json config_json(const std::string& discovery, const nlohmann::json& known) {
  const auto profile = [](const char* name, const char* effect) {
    return nlohmann::json{{"Name", name},       {"Effect", effect},         {"Group", "all"},
                          {"AimUs", 2'000'000}, {"HardLimitUs", 8'000'000}, {"WindowUs", 5'000'000},
                          {"Worth", 1.0}};
  };
  return {{"name", "n1"},
          {"listen", "127.0.0.1:0"},
          {"discovery", discovery},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 256}}},
          {"known", known},
          {"later", {{"unknown", true}}},
          {"settings",
           {{"Az", "a"},
            {"Balancers", 1},
            {"Zones", {"a", "b"}},
            {"Shapes", {"box", "origin"}},
            {"Tenants", nlohmann::json::array()},
            {"FamilyInfo", {{"Mode", "aside"}, {"OriginKind", 1}}},
            {"PolicyLimits",
             {{"MaxAttempts", 3},
              {"SecondCopies", true},
              {"Cancelling", true},
              {"RetryAfter", true},
              {"MaxRetryAfterUs", 2'000'000},
              {"DialTimeoutUs", 250'000},
              {"KeepaliveUs", 60'000'000}}},
            {"Guarantees", {{"AnswerSlackUs", 20'000}, {"StopSendingWithinUs", 2'000'000}, {"Novel", 1}}},
            {"RegistryMode", "push"},
            {"Profiles", {profile("read", "safe"), profile("save", "keyed"), profile("pay", "unsafe")}}}}};
}

#ifdef STREAMPICK_WITH_OPTIONS
// What is said against an options file beside this configuration; empty: nothing.
inline std::string options_error(const std::string& toml, const nlohmann::json& config) {
  try {
    platform::Options options = platform::parse_options(toml, "o.toml");
    platform::NodeSettings settings = platform::parse_settings(config.dump());
    platform::resolve(options, settings);
#ifdef STREAMPICK_WITH_FLEET
    fleet::resolve(options.fleet, settings, options.file);
    fleet::resolve(options.shares, options.fleet, settings, options.file);
#endif
  } catch (const options::Error& error) {
    return error.what();
  }
  return "";
}
#endif

// No two requests have one id.
inline std::string next_txn() {
  static std::uint64_t last = 0x9b1f03aa5c7e2d41;
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(++last));
  return text.data();
}

inline std::string request_text(const std::string& method, const std::string& path, const std::string& lane,
                                const std::string& body = "", const std::string& remaining = "8.0",
                                const std::string& more = "") {
  return method + " " + path + " HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + next_txn() + "\r\nX-Lane: " + lane +
         "\r\nX-Remaining: " + remaining + "\r\n" + more +
         (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

// Of one key, under an id of its own each time.
inline std::string a_read() { return request_text("GET", "/read/7f3a9c21e0b4d655", "read"); }

// Work that is in the loop's way until it ends: each turn of it takes 10 ms.
class LoopLoad {
 public:
  explicit LoopLoad(asio::io_context& io) : io_(io) { turn(); }
  void end() { *busy_ = false; }
  ~LoopLoad() { end(); }
  LoopLoad(const LoopLoad&) = delete;
  LoopLoad& operator=(const LoopLoad&) = delete;

 private:
  void turn() {
    asio::post(io_, [this, busy = busy_] {
      if (!*busy) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      turn();
    });
  }
  asio::io_context& io_;
  std::shared_ptr<bool> busy_ = std::make_shared<bool>(true);
};

class Loopback : public ::testing::Test {
 protected:
  // A cache server and an origin, and the router between them and the clients.
  void start(const nlohmann::json& known) {
    settings = platform::parse_settings(config_json(text_of(discovery.local_endpoint()), known).dump());
    host = std::make_unique<daemon::Host>(io, clock, settings);
  }
  void start() {
    start(list_json(1, true, {{"s-cache", cache.address()}, {"s-origin", origin.address(), "origin"}}));
  }

  [[nodiscard]] bool wait_for(const std::function<bool()>& holds) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!holds()) {
      if (std::chrono::steady_clock::now() > until) return false;
      clock.next_batch();
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
  }
  // Lets everything that is on its way arrive.
  void quiet(int milliseconds = 100) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
    while (std::chrono::steady_clock::now() < until) {
      clock.next_batch();
      io.restart();
      io.run_one_for(std::chrono::milliseconds(10));
    }
  }
  // The router's watch on the test's discovery.
  void accept_watch() {
    tcp::socket socket(io);
    bool came = false;
    discovery.async_accept(socket, [&](error_code error) { came = !error; });
    ASSERT_TRUE(wait_for([&] { return came; }));
    agent = std::make_shared<Peer>(std::move(socket));
    agent->read([](Peer&) {});
    ASSERT_TRUE(wait_for([&] { return agent->got.find("\r\n\r\n") != std::string::npos; }));
  }
  void begin_watch() { agent->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); }
  void chunk(const std::string& text) {
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    agent->write(size.data() + text + "\r\n");
  }
  std::unique_ptr<FakeClient> client() { return std::make_unique<FakeClient>(io, host->address()); }

  asio::io_context io{1};
  Time wall_steps = 0;  // of the wall clock, forward or back
  net::Clock clock{io, [this] { return net::system_wall_time() + wall_steps; }};
  FakeServer cache{io}, origin{io};
  tcp::acceptor discovery{io, any_port()};
  platform::NodeSettings settings;
  std::unique_ptr<daemon::Host> host;
  std::shared_ptr<Peer> agent;
};

}  // namespace streampick::test
