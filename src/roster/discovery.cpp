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

constexpr std::size_t kMaxListSize = 4 * 1024 * 1024;  // bytes
// Complete lists with a revision below the known one are attributed for this long to a discovery service that
// lags. After that the service is assumed to have restarted and to count revisions from the beginning.
constexpr std::chrono::seconds kMaxLagDuration{20};

}  // namespace

class Discovery::Watch : public std::enable_shared_from_this<Watch> {
 public:
  Watch(Discovery& owner, engine::ListRequestId request)
      : owner_(&owner),
        request_id_(request),
        socket_(owner.io_),
        silence_timer_(owner.io_),
        framer_(kMaxListSize) {
    parser_.body_limit(boost::none);
    parser_.eager(true);
  }

  void start() {
    restart_silence_timer(owner_->times_.attempt);
    socket_.async_connect(owner_->address_, [self = shared_from_this()](net::error_code error) {
      if (self->owner_ == nullptr) return;
      if (error) return self->fail(error.message());
      self->send_request();
    });
  }

  void close() {
    owner_ = nullptr;
    net::error_code ignored;
    socket_.close(ignored);
    silence_timer_.cancel();
  }

 private:
  // A host that is cut off by the network closes no connection: only the missing lines show it. A partial
  // line doesn't restart the timer, as its rest may never arrive.
  void restart_silence_timer(milliseconds timeout) {
    silence_timer_.expires_after(timeout);
    silence_timer_.async_wait([self = shared_from_this()](net::error_code cancelled) {
      if (!cancelled && self->owner_ != nullptr) self->fail("no complete line within the timeout");
    });
  }

  void send_request() {
    request_.method(http::verb::get);
    request_.target("/discovery/hosts?watch=1&after=" + std::to_string(owner_->revision_));
    request_.set(http::field::host,
                 owner_->address_.address().to_string() + ":" + std::to_string(owner_->address_.port()));
    http::async_write(socket_, request_, [self = shared_from_this()](net::error_code error, std::size_t) {
      if (self->owner_ == nullptr) return;
      if (error) return self->fail(error.message());
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
    if (error) return fail(error.message());
    buffer_.commit(got);
    while (buffer_.size() > 0 && !parser_.is_done()) {
      net::error_code failed;
      buffer_.consume(parser_.put(buffer_.data(), failed));
      // Beast limits the size of a head, but not that of a chunk-size line or a trailer.
      if (failed == http::error::need_more && buffer_.size() > http1::kMaxHeadSize)
        return fail("a line of the response exceeds the size limit");
      if (failed == http::error::need_more) break;
      if (failed) return fail(failed.message());
    }
    if (parser_.is_header_done()) {
      if (parser_.get().result() != http::status::ok)
        return fail("HTTP status " + std::to_string(parser_.get().result_int()));
      apply_lists();
      if (owner_ == nullptr) return;
    }
    if (parser_.is_done()) return fail("the service ended the response");
    read();
  }

  void apply_lists() {
    std::string& body = parser_.get().body();
    const roster::ListFramer::Result framed = framer_.put(body);
    body.clear();
    if (framed.received_line) restart_silence_timer(owner_->times_.silence);
    for (const std::string& list : framed.lists) {
      owner_->apply_list(list, request_id_);
      if (owner_ == nullptr) return;
    }
    if (framed.too_long) fail("a list exceeds the size limit");
  }

  void fail(const std::string& reason) {
    Discovery& owner = *owner_;
    close();
    owner.on_watch_ended(reason);
  }

  Discovery* owner_;
  engine::ListRequestId request_id_;
  net::tcp::socket socket_;
  asio::steady_timer silence_timer_;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  http::response_parser<http::string_body> parser_;
  roster::ListFramer framer_;
};

Discovery::Discovery(asio::io_context& io, const Names& names, const net::tcp::endpoint& address,
                     std::uint64_t revision, bool reconnect, std::uint64_t seed,
                     engine::EndpointListObserver& observer)
    : io_(io),
      names_(names),
      address_(address),
      revision_(revision),
      reconnect_(reconnect),
      times_(reconnect ? roster::kPushed : roster::kAsked),
      observer_(observer),
      random_(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32U))),
      retry_(io),
      backoff_(times_.backoff_first) {}

Discovery::~Discovery() { stop(); }

void Discovery::watch() {
  if (stopped_) return;
  if (watch_) watch_->close();
  last_request_ = engine::ListRequestId{static_cast<std::uint64_t>(last_request_) + 1};
  watch_ = std::make_shared<Watch>(*this, last_request_);
  watch_->start();
}

void Discovery::set_address(const net::tcp::endpoint& address) {
  if (address == address_) return;
  net::log("discovery: address changed to " + address.address().to_string() + ":" +
           std::to_string(address.port()));
  address_ = address;
  refetch();
}

engine::ListRequestId Discovery::refetch() {
  revision_ = 0;
  outdated_since_.reset();
  backoff_ = times_.backoff_first;
  retry_.cancel();
  ++retry_generation_;
  watch();
  return last_request_;
}

void Discovery::pause() {
  if (watch_) watch_->close();
  retry_.cancel();
  ++retry_generation_;
}

void Discovery::stop() {
  stopped_ = true;
  pause();
}

// A list older than the known revision would undo later changes and bring back servers that have left.
bool Discovery::is_outdated(const engine::EndpointList& list) {
  if (list.revision >= revision_) {
    outdated_since_.reset();
    return false;
  }
  if (!list.complete) return true;
  const auto now = std::chrono::steady_clock::now();
  if (!outdated_since_) outdated_since_ = now;
  return now - *outdated_since_ < kMaxLagDuration;
}

void Discovery::apply_list(const std::string& text, engine::ListRequestId request) {
  try {
    engine::EndpointList list = parse_members(text, names_);
    list.request = request;
    if (is_outdated(list)) {
      if (!list.complete) return;
      // Later changes on this watch build on the list that was rejected.
      if (watch_) watch_->close();
      return on_watch_ended("the service sent a list that is older than the known revision");
    }
    outdated_since_.reset();
    revision_ = list.revision;
    backoff_ = times_.backoff_first;
    observer_.on_endpoint_list(list);
  } catch (const std::exception& error) {
    // Changes build on one another: after one that can't be parsed, they are requested again from the last
    // good revision.
    net::log(std::string("discovery: malformed list, the previous one stays in use: ") + error.what());
    if (watch_) watch_->close();
    on_watch_ended("malformed list");
  }
}

void Discovery::on_watch_ended(const std::string& reason) {
  net::log("discovery: watch failed: " + reason);
  observer_.on_discovery_failed();
  if (!reconnect_ || stopped_) return;
  const auto wait = std::chrono::duration_cast<milliseconds>(
      backoff_ * std::uniform_real_distribution<double>(0.5, 1.0)(random_));
  backoff_ = std::min(backoff_ * 2, times_.backoff_most);
  retry_.expires_after(wait);
  retry_.async_wait([this, generation = retry_generation_](net::error_code cancelled) {
    if (!cancelled && generation == retry_generation_)
      watch();  // the handler may be queued already when the address changes
  });
}

}  // namespace streampick::discovery
