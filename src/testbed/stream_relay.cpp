#include "testbed/stream_relay.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace streampick::testbed {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// A router's connection to the relay and the relay's connection to the server. Each direction reads again
// only after its last bytes have been written.
class StreamRelay::Pair final : public std::enable_shared_from_this<Pair> {
 public:
  Pair(StreamRelay& owner, tcp::socket near)
      : owner_(&owner),
        ways_{Way{std::move(near), asio::steady_timer(owner.io_), {}, 0, false},
              Way{tcp::socket(owner.io_), asio::steady_timer(owner.io_), {}, 0, false}} {}

  void begin() {
    if (owner_->cut(false) || owner_->cut(true)) {
      was_cut_ = waits_ = true;
      return;
    }
    ways_[1].socket.async_connect(owner_->real_, [self = shared_from_this()](error_code error) {
      if (self->owner_ == nullptr) return;
      if (error) return self->reset();
      error_code ignored;
      for (Way& way : self->ways_) way.socket.set_option(tcp::no_delay(true), ignored);
      self->read(0);
      self->read(1);
    });
  }
  void links_changed() {
    const bool cut = owner_->cut(false) || owner_->cut(true);
    if (cut) was_cut_ = true;
    if (!cut && was_cut_) reset();
  }
  void detach() {
    owner_ = nullptr;
    end();
  }

 private:
  struct Way {
    tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 16 * 1024> buffer;
    std::size_t got;
    bool ended;
  };
  Link& link(std::size_t way) const {
    return way == 0 ? owner_->faults_.link(owner_->from_, owner_->to_)
                    : owner_->faults_.link(owner_->to_, owner_->from_);
  }
  void read(std::size_t way) {
    ways_[way].socket.async_read_some(asio::buffer(ways_[way].buffer),
                                      [self = shared_from_this(), way](error_code error, std::size_t got) {
                                        if (self->owner_ != nullptr) self->received(way, error, got);
                                      });
  }
  void received(std::size_t way, error_code error, std::size_t got) {
    Way& it = ways_[way];
    it.got = got;
    it.ended = static_cast<bool>(error);
    if (error && error != asio::error::eof) return was_cut_ ? hold() : reset();
    if (was_cut_) return hold();
    (way == 0 ? owner_->count_.bytes_to : owner_->count_.bytes_from) += got;
    const Link& rule = link(way);
    std::int64_t after = rule.delay;
    if (rule.bytes_per_s > 0)
      after += static_cast<std::int64_t>(1e6 * static_cast<double>(got) / rule.bytes_per_s);
    if (after <= 0) return write(way);
    it.timer.expires_after(std::chrono::microseconds(after));
    it.timer.async_wait([self = shared_from_this(), way](error_code cancelled) {
      if (cancelled || self->owner_ == nullptr) return;
      self->was_cut_ ? self->hold() : self->write(way);
    });
  }
  // Stops reading and writing until the link is restored.
  void hold() { waits_ = true; }
  void write(std::size_t way) {
    Way& it = ways_[way];
    tcp::socket& other = ways_[1 - way].socket;
    if (it.ended) {
      error_code ignored;
      other.shutdown(tcp::socket::shutdown_send, ignored);
      if (ways_[1 - way].ended) close();
      return;
    }
    asio::async_write(other, asio::buffer(it.buffer.data(), it.got),
                      [self = shared_from_this(), way](error_code error, std::size_t) {
                        if (self->owner_ == nullptr) return;
                        if (error) return self->was_cut_ ? self->hold() : self->reset();
                        self->read(way);
                      });
  }
  void reset() {
    ++owner_->count_.reset;
    error_code ignored;
    for (Way& way : ways_) way.socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }
  void close() {
    StreamRelay& owner = *std::exchange(owner_, nullptr);
    end();
    owner.pairs_.erase(shared_from_this());
  }
  void end() {
    error_code ignored;
    for (Way& way : ways_) {
      way.socket.close(ignored);
      way.timer.cancel();
    }
  }
  StreamRelay* owner_;
  std::array<Way, 2> ways_;  // from the router to the server, and back
  bool was_cut_ = false, waits_ = false;
};

StreamRelay::StreamRelay(asio::io_context& io, Faults& faults, std::size_t from, std::size_t to,
                         tcp::endpoint real)
    : io_(io),
      faults_(faults),
      from_(from),
      to_(to),
      real_(std::move(real)),
      acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}) {
  accept();
}

StreamRelay::~StreamRelay() {
  for (const auto& pair : pairs_) pair->detach();
}

std::string StreamRelay::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

void StreamRelay::links_changed() {
  const auto all = pairs_;
  for (const auto& pair : all) pair->links_changed();
}

void StreamRelay::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (!error && pairs_.size() < kMaxPairs) {
      ++count_.connections;
      const auto made = std::make_shared<Pair>(*this, std::move(socket));
      pairs_.insert(made);
      made->begin();
    }
    accept();
  });
}

}  // namespace streampick::testbed
