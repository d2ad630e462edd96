#include "resp/rejections.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <string_view>
#include <utility>

#include "net/tcp.h"

namespace streampick::resp {

using net::error_code;
using net::tcp;
namespace asio = boost::asio;

namespace {

constexpr std::string_view kErrorReply = "-ERR max number of clients reached\r\n";
constexpr std::size_t kMaxConnections = 8;
constexpr std::size_t kMaxDroppedBytes = 1024 * 1024;
constexpr Time kLinger = 1'000'000;

}  // namespace

class Rejections::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Rejections& owner, tcp::socket socket, Time now)
      : owner_(&owner), socket_(std::move(socket)), since_(now) {}

  void begin() {
    error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.write_some(asio::buffer(kErrorReply), ignored);
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    read_next();
  }
  Time since() const { return since_; }
  void close() {
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void read_next() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](error_code error, std::size_t got) {
                              if (self->owner_ == nullptr) return;
                              self->dropped_bytes_ += got;
                              if (error || self->dropped_bytes_ > kMaxDroppedBytes) return self->end();
                              self->read_next();
                            });
  }
  void end() {
    Rejections& owner = *owner_;
    close();
    owner.open_.remove(shared_from_this());
  }

  Rejections* owner_;  // nullptr once it is closed
  tcp::socket socket_;
  Time since_;
  std::size_t dropped_bytes_ = 0;
  std::array<char, 4096> chunk_{};
};

Rejections::~Rejections() {
  for (const auto& connection : open_) connection->close();
}

void Rejections::reject(tcp::socket socket, Time now) {
  if (open_.size() >= kMaxConnections) {
    open_.front()->close();
    open_.pop_front();
  }
  open_.push_back(std::make_shared<Connection>(*this, std::move(socket), now));
  open_.back()->begin();
}

void Rejections::close_overdue(Time now) {
  while (!open_.empty() && now - open_.front()->since() > kLinger) {
    open_.front()->close();
    open_.pop_front();
  }
}

}  // namespace streampick::resp
