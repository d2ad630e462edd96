// A fixture that runs a router with its RESP front and RESP servers between stand-in caches and test clients,
// on loopback sockets.
#pragma once

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "loopback.h"
#include "platform/options.h"
#include "resp/decode.h"
#include "resp/encode.h"
#include "resp/print.h"
#include "standin/resp_cache.h"

namespace streampick::test {

using resp::Value;
using standin::Fault;
using standin::RespCache;

inline std::string command(const std::vector<std::string>& words) {
  std::string out;
  resp::encode_command(std::vector<std::string_view>(words.begin(), words.end()), out);
  return out;
}

class RespClient {
 public:
  RespClient(asio::io_context& io, const net::tcp::endpoint& to) {
    net::tcp::socket socket(io);
    socket.connect(to);
    peer = std::make_shared<Peer>(std::move(socket));
    peer->read([this](Peer& from) {
      std::string_view bytes = from.got;
      while (!bytes.empty() && !decoder_.failed()) {
        bytes.remove_prefix(decoder_.put(bytes));
        if (decoder_.done()) replies.push_back(decoder_.take());
      }
      from.got.clear();
      if (on_reply) on_reply();
    });
  }
  ~RespClient() {
    peer->muted = true;
    peer->close();
  }
  RespClient(const RespClient&) = delete;
  RespClient& operator=(const RespClient&) = delete;
  void ask(const std::vector<std::string>& words) { peer->write(command(words)); }
  void raw(const std::string& bytes) { peer->write(bytes); }
  const Value& reply(std::size_t i) const { return replies.at(i); }

  std::shared_ptr<Peer> peer;
  std::vector<Value> replies;
  std::function<void()> on_reply;

 private:
  resp::Decoder decoder_{[] {
    resp::Limits limits;
    limits.blob = limits.bytes = 16 * 1024 * 1024;
    return limits;
  }()};
};

class RespLoopback : public Loopback {
 protected:
  static constexpr const char* kFront = "[resp.front]\nlisten = \"127.0.0.1:0\"\nread_class = \"read\"\n";
  static constexpr const char* kServers = "[resp.servers]\n";

  void start_with(const std::string& toml, const nlohmann::json& known, std::size_t sockets = 512) {
    nlohmann::json config = config_json(text_of(discovery.local_endpoint()), known);
    config["limits"]["sockets"] = sockets;
    adjust(config);
    settings = platform::parse_settings(config.dump());
    platform::Options options = platform::parse_options(toml, "test.toml");
    platform::resolve(options, settings);
    host = std::make_unique<daemon::Host>(io, clock, settings, options);
  }
  // Starts a router with a RESP front, an HTTP cache and an HTTP origin.
  void start_http(const std::string& more = "write_class = \"save\"\n") {
    start_with(kFront + more,
               list_json(1, true, {{"s-cache", cache.address()}, {"s-origin", origin.address(), "origin"}}));
  }
  // Starts a router with a RESP front, RESP caches and a RESP origin.
  void start_resp(const std::string& front = "write_class = \"pay\"\n", const std::string& servers = "") {
    std::vector<MemberText> members;
    for (std::size_t i = 0; i < caches.size(); ++i)
      members.push_back({"c-" + std::to_string(i), caches[i]->address()});
    members.push_back({"s-origin", store.address(), "origin"});
    start_with(kFront + front + kServers + servers, list_json(1, true, members));
  }
  void add_caches(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) caches.push_back(std::make_unique<RespCache>(io));
  }
  std::unique_ptr<RespClient> resp_client() {
    return std::make_unique<RespClient>(io, host->resp()->address());
  }
  // Sends a list of members with the given phases on the watch of discovery.
  void send_phases(std::uint64_t revision, const std::vector<std::pair<std::size_t, std::string>>& phases) {
    std::vector<MemberText> members;
    for (const auto& [i, phase] : phases)
      members.push_back({"c-" + std::to_string(i), caches.at(i)->address(), "box", phase});
    const std::string line = list_json(revision, false, members).dump() + "\n";
    chunk(line);
  }
  // Sends the empty line that keeps a watch alive; it is due every 2 s.
  void send_keepalive() {
    if (clock.now() - last_keepalive_ < 500'000) return;
    last_keepalive_ = clock.now();
    chunk("\n");
  }
  std::uint64_t commands() const {
    std::uint64_t all = store.commands;
    for (const auto& one : caches) all += one->commands;
    return all;
  }
  std::uint64_t outcomes(Outcome outcome) const {
    return host->counts().outcomes[static_cast<std::size_t>(outcome)];
  }

  std::function<void(nlohmann::json&)> adjust = [](nlohmann::json&) {};
  std::vector<std::unique_ptr<RespCache>> caches;
  RespCache store{io};

 private:
  Time last_keepalive_ = 0;
};

}  // namespace streampick::test
