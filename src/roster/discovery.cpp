#include "roster/discovery.h"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string>
#include <utility>

#include "http1/protocol.h"
#include "net/log.h"
#include "roster/list_framer.h"
#include "roster/members.h"

namespace streampick::discovery {

using std::chrono::milliseconds;

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t kLongestList = 4 * 1024 * 1024;
// For so long whole lists that are older than what is known are taken for a discovery that lags behind; one
// that tells nothing else was started anew and counts from the beginning.
constexpr std::chrono::seconds kLags{20};

}  // namespace

class Discovery::Watch : public std::enable_shared_from_this<Watch> {
 public:
  explicit Watch(Discovery& owner)
      : owner_(&owner), socket_(owner.io_), silence_(owner.io_), lists_(kLongestList) {
    parser_.body_limit(boost::none);
    parser_.eager(true);
  }

  void start() {
    listen_for_silence(owner_->times_.attempt);
    socket_.async_connect(owner_->address_, [self = shared_from_this()](net::error_code error) {
      if (self->owner_ == nullptr) return;
      if (error) return self->end(error.message());
      self->ask();
    });
  }

  void close() {
    owner_ = nullptr;
    net::error_code ignored;
    socket_.close(ignored);
    silence_.cancel();
  }

 private:
  // A machine that is cut off says nothing at all: only the missing lines tell. Half a line is no sign of
  // life: the rest of it may never come.
  void listen_for_silence(milliseconds longest) {
    silence_.expires_after(longest);
    silence_.async_wait([self = shared_from_this()](net::error_code cancelled) {
      if (!cancelled && self->owner_ != nullptr) self->end("silent for too long");
    });
  }

  void ask() {
    request_.method(http::verb::get);
    request_.target("/discovery/hosts?watch=1&after=" + std::to_string(owner_->revision_));
    request_.set(http::field::host,
                 owner_->address_.address().to_string() + ":" + std::to_string(owner_->address_.port()));
    http::async_write(socket_, request_, [self = shared_from_this()](net::error_code error, std::size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->end(error.message());
      self->read();
    });
  }

  void read() {
    socket_.async_read_some(
        buffer_.prepare(http1::kReadChunk),
        [self = shared_from_this()](net::error_code error, std::size_t got) { self->received(error, got); });
  }

  void received(net::error_code error, std::size_t got) {
    if (owner_ == nullptr) return;
    if (error) return end(error.message());
    buffer_.commit(got);
    while (buffer_.size() > 0 && !parser_.is_done()) {
      net::error_code failed;
      buffer_.consume(parser_.put(buffer_.data(), failed));
      if (failed == http::error::need_more) break;
      if (failed) return end(failed.message());
    }
    if (parser_.is_header_done()) {
      if (parser_.get().result() != http::status::ok)
        return end("status " + std::to_string(parser_.get().result_int()));
      take_lists();
      if (owner_ == nullptr) return;
    }
    if (parser_.is_done()) return end("it was ended");
    read();
  }

  void take_lists() {
    std::string& body = parser_.get().body();
    const roster::ListFramer::Found found = lists_.put(body);
    body.clear();
    if (found.alive) listen_for_silence(owner_->times_.silence);
    for (const std::string& list : found.lists) {
      owner_->take(list);
      if (owner_ == nullptr) return;
    }
    if (found.too_long) end("a list without end");
  }

  void end(const std::string& why) {
    Discovery& owner = *owner_;
    close();
    owner.ended(why);
  }

  Discovery* owner_;
  net::tcp::socket socket_;
  asio::steady_timer silence_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  http::response_parser<http::string_body> parser_;
  roster::ListFramer lists_;
};

Discovery::Discovery(asio::io_context& io, const Names& names, const net::tcp::endpoint& address,
                     std::uint64_t revision, bool again, std::uint64_t seed,
                     engine::EndpointListObserver& reader)
    : io_(io),
      names_(names),
      address_(address),
      revision_(revision),
      again_(again),
      times_(again ? roster::kPushed : roster::kAsked),
      reader_(reader),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32U))),
      retry_(io),
      backoff_(times_.backoff_first) {}

Discovery::~Discovery() { stop(); }

void Discovery::watch() {
  if (stopped_) return;
  if (watch_) watch_->close();
  watch_ = std::make_shared<Watch>(*this);
  watch_->start();
}

void Discovery::move_to(const net::tcp::endpoint& address) {
  if (address == address_) return;
  net::log("discovery is now at " + address.address().to_string() + ":" + std::to_string(address.port()));
  address_ = address;
  read_anew();
}

void Discovery::read_anew() {
  revision_ = 0;
  lags_since_.reset();
  backoff_ = times_.backoff_first;
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

// Lists from before what is known would undo later changes, and bring back a server that has gone.
bool Discovery::is_old(const engine::EndpointList& list) {
  if (list.revision >= revision_) {
    lags_since_.reset();
    return false;
  }
  if (!list.complete) return true;
  const auto now = std::chrono::steady_clock::now();
  if (!lags_since_) lags_since_ = now;
  return now - *lags_since_ < kLags;
}

void Discovery::take(const std::string& text) {
  try {
    const engine::EndpointList list = parse_members(text, names_);
    if (is_old(list)) {
      if (!list.complete) return;
      // What it tells next builds on a list that was not taken.
      if (watch_) watch_->close();
      return ended("a list older than what is known");
    }
    lags_since_.reset();
    revision_ = list.revision;
    backoff_ = times_.backoff_first;
    reader_.on_endpoint_list(list);
  } catch (const std::exception& error) {
    // Changes build on one another: after one that can't be read, what follows it is asked for anew.
    net::log(std::string("bad list from discovery, the old one is kept: ") + error.what());
    if (watch_) watch_->close();
    ended("bad list");
  }
}

void Discovery::ended(const std::string& why) {
  net::log("watch on discovery: " + why);
  reader_.on_discovery_failed();
  if (!again_ || stopped_) return;
  const auto wait = std::chrono::duration_cast<milliseconds>(
      backoff_ * std::uniform_real_distribution<double>(0.5, 1.0)(random_));
  backoff_ = std::min(backoff_ * 2, times_.backoff_most);
  retry_.expires_after(wait);
  retry_.async_wait([this, turn = turn_](net::error_code cancelled) {
    if (!cancelled && turn == turn_) watch();  // its wait may have been over when the address changed
  });
}

}  // namespace streampick::discovery
