#include "upstream.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

#include "log.h"
#include "protocol.h"

namespace streampick::node {

// A read is always outstanding, so that a close is noticed at once, on an idle connection too.
class Upstream::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Upstream& owner) : owner_(&owner), socket_(owner.io_), timer_(owner.io_) {
    ++owner.shared_.connections;
  }
  ~Connection() = default;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void dial(const tcp::endpoint& to, Time time_out) {
    error_code error;
    socket_.open(to.protocol(), error);
    if (error) {
      asio::post(socket_.get_executor(), [self = shared_from_this()] { self->dialled(false); });
      return;
    }
    socket_.set_option(tcp::no_delay(true), error);
    if (time_out > 0) {
      timer_.expires_after(std::chrono::microseconds(time_out));
      timer_.async_wait([self = shared_from_this()](error_code cancelled) {
        if (!cancelled) self->dialled(false);
      });
    }
    socket_.async_connect(to, [self = shared_from_this()](error_code failed) { self->dialled(!failed); });
  }

  void start(Job job, Time now) {
    job_ = std::move(job);
    next_answer();
    const Forward& forward = *job_->forward;
    request_ = {};
    request_.method(forward.method);
    request_.target(forward.target);
    request_.set(http::field::host, owner_->name_);
    request_.set("X-Txn", forward.txn);
    request_.set("X-Remaining", seconds(job_->expires - now));
    if (!forward.idempotency_key.empty()) request_.set("Idempotency-Key", forward.idempotency_key);
    if (!forward.content_type.empty()) request_.set(http::field::content_type, forward.content_type);
    request_.body() = beast::span<const char>(forward.body.data(), forward.body.size());
    request_.prepare_payload();
    serializer_.emplace(request_);
    writing_ = true;
    http::async_write(socket_, *serializer_,
                      [self = shared_from_this()](error_code error, std::size_t) { self->written(error); });
  }

  // Does not tell the owner.
  void close() {
    if (owner_ == nullptr) return;
    --owner_->shared_.connections;
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

  const std::optional<Job>& job() const { return job_; }
  Time last_used = 0;

 private:
  void dialled(bool made) {
    if (owner_ == nullptr || made_) return;
    timer_.cancel();
    made_ = made;
    const auto self = shared_from_this();
    if (!made) {
      owner_->dial_failed(self);
      return;
    }
    read();
    owner_->dialling_.erase(self);
    owner_->came_free(self);
  }

  void next_answer() {
    parser_.emplace();
    parser_->body_limit(kLongestBody);
    parser_->header_limit(kLongestHeader);
    parser_->eager(true);
  }

  void read() {
    socket_.async_read_some(
        buffer_.prepare(kReadChunk),
        [self = shared_from_this()](error_code error, std::size_t got) { self->received(error, got); });
  }

  void received(error_code error, std::size_t got) {
    if (owner_ == nullptr) return;
    buffer_.commit(got);
    if (!job_) return owner_->drop(shared_from_this());  // closed, or bytes that nobody asked for
    if (error) {
      if (error == asio::error::eof && parser_->got_some()) {
        error_code ending;
        parser_->put_eof(ending);
        if (!ending && parser_->is_done()) return answered(false);
      }
      return broke();
    }
    while (buffer_.size() > 0) {
      error_code failed;
      buffer_.consume(parser_->put(buffer_.data(), failed));
      if (failed == http::error::need_more) break;
      if (failed) {
        log("bad answer from " + owner_->name_ + ": " + failed.message());
        return finish(Outcome::error, {}, false);
      }
      if (parser_->is_done()) {
        // An interim answer (100 and the like) stands before the real one.
        if (http::to_status_class(parser_->get().result()) == http::status_class::informational) {
          next_answer();
          continue;
        }
        return answered(parser_->keep_alive() && buffer_.size() == 0);
      }
    }
    read();
  }

  void answered(bool keep) {
    auto& message = parser_->get();
    const unsigned status = message.result_int();
    Outcome outcome = Outcome::error;
    Answer answer;
    if (status == 200) {
      outcome = Outcome::served;
      answer.content_type = std::string(message[http::field::content_type]);
      answer.body = std::move(message.body());
    } else if (status == 404) {
      outcome = Outcome::miss;
    } else if ((status == 503 || status == 504) && message["X-Turned-Away"] == "1") {
      // Without the header the server may have run it: a bare 503 must never free a write to be resent.
      outcome = Outcome::full;
    } else if (status == 400) {
      log("400 from " + owner_->name_);
    }
    finish(outcome, std::move(answer), keep);
  }

  // While a write is under way nobody knows how much of the request has left: the verdict waits for
  // its end. To call it never sent too early would let a write run twice.
  void broke() {
    broken_ = true;
    if (!writing_) finish(serializer_->is_done() ? Outcome::reset : Outcome::connect_failed, {}, false);
  }

  void written(error_code error) {
    writing_ = false;
    if (owner_ == nullptr || !job_) return;
    if (early_) return finish(early_->first, std::move(early_->second), false);
    if (error || broken_)
      finish(serializer_->is_done() ? Outcome::reset : Outcome::connect_failed, {}, false);
  }

  void finish(Outcome outcome, Answer answer, bool keep) {
    if (writing_) {  // an answer before the request was out: the connection is not used again
      early_.emplace(outcome, std::move(answer));
      return;
    }
    const auto self = shared_from_this();
    Upstream& owner = *owner_;
    const AttemptId attempt = job_->attempt;
    job_.reset();
    if (keep) {
      last_used = owner.clock_.now();
      read();
      owner.busy_.erase(self);
      owner.came_free(self);
    } else {
      owner.drop(self);
    }
    owner.end(attempt, outcome, std::move(answer));
  }

  Upstream* owner_;  // none once it is closed
  tcp::socket socket_;
  asio::steady_timer timer_;  // of the dial
  beast::flat_buffer buffer_;
  std::optional<Job> job_;
  http::request<http::span_body<const char>> request_;
  std::optional<http::request_serializer<http::span_body<const char>>> serializer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::optional<std::pair<Outcome, Answer>> early_;
  bool made_ = false, writing_ = false, broken_ = false;
};

Upstream::Upstream(asio::io_context& io, Clock& clock, UpstreamShared& shared, std::string name)
    : io_(io), clock_(clock), shared_(shared), name_(std::move(name)), alive_(std::make_shared<bool>(true)) {}

Upstream::~Upstream() {
  for (const Link& link : idle_) link->close();
  for (const Link& link : busy_) link->close();
  for (const Link& link : dialling_) link->close();
}

void Upstream::set_address(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  close_idle(kNever);  // they lead to where the server no longer is
}

void Upstream::send(AttemptId attempt, std::shared_ptr<const Forward> forward, Time expires) {
  Job job{attempt, std::move(forward), expires};
  if (!idle_.empty()) {
    const Link link = idle_.back();
    idle_.pop_back();
    busy_.insert(link);
    start(link, std::move(job));
    return;
  }
  if (waiting_.size() >= dialling_.size()) {
    if (shared_.connections >= shared_.most_connections) shared_.free_a_connection();
    if (shared_.connections >= shared_.most_connections) {
      log("no descriptor left for a connection to " + name_);
      return end_soon(attempt, Outcome::connect_failed);
    }
    dial();
  }
  waiting_.push_back(std::move(job));
}

void Upstream::dial() {
  ++shared_.dials;
  const auto link = std::make_shared<Connection>(*this);
  dialling_.insert(link);
  link->dial(address_, shared_.dial_time_out);
}

void Upstream::start(const Link& link, Job job) {
  const Time now = clock_.now();
  // The drain rule counts from a request's first byte: an attempt that waited for its connection
  // past the grace must not go out.
  if (now >= nothing_from_ || now >= job.expires) {
    busy_.erase(link);
    idle_.push_back(link);
    return end_soon(job.attempt, Outcome::not_sent);
  }
  link->start(std::move(job), now);
}

// A connection was made or has served its request: whoever waits longest takes it.
void Upstream::came_free(const Link& link) {
  if (link->last_used == 0) link->last_used = clock_.now();
  if (waiting_.empty()) {
    idle_.push_back(link);
    return;
  }
  Job job = std::move(waiting_.front());
  waiting_.pop_front();
  busy_.insert(link);
  start(link, std::move(job));
}

void Upstream::dial_failed(const Link& link) {
  drop(link);
  // As many wait as dial, at most: one fails for each that failed.
  if (waiting_.size() <= dialling_.size()) return;
  const Job job = std::move(waiting_.front());
  waiting_.pop_front();
  end(job.attempt, Outcome::connect_failed);
}

void Upstream::drop(const Link& link) {
  const Link keep = link;
  keep->close();
  if (busy_.erase(keep) + dialling_.erase(keep) == 0) std::erase(idle_, keep);
}

void Upstream::forget(AttemptId attempt) {
  const auto job = std::find_if(waiting_.begin(), waiting_.end(),
                                [&](const Job& waits) { return waits.attempt == attempt; });
  if (job != waiting_.end()) {
    waiting_.erase(job);  // the dial goes on: the server has begun its work, the pool takes the result
    return;
  }
  const auto link = std::find_if(busy_.begin(), busy_.end(), [&](const Link& busy) {
    return busy->job() && busy->job()->attempt == attempt;
  });
  if (link != busy_.end()) drop(*link);
}

void Upstream::close_idle(Time unused_since) {
  std::erase_if(idle_, [&](const Link& link) {
    if (link->last_used > unused_since) return false;
    link->close();
    return true;
  });
}

bool Upstream::close_oldest_idle() {
  if (idle_.empty()) return false;
  const auto oldest = std::min_element(
      idle_.begin(), idle_.end(), [](const Link& a, const Link& b) { return a->last_used < b->last_used; });
  (*oldest)->close();
  idle_.erase(oldest);
  return true;
}

void Upstream::end(AttemptId attempt, Outcome outcome, Answer answer) {
  shared_.attempt_ended(attempt, outcome, std::move(answer));
}

void Upstream::end_soon(AttemptId attempt, Outcome outcome) {
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_), attempt, outcome] {
    if (alive.lock()) end(attempt, outcome);
  });
}

}  // namespace streampick::node
