#include "standin/http_cache.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <functional>
#include <string_view>
#include <utility>

namespace streampick::standin {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

class HttpCache::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpCache& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }
  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](error_code error, std::size_t got) {
                              if (self->owner_ == nullptr) return;
                              if (error) return self->close();
                              self->in_.append(self->chunk_.data(), got);
                              self->answer();
                            });
  }
  void close() {
    if (owner_ == nullptr) return;
    end_work();
    HttpCache& owner = *std::exchange(owner_, nullptr);
    error_code ignored;
    socket_.close(ignored);
    owner.connections_.erase(shared_from_this());
    if (std::exchange(at_work_, false)) owner.came_free();
  }
  // Starts to serve the request, which takes a slot for `delay`.
  void work() {
    at_work_ = true;
    ++owner_->at_work_;
    timer_.expires_after(owner_->delay.load());
    timer_.async_wait([self = shared_from_this()](error_code) {
      if (self->owner_ == nullptr || !std::exchange(self->at_work_, false)) return;
      HttpCache& owner = *self->owner_;
      self->write();
      owner.came_free();
    });
  }
  bool open() const { return owner_ != nullptr; }
  void begin_work() {
    if (std::exchange(counted_, true)) return;
    const std::size_t now = ++owner_->working;
    if (now > owner_->most_working) owner_->most_working = now;
    watch();
  }
  void end_work() {
    if (std::exchange(counted_, false)) --owner_->working;
  }
  // Closes the connection if the client closes it before its request is answered.
  void watch() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
      if (error || self->owner_ == nullptr || !self->counted_) return;
      error_code ended;
      if (self->socket_.available(ended) == 0) self->close();
    });
  }
  void detach() {
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void answer() {
    out_.clear();
    for (;;) {
      const std::size_t head = in_.find("\r\n\r\n");
      if (head == std::string::npos) break;
      std::size_t length = 0;
      if (const std::size_t at = in_.find("Content-Length: "); at < head)
        length = std::strtoul(in_.c_str() + at + 16, nullptr, 10);
      if (in_.size() < head + 4 + length) break;
      const bool write = in_.rfind("PUT", 0) == 0;
      const std::size_t target = in_.find(' ');
      const std::uint64_t key = std::hash<std::string_view>{}(
          std::string_view(in_).substr(target, in_.find(' ', target + 1) - target));
      in_.erase(0, head + 4 + length);
      ++owner_->requests;
      const bool lacks = owner_->keys > 0 && !write && key % owner_->keys == 0;
      const std::string value = lacks ? "" : owner_->value_;
      const std::string body = write ? "" : value;
      out_ += (write || !value.empty() ? "HTTP/1.1 200 OK" : "HTTP/1.1 404 Not Found");
      out_ += "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    if (out_.empty()) return read();
    begin_work();
    if (owner_->slots > 0) {
      if (owner_->at_work_ < owner_->slots) return work();
      if (owner_->in_line_.size() < owner_->line) {
        owner_->in_line_.push_back(weak_from_this());
        return;
      }
      ++owner_->turned_away;
      out_ = "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n";
      return write();
    }
    const auto delay = owner_->delay.load();
    if (delay.count() == 0) return write();
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this()](error_code) {
      if (self->owner_ != nullptr) self->write();
    });
  }
  void write() {
    end_work();
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this()](error_code error, std::size_t) {
                        if (self->owner_ == nullptr) return;
                        if (error) return self->close();
                        self->read();
                      });
  }
  HttpCache* owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 16 * 1024> chunk_{};
  std::string in_, out_;
  bool at_work_ = false, counted_ = false;
};

HttpCache::HttpCache(asio::io_context& io, std::string value)
    : io_(io), value_(std::move(value)), acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}) {
  accept();
}

HttpCache::~HttpCache() {
  for (const auto& connection : connections_) connection->detach();
}

std::string HttpCache::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void HttpCache::came_free() {
  --at_work_;
  while (!in_line_.empty() && at_work_ < slots) {
    const auto next = in_line_.front().lock();
    in_line_.pop_front();
    if (next && next->open()) next->work();  // skips connections that closed while queued
  }
}

void HttpCache::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) return;
    ++accepted_connections;
    const auto made = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(made);
    made->read();
    accept();
  });
}

}  // namespace streampick::standin
