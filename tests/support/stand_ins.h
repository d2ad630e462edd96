/// \file
/// Stand-in servers and clients on loopback sockets, on the event loop of the test.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/http_messages.h"

namespace streampick::test {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

/// A loopback address whose port the kernel chooses.
inline tcp::endpoint any_port() { return {asio::ip::make_address("127.0.0.1"), 0}; }
/// The address as "host:port".
inline std::string text_of(const tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

/// One end of a connection: the bytes received on it, and whether it has ended.
struct Peer : std::enable_shared_from_this<Peer> {
  explicit Peer(tcp::socket from) : socket(std::move(from)) {}
  /// Reads until the connection ends. `on_bytes` is called after each read, unless `muted`.
  void read(std::function<void(Peer&)> on_bytes) {
    socket.async_read_some(asio::buffer(chunk), [self = shared_from_this(), on_bytes = std::move(on_bytes)](
                                                    error_code error, std::size_t got) {
      self->got.append(self->chunk.data(), got);
      self->ended = self->ended || static_cast<bool>(error);
      if (!self->muted) on_bytes(*self);
      if (!error && self->socket.is_open()) self->read(on_bytes);
    });
  }
  /// Writes all of `text`, blocking; errors are ignored.
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

/// A stand-in HTTP server on a loopback port.
class FakeServer {
 public:
  explicit FakeServer(asio::io_context& io, std::function<std::string(const std::string&)> on_request = {})
      : answer(std::move(on_request)), acceptor_(io, any_port()) {
    accept();
  }
  std::string address() const { return text_of(acceptor_.local_endpoint()); }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  /// Connections that have not ended.
  std::size_t open() const {
    return static_cast<std::size_t>(
        std::count_if(peers.begin(), peers.end(), [](const auto& peer) { return !peer->ended; }));
  }

  /// Returns the bytes to write for a request; none: the request stays unanswered.
  std::function<std::string(const std::string&)> answer;
  /// All requests, in the order in which they arrived.
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

/// A stand-in client on one connection. Its destructor closes the connection.
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
  /// Status code of response `i`.
  int status(std::size_t i = 0) const { return std::stoi(answers.at(i).substr(9, 3)); }
  std::string body(std::size_t i = 0) const {
    return answers.at(i).substr(answers.at(i).find("\r\n\r\n") + 4);
  }

  std::shared_ptr<Peer> peer;
  /// Complete responses, in the order in which they arrived.
  std::vector<std::string> answers;

 private:
  static tcp::socket connected(asio::io_context& io, const tcp::endpoint& to) {
    tcp::socket socket(io);
    socket.connect(to);
    return socket;
  }
};

}  // namespace streampick::test
