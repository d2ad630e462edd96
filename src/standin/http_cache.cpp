#include "standin/http_cache.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
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
    HttpCache& owner = *std::exchange(owner_, nullptr);
    error_code ignored;
    socket_.close(ignored);
    owner.connections_.erase(shared_from_this());
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
      in_.erase(0, head + 4 + length);
      ++owner_->requests;
      const std::string& value = owner_->value_;
      const std::string body = write ? "" : value;
      out_ += (write || !value.empty() ? "HTTP/1.1 200 OK" : "HTTP/1.1 404 Not Found");
      out_ += "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    if (out_.empty()) return read();
    const auto delay = owner_->delay.load();
    if (delay.count() == 0) return write();
    timer_.expires_after(delay);
    timer_.async_wait([self = shared_from_this()](error_code) {
      if (self->owner_ != nullptr) self->write();
    });
  }
  void write() {
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

void HttpCache::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error) return;
    const auto made = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(made);
    made->read();
    accept();
  });
}

}  // namespace streampick::standin
