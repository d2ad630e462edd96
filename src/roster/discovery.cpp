#include "roster/discovery.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string>
#include <utility>

#include "http1/protocol.h"
#include "net/log.h"
#include "roster/members.h"

namespace streampick::node {

using std::chrono::milliseconds;

namespace {

// An empty line comes every 2 s. News counts as told 4 to 6 s after it is out, whether or not it has
// arrived, so a watch that says nothing must be given up well before that.
constexpr milliseconds kSilence{2'800}, kDialTimeOut{1'000};
constexpr milliseconds kBackoffFirst{100}, kBackoffMost{2'000};
constexpr std::size_t kLongestLine = 4 * 1024 * 1024;

}  // namespace

class Discovery::Watch : public std::enable_shared_from_this<Watch> {
 public:
  explicit Watch(Discovery& owner) : owner_(&owner), socket_(owner.io_), silence_(owner.io_) {
    parser_.body_limit(boost::none);
    parser_.eager(true);
  }

  void start() {
    listen_for_silence(kDialTimeOut);
    socket_.async_connect(owner_->address_, [self = shared_from_this()](error_code error) {
      if (self->owner_ == nullptr) return;
      if (error) return self->end(error.message());
      self->listen_for_silence(kSilence);
      self->ask();
    });
  }

  void close() {
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
    silence_.cancel();
  }

 private:
  // A machine that is cut off says nothing at all: only the missing empty lines tell.
  void listen_for_silence(milliseconds longest) {
    silence_.expires_after(longest);
    silence_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled && self->owner_ != nullptr) self->end("silent for too long");
    });
  }

  void ask() {
    request_.method(http::verb::get);
    request_.target("/discovery/hosts?watch=1&after=" + std::to_string(owner_->revision_));
    request_.set(http::field::host,
                 owner_->address_.address().to_string() + ":" + std::to_string(owner_->address_.port()));
    http::async_write(socket_, request_, [self = shared_from_this()](error_code error, std::size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->end(error.message());
      self->read();
    });
  }

  void read() {
    socket_.async_read_some(
        buffer_.prepare(kReadChunk),
        [self = shared_from_this()](error_code error, std::size_t got) { self->received(error, got); });
  }

  void received(error_code error, std::size_t got) {
    if (owner_ == nullptr) return;
    if (error) return end(error.message());
    buffer_.commit(got);
    listen_for_silence(kSilence);
    while (buffer_.size() > 0 && !parser_.is_done()) {
      error_code failed;
      buffer_.consume(parser_.put(buffer_.data(), failed));
      if (failed == http::error::need_more) break;
      if (failed) return end(failed.message());
    }
    if (parser_.is_header_done()) {
      if (parser_.get().result() != http::status::ok)
        return end("status " + std::to_string(parser_.get().result_int()));
      take_lines();
      if (owner_ == nullptr) return;
    }
    if (parser_.is_done()) return end("it was ended");
    read();
  }

  // A line may be split over chunks, and a chunk may hold several.
  void take_lines() {
    std::string& body = parser_.get().body();
    lines_ += body;
    body.clear();
    std::size_t begin = 0;
    for (std::size_t end; (end = lines_.find('\n', begin)) != std::string::npos; begin = end + 1) {
      owner_->line(lines_.substr(begin, end - begin));
      if (owner_ == nullptr) return;
    }
    lines_.erase(0, begin);
    if (lines_.size() > kLongestLine) end("a line without end");
  }

  void end(const std::string& why) {
    Discovery& owner = *owner_;
    close();
    owner.ended(why);
  }

  Discovery* owner_;
  tcp::socket socket_;
  asio::steady_timer silence_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  http::response_parser<http::string_body> parser_;
  std::string lines_;
};

Discovery::Discovery(asio::io_context& io, const Names& names, const tcp::endpoint& address,
                     std::uint64_t revision, bool again, std::uint64_t seed, ListReader& reader)
    : io_(io),
      names_(names),
      address_(address),
      revision_(revision),
      again_(again),
      reader_(reader),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32U))),
      retry_(io),
      backoff_(kBackoffFirst) {}

Discovery::~Discovery() { stop(); }

void Discovery::watch() {
  if (stopped_) return;
  if (watch_) watch_->close();
  watch_ = std::make_shared<Watch>(*this);
  watch_->start();
}

void Discovery::move_to(const tcp::endpoint& address) {
  if (address == address_) return;
  log("discovery is now at " + address.address().to_string() + ":" + std::to_string(address.port()));
  address_ = address;
  read_anew();
}

void Discovery::read_anew() {
  revision_ = 0;
  backoff_ = kBackoffFirst;
  retry_.cancel();
  ++turn_;
  watch();
}

void Discovery::pause() {
  if (watch_) watch_->close();
  retry_.cancel();
  ++turn_;
}

void Discovery::stop() {
  stopped_ = true;
  pause();
}

void Discovery::line(const std::string& text) {
  if (text.find_first_not_of(" \r\t") == std::string::npos) return;
  try {
    const MemberList list = parse_members(text, names_);
    // Changes from before what is known would undo later ones, and bring back a server that has gone.
    // A whole list is taken all the same: a discovery that started anew counts from the beginning.
    if (list.revision < revision_ && !list.complete) return;
    revision_ = list.revision;
    backoff_ = kBackoffFirst;
    reader_.list_came(list);
  } catch (const std::exception& error) {
    // Changes build on one another: after one that can't be read, what follows it is asked for anew.
    log(std::string("bad list from discovery, the old one is kept: ") + error.what());
    if (watch_) watch_->close();
    ended("bad list");
  }
}

void Discovery::ended(const std::string& why) {
  log("watch on discovery: " + why);
  reader_.list_failed();
  if (!again_ || stopped_) return;
  const auto wait = std::chrono::duration_cast<milliseconds>(
      backoff_ * std::uniform_real_distribution<double>(0.5, 1.0)(random_));
  backoff_ = std::min(backoff_ * 2, kBackoffMost);
  retry_.expires_after(wait);
  retry_.async_wait([this, turn = turn_](error_code cancelled) {
    if (!cancelled && turn == turn_) watch();  // its wait may have been over when the address changed
  });
}

}  // namespace streampick::node
