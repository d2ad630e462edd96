#include "http1/transport.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <optional>
#include <utility>

#include "http1/protocol.h"
#include "http1/reader.h"
#include "net/log.h"

namespace streampick::http1 {

constexpr int kMostInterim = 16;
constexpr std::size_t kChunk = 16 * 1024;
constexpr Time kRested = 1'000'000;
// A server may send more behind its answer, some milliseconds later, and under the next request that reads as
// the answer to it: nothing in an answer says whose it is. A connection has settled when nothing came for so
// long; if something did, that shows when it is looked at.
constexpr Time kSettled = 5'000;
// Where answers take much longer than that, a read that may be repeated need not wait for it: what comes so
// soon behind another answer is then hardly ever its own, and is not taken for it.
constexpr Time kTooSoon = 10'000;
constexpr double kSlow = 5 * kTooSoon;
// Elsewhere, and where several wait for connections to settle, up to so many are made to one server, to have
// some at rest.
constexpr std::size_t kAtRest = 64;
constexpr std::chrono::seconds kStalled{5};  // without a byte of an answer that is passed on
constexpr Time kStalledUs = std::chrono::microseconds(kStalled).count();
constexpr double kForget = 0.05;  // of the usual time, with each answer
// What the socket does not take at once of a request leaves later, with a deadline in its head that was told
// before. A server may be told 0.15 s too much: of a head, or of all of a usual request, that is not out
// after this long the rest never leaves.
constexpr Time kToldFor = 100'000;

// While a request is out the loop reads its socket: registered once, that costs no system call but the reads.
// Between two requests nothing is read, so that what comes then stays where looking tells of it; on one that
// has been idle for a while the loop reads again, to notice its end.
class Upstream::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Upstream& owner) : owner_(&owner), socket_(owner.io_), timer_(owner.io_) {
    owner.resources_.connections.on_opened();
  }
  ~Connection() = default;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void dial(const net::tcp::endpoint& to, Time time_out) {
    to_ = to;
    net::error_code error;
    socket_.open(to.protocol(), error);
    if (error) {
      asio::post(socket_.get_executor(), [self = shared_from_this()] { self->dialled(false); });
      return;
    }
    socket_.set_option(net::tcp::no_delay(true), error);
    if (time_out > 0) {
      timer_.expires_after(std::chrono::microseconds(time_out));
      timer_.async_wait([self = shared_from_this()](net::error_code cancelled) {
        if (!cancelled) self->dialled(false);
      });
    }
    socket_.async_connect(to,
                          [self = shared_from_this()](net::error_code failed) { self->dialled(!failed); });
  }

  // Whatever has come since the last answer belongs to no request: noise, a second copy of the answer, or
  // the end. Taken for the next request's answer it would serve a client with another's.
  bool clean() {
    if (!behind_.empty()) return false;
    char byte = 0;
    net::error_code error;
    socket_.receive(asio::buffer(&byte, 1), net::tcp::socket::message_peek, error);
    return error == asio::error::would_block;
  }

  void start(Job job, Time now) {
    job_ = std::move(job);
    began = now;
    early_ = false;
    heard = false;
    interim_ = 0;
    next_answer();
    const engine::Message& message = *job_->message;
    const bool put = message.operation == engine::Operation::write;
    head_out_ = put ? "PUT " : "GET ";
    head_out_.append(message.target).append(" HTTP/1.1\r\nHost: ").append(owner_->name_);
    head_out_.append("\r\nX-Txn: ").append(message.transaction_id);
    told_at_ = owner_->clock_.fresh();
    append_seconds(head_out_.append("\r\nX-Remaining: "), job_->expires - told_at_);
    if (!message.idempotency_key.empty())
      head_out_.append("\r\nIdempotency-Key: ").append(message.idempotency_key);
    if (!message.content_type.empty()) head_out_.append("\r\nContent-Type: ").append(message.content_type);
    const engine::BodyStream* upload = message.upload.get();
    if (upload != nullptr && !upload->length()) {
      head_out_ += "\r\nTransfer-Encoding: chunked";
    } else if (put || !message.body.empty()) {
      append_number(head_out_.append("\r\nContent-Length: "),
                    upload != nullptr ? *upload->length() : message.body.size());
    }
    head_out_ += "\r\n\r\n";
    written_ = 0;
    writing_ = true;
    upload_begun_ = false;
    body_out_ = upload != nullptr ? BodyOut::comes : BodyOut::none;
    if (upload != nullptr)
      // Called by the front, from within what it reads: the writing waits for a turn of the loop.
      message.upload->on_readable = [weak = weak_from_this(), attempt = job_->attempt] {
        if (const auto link = weak.lock())
          asio::post(link->socket_.get_executor(), [link, attempt] {
            if (link->owner_ != nullptr && link->job_ && link->job_->attempt == attempt && link->starved_)
              link->push();
          });
      };
    push();
    wait();
  }

  // Idle for long: from here on its end is noticed. False: it has ended already.
  bool rest() {
    if (!waiting_ && !clean()) return false;
    wait();
    return true;
  }

  // Does not tell the owner.
  void close() {
    if (owner_ == nullptr) return;
    if (stream_) end_stream(engine::BodyStream::State::truncated);
    owner_->resources_.connections.on_closed();
    owner_ = nullptr;
    net::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

  const std::optional<Job>& job() const { return job_; }
  const net::tcp::endpoint& to() const { return to_; }
  Time last_used = 0, answered_at = 0, began = 0;  // answered_at: 0, no answer came on it yet
  bool heard = false;                              // a byte of the answer, since the request began

  // Nobody waits for the answer any more. Whether it may be waited for, to use the connection again: the
  // request must be out whole, and nothing of what came so far against it.
  bool can_drain() const {
    return job_ && whole() && !writing_ && !broken_ && !early_ &&
           job_->message->operation == engine::Operation::read;
  }
  void drain(Time longest) {
    drained_ = true;
    reservation_ = {};
    body_.clear();
    timer_.expires_after(std::chrono::microseconds(longest));
    timer_.async_wait([self = shared_from_this()](net::error_code cancelled) {
      if (!cancelled && self->owner_ != nullptr && self->drained_) self->owner_->drop(self);
    });
  }

 private:
  // Of a body that goes on as it comes, the part in hand stands behind the head, or is the body itself.
  const std::string& body_part() const {
    return body_out_ == BodyOut::none ? job_->message->body : upload_part_;
  }
  bool part_out() const { return written_ == head_out_.size() + body_part().size(); }
  bool whole() const { return part_out() && (body_out_ == BodyOut::none || body_out_ == BodyOut::ended); }

  // Puts the next part of a long body to be written. False: none is there, or it will never be whole.
  bool next_part() {
    engine::BodyStream& upload = *job_->message->upload;
    starved_ = false;
    upload_begun_ = true;
    head_out_.clear();
    written_ = 0;
    upload_part_.clear();
    if (upload.read(upload_part_)) {
      if (upload.length()) return true;
      std::array<char, 20> size{};
      head_out_.assign(size.data(),
                       std::to_chars(size.data(), size.data() + size.size(), upload_part_.size(), 16).ptr);
      head_out_ += "\r\n";
      upload_part_ += "\r\n";
      return true;
    }
    if (upload.state() == engine::BodyStream::State::complete) {
      body_out_ = BodyOut::ended;
      if (!upload.length()) head_out_ = "0\r\n\r\n";
      return true;
    }
    starved_ = upload.state() == engine::BodyStream::State::open;
    // Its client has gone: what the server has of it is no request.
    if (!starved_) broke_soon();
    return false;
  }
  void broke_soon() {
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->written(true); });
  }

  /// Whether the rest of what the socket did not take at once may still leave.
  bool may_go_on() const {
    if (tells_too_much()) return false;
    return owner_->outcomes_.may_write(job_->attempt).has_value();
  }
  bool tells_too_much() const {
    if (upload_begun_) return false;
    const bool head_out = written_ >= head_out_.size();
    if (head_out && job_->message->body.size() > kLongestBody) return false;
    return owner_->clock_.fresh() - told_at_ > kToldFor;
  }

  // Writes what the socket takes; waits only when it takes no more.
  void push() {
    while (!whole()) {
      if (part_out()) {
        if (!next_part()) return;
        continue;
      }
      net::error_code error;
      written_ += write_rest(socket_, head_out_, body_part(), written_, error);
      if (error == asio::error::would_block) {
        socket_.async_wait(net::tcp::socket::wait_write, [self = shared_from_this()](net::error_code failed) {
          if (self->owner_ == nullptr || !self->job_) return;
          if (failed || self->broken_ || !self->may_go_on()) return self->written(true);
          self->push();
        });
        return;
      }
      if (error) {
        // Not from within the call that sent it.
        broke_soon();
        return;
      }
    }
    writing_ = false;
    ++owner_->resources_.requests_sent;
    if (early_) written(false);
  }

  void dialled(bool made) {
    if (owner_ == nullptr || made_) return;
    timer_.cancel();
    made_ = made;
    const auto self = shared_from_this();
    if (!made) {
      owner_->dial_failed(self);
      return;
    }
    net::error_code error;
    socket_.non_blocking(true, error);
    owner_->dialling_.erase(self);
    owner_->came_free(self);
  }

  void next_answer() {
    parser_.emplace(head_, body_,
                    std::max<std::uint64_t>(kLongestAnswer, owner_->resources_.streaming.max_body));
    reservation_ = {};
    header_seen_ = false;
  }

  void wait() {
    if (owner_ == nullptr || waiting_ || held_) return;
    waiting_ = true;
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](net::error_code error, std::size_t got) {
                              self->waiting_ = false;
                              if (self->owner_ != nullptr) self->read(error, got);
                            });
  }

  void read(const net::error_code& error, std::size_t got) {
    if (!job_ && !stream_) return owner_->drop(shared_from_this());  // closed, or what nobody asked for
    if (error) {
      // The head of an answer without a body says it all; a 200 with no length ends with its connection, if
      // that is ended in order: a server that dies resets it.
      const bool told = error == asio::error::eof && !writing_ && parser_->is_header_done() &&
                        head_.status >= 200 && (head_.status != 200 || parser_->need_eof());
      return told ? answered(false) : broke();
    }
    heard = true;
    // An answer to a request that is not out yet is not an answer to it.
    if (writing_) {
      early_ = true;
      // Of a long body the rest may be long in coming, and is of no use any more.
      if (body_out_ != BodyOut::none) return finish(Outcome::connect_failed, {}, false);
      return;
    }
    const std::string_view bytes(chunk_.data(), got);
    if (behind_.empty()) {
      parse(bytes);
    } else {
      std::string all = std::exchange(behind_, {});
      all += bytes;
      parse(all);
    }
    if (job_ || stream_) wait();
  }

  void parse(std::string_view bytes) {
    while (!bytes.empty()) {
      net::error_code failed;
      bytes.remove_prefix(parser_->read(bytes, failed));
      if (failed) return spoilt(failed.message());
      if (drained_) body_.clear();
      if (parser_->is_header_done() && !std::exchange(header_seen_, true)) {
        if (answered_at > 0 && began - answered_at < kSettled &&
            owner_->clock_.now() - answered_at < kTooSoon)
          return spoilt("it came too soon behind another");
        if (!head_.framing.plain(head_.version)) return spoilt("length in doubt");
        const std::uint64_t length = parser_->content_length().value_or(0);
        // Without a length nobody knows how long it is: it is waited for no longer than a long one.
        if (!parser_->content_length() && head_.status == 200 && !drained_)
          pass_on_after(owner_->resources_.streaming.max_buffering_time);
        if (length > kLongestBody && !drained_) {
          auto reservation =
              length <= owner_->resources_.streaming.max_buffered_body && length <= kLongestAnswer
                  ? owner_->resources_.body_memory.reserve(static_cast<std::size_t>(length))
                  : std::nullopt;
          if (reservation) {
            reservation_ = std::move(*reservation);
            pass_on_after(owner_->resources_.streaming.max_buffering_time);
          } else if (!begin_parts()) {
            return spoilt("no memory for its body, or too long");
          }
        }
      }
      if (header_seen_ && !stream_ && !drained_ && !parser_->content_length() &&
          body_.size() > kLongestBody && !begin_parts())
        return spoilt("a long body of no stated length");
      if (owner_ == nullptr || (stream_ && !pass_on())) return;
      if (parser_->is_done()) {
        // An interim answer stands before the real one. By its number: to Beast's own table not every one
        // of them has a name, and 103 would be taken for the answer.
        if (head_.status / 100 == 1) {
          if (++interim_ > kMostInterim) return spoilt("interim answers without end");
          next_answer();
          continue;
        }
        return answered(parser_->keep_alive() && bytes.empty());
      }
      if (!bytes.empty()) behind_ = bytes;  // part of a line
      return;
    }
  }

  // What is long and slow is not waited for: its client is owed the first bytes.
  void pass_on_after(Time wait) {
    timer_.expires_after(std::chrono::microseconds(wait));
    timer_.async_wait([self = shared_from_this(), attempt = job_->attempt](net::error_code cancelled) {
      if (cancelled || self->owner_ == nullptr || !self->job_ || self->stream_ || self->drained_ ||
          !(self->job_->attempt == attempt) || !self->header_seen_)
        return;
      if (self->begin_parts()) self->pass_on();
    });
  }

  // From here on what comes of the body is passed on. The attempt has its answer: what happens to the rest
  // happens to an answer that the client has begun to read.
  bool begin_parts() {
    net::UpstreamResources& resources = owner_->resources_;
    const auto length = parser_->content_length();
    if (!job_->message->accepts_streaming || head_.status != 200) return false;
    if (length && *length > resources.streaming.max_body) return false;
    auto reservation = resources.body_memory.reserve(kPartsWaiting);
    if (!reservation) return false;
    reservation_ = std::move(*reservation);
    stream_ = std::make_shared<engine::BodyStream>(
        length ? std::optional<std::uint64_t>(*length) : std::nullopt, kPartsWaiting);
    const auto self = shared_from_this();
    // Called by the reader, perhaps from within the engine: what they do waits for a turn of the loop.
    const auto post = [weak = weak_from_this()](void (Connection::*what)()) {
      if (const auto link = weak.lock())
        asio::post(link->socket_.get_executor(), [link, what] { (link.get()->*what)(); });
    };
    stream_->on_writable = [post] { post(&Connection::go_on); };
    stream_->on_reader_closed = [post] { post(&Connection::unwanted); };
    Upstream& owner = *owner_;
    ++owner.resources_.streams.started;
    ++owner.resources_.streams.open;
    owner.busy_.erase(self);
    owner.passing_.insert(self);
    owner.answered_after(owner.clock_.now() - began);
    engine::Answer answer;
    answer.content_type = head_.content_type.value;
    answer.stream = engine::BodyReader(stream_);
    const engine::AttemptId attempt = job_->attempt;
    job_.reset();
    watch_progress();
    owner.end(attempt, Outcome::served, std::move(answer));
    return true;
  }

  // False: this connection is read no further for now, or for good.
  bool pass_on() {
    if (owner_ == nullptr || !stream_) return false;
    const bool whole = parser_->is_done();
    if (stream_->bytes_written() + body_.size() > owner_->resources_.streaming.max_body)
      return cut("it does not end"), false;
    const bool more = stream_->write(body_);
    body_.clear();
    progress_ = owner_->clock_.now();
    if (!whole) held_ = !more;
    return true;
  }
  void go_on() {
    if (owner_ == nullptr || !stream_ || !held_) return;
    held_ = false;
    progress_ = owner_->clock_.now();
    wait();
  }
  void unwanted() {
    if (owner_ == nullptr || !stream_) return;
    ++owner_->resources_.streams.abandoned;
    end_stream(engine::BodyStream::State::truncated);
    owner_->drop(shared_from_this());
  }
  void cut(const std::string& why) {
    net::log("answer from " + owner_->name_ + " cut: " + why);
    ++owner_->resources_.streams.truncated;
    const auto self = shared_from_this();
    end_stream(engine::BodyStream::State::truncated);
    owner_->drop(self);
  }
  void end_stream(engine::BodyStream::State how) {
    const auto stream = std::exchange(stream_, nullptr);
    stream->on_writable = stream->on_reader_closed = nullptr;
    --owner_->resources_.streams.open;
    reservation_ = {};
    held_ = false;
    timer_.cancel();
    stream->end(how);
  }
  // A server that stops in the midst of an answer; a client that does is its front's to end.
  void watch_progress() {
    progress_ = owner_->clock_.now();
    timer_.expires_after(kStalled);
    timer_.async_wait([self = shared_from_this()](net::error_code cancelled) {
      if (cancelled || self->owner_ == nullptr || !self->stream_) return;
      const bool stalled = !self->held_ && self->owner_->clock_.now() - self->progress_ >= kStalledUs;
      if (stalled) return self->cut("nothing came for long");
      const Time progress = self->progress_;
      self->watch_progress();
      self->progress_ = progress;
    });
  }

  void spoilt(const std::string& why) {
    if (stream_) return cut(why);
    net::log("bad answer from " + owner_->name_ + ": " + why);
    finish(Outcome::malformed, {}, false);
  }

  void answered(bool keep) {
    if (stream_) return passed(keep);
    const unsigned status = head_.status;
    Outcome outcome = Outcome::error;
    engine::Answer answer;
    if (status == 200) {
      outcome = Outcome::served;
      answer.content_type = head_.content_type.value;
      answer.body = std::move(body_);
      answer.memory = std::move(reservation_);
    } else if (status == 404) {
      outcome = Outcome::miss;
    } else if ((status == 503 || status == 504) && head_.turned_away.value == "1") {
      // Without the header the server may have run it: a bare 503 must never free a write to be resent.
      outcome = Outcome::overloaded;
    } else if (status == 400) {
      // Not the server's fault: it must not count against it, and the next one would say the same.
      net::log("400 from " + owner_->name_ + " for " + job_->message->transaction_id);
      outcome = Outcome::invalid_request;
    }
    finish(outcome, std::move(answer), keep);
  }

  // The last part is on.
  void passed(bool keep) {
    Upstream& owner = *owner_;
    const auto self = shared_from_this();
    end_stream(engine::BodyStream::State::complete);
    std::string().swap(body_);
    owner.passing_.erase(self);
    if (!keep) return owner.drop(self);
    last_used = answered_at = owner.clock_.now();
    owner.came_free(self);
  }

  // While a write is under way nobody knows how much of the request has left: the verdict waits for
  // its end. To call it never sent too early would let a write run twice.
  void broke() {
    if (stream_) return cut("its connection broke");
    broken_ = true;
    if (!writing_ || starved_) finish(whole() ? Outcome::reset : Outcome::connect_failed, {}, false);
  }

  void written(bool error) {
    writing_ = false;
    if (owner_ == nullptr || !job_) return;
    if (error || broken_) return finish(whole() ? Outcome::reset : Outcome::connect_failed, {}, false);
    if (early_) spoilt("an answer before its request");
  }

  void finish(Outcome outcome, engine::Answer answer, bool keep) {
    const auto self = shared_from_this();
    Upstream& owner = *owner_;
    const engine::AttemptId attempt = job_->attempt;
    job_.reset();
    reservation_ = {};
    starved_ = false;
    std::string().swap(upload_part_);
    std::string().swap(body_);
    const Time now = owner.clock_.now();
    if (outcome == Outcome::served || outcome == Outcome::miss) owner.answered_after(now - began);
    if (drained_) {
      drained_ = false;
      timer_.cancel();
      owner.stop_draining(self);
      if (!keep) return owner.drop(self);
      ++owner.resources_.drains.reused;
      last_used = answered_at = now;
      return owner.came_free(self);
    }
    if (keep) {
      last_used = answered_at = now;
      owner.busy_.erase(self);
      owner.came_free(self);
    } else {
      owner.drop(self);
    }
    owner.end(attempt, outcome, std::move(answer));
  }

  Upstream* owner_;  // none once it is closed
  net::tcp::endpoint to_;
  net::tcp::socket socket_;
  asio::steady_timer timer_;  // of the dial
  std::string behind_;        // came, and is not read yet: part of a line
  std::optional<Job> job_;
  std::string head_out_;       // of the request; its body is the job's
  std::size_t written_ = 0;    // of both
  Time told_at_ = 0;           // when the deadline in the head was read off the clock
  bool upload_begun_ = false;  // the head is out, and a part of a body that goes on as it comes may be
  enum class BodyOut : std::uint8_t { none, comes, ended } body_out_ = BodyOut::none;
  std::string upload_part_;  // of a body that goes on as it comes
  ResponseHead head_;
  std::string body_;
  std::optional<ResponseReader> parser_;
  engine::MemoryReservation reservation_;
  std::shared_ptr<engine::BodyStream> stream_;  // where the body goes that comes in parts
  Time progress_ = 0;                           // when it last moved
  int interim_ = 0;
  bool header_seen_ = false;
  bool made_ = false, waiting_ = false, writing_ = false, broken_ = false, early_ = false, drained_ = false,
       held_ = false, starved_ = false;
  std::array<char, kChunk> chunk_;
};

Upstream::Upstream(asio::io_context& io, engine::TimeSource& clock, net::UpstreamResources& resources,
                   engine::AttemptObserver& outcomes, std::string name)
    : io_(io),
      clock_(clock),
      resources_(resources),
      outcomes_(outcomes),
      name_(std::move(name)),
      settled_(io),
      alive_(std::make_shared<bool>(true)) {}

Upstream::~Upstream() {
  for (const Link& link : idle_) link->close();
  for (const Link& link : busy_) link->close();
  for (const Link& link : draining_) {
    --resources_.drains.active;
    link->close();
  }
  for (const Link& link : dialling_) link->close();
  const auto passing = std::exchange(passing_, {});
  for (const Link& link : passing) link->close();
}

void Upstream::set_address(const std::string& address) {
  if (address == address_text_) return;
  const auto endpoint = net::parse_endpoint(address);
  if (!endpoint) return net::log("address of " + name_ + " can't be read: " + address.substr(0, 80));
  address_text_ = address;
  address_ = *endpoint;
  // They lead to where the server no longer is. What is under way there may still be answered; its
  // connection is not used again.
  close_idle(kNever);
  for (const Link& link : std::exchange(dialling_, {})) link->close();
  dial_for_those_who_wait();
}

void Upstream::stop_sending_at(Time at) {
  engine::Upstream::stop_sending_at(at);
  if (clock_.now() < at) return;
  end_those_who_wait(Outcome::not_sent);
  for (const Link& link : std::exchange(dialling_, {})) link->close();
}

void Upstream::end_those_who_wait(Outcome outcome) {
  for (const Job& job : std::exchange(waiting_, {})) end_soon(job.attempt, outcome);
}

void Upstream::send(engine::AttemptId attempt, std::shared_ptr<const engine::Message> message, Time expires,
                    Time begin_by) {
  // Commands of another protocol have no form here.
  if (message->operation == engine::Operation::other_read ||
      message->operation == engine::Operation::other_write)
    return end_soon(attempt, Outcome::invalid_request);
  waiting_.push_back({attempt, std::move(message), expires, begin_by});
  serve_those_who_wait();
}

// An idle connection for the job, the most recently used first; none: there is none yet.
Upstream::Link Upstream::take_idle(const Job& job) {
  const bool may_doubt = job.message->repeatable && usual_ >= kSlow;
  for (std::size_t i = idle_.size(); i-- > 0;) {
    const Link link = idle_[i];
    if (!may_doubt && clock_.now() - link->answered_at < kSettled) continue;
    idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(i));
    if (link->clean()) return link;
    link->close();
  }
  return nullptr;
}

void Upstream::serve_those_who_wait() {
  while (!waiting_.empty()) {
    const Link link = take_idle(waiting_.front());
    if (!link) break;
    Job job = std::move(waiting_.front());
    waiting_.pop_front();
    busy_.insert(link);
    start(link, std::move(job));
  }
  dial_for_those_who_wait();
  if (waiting_.empty() || idle_.empty()) return;
  // What has not settled yet may do so before a dial is made.
  const auto first = std::min_element(idle_.begin(), idle_.end(), [](const Link& a, const Link& b) {
    return a->answered_at < b->answered_at;
  });
  const Time wait = std::max<Time>(0, (*first)->answered_at + kSettled - clock_.now());
  settled_.expires_after(std::chrono::microseconds(wait));
  settled_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](net::error_code cancelled) {
    if (!cancelled && alive.lock()) serve_those_who_wait();
  });
}

// A connection that settles soon is worth a short wait where answers take long: a new one costs its server
// more.
void Upstream::dial_for_those_who_wait() {
  while (waiting_.size() > dialling_.size()) {
    const bool must = waiting_.size() > dialling_.size() + idle_.size();
    const std::size_t open = idle_.size() + busy_.size() + dialling_.size();
    const bool worth = (usual_ > 0 && usual_ < kTooSoon) || waiting_.size() > dialling_.size() + 1;
    if (!must && (!worth || open >= kAtRest || !resources_.connections.has_capacity())) return;
    if (!resources_.connections.has_capacity()) resources_.evict_idle_connection();
    if (!resources_.connections.has_capacity()) {
      net::log("no descriptor left for a connection to " + name_);
      end_soon(waiting_.back().attempt, Outcome::connect_failed);
      waiting_.pop_back();
      continue;
    }
    dial();
  }
}

void Upstream::dial() {
  ++resources_.connect_attempts;
  const auto link = std::make_shared<Connection>(*this);
  dialling_.insert(link);
  link->dial(address_, resources_.connect_timeout);
}

// All rules count from a request's first byte: an attempt that waited for its connection until its server
// left, past its own time or until its client went must not go out.
bool Upstream::may_begin(Job& job) {
  const Time now = clock_.fresh();
  if (now >= sending_stops_at_ || now >= std::min(job.expires, job.begin_by)) return false;
  const std::optional<Time> deadline = outcomes_.may_write(job.attempt);
  if (!deadline || now >= *deadline) return false;
  job.expires = std::min(job.expires, *deadline);
  return true;
}

void Upstream::start(const Link& link, Job job) {
  if (!may_begin(job)) {
    busy_.erase(link);
    idle_.push_back(link);
    return end_soon(job.attempt, Outcome::not_sent);
  }
  link->start(std::move(job), clock_.now());
}

// A connection was made or has served its request: whoever waits longest takes it, as soon as may be.
void Upstream::came_free(const Link& link) {
  if (link->last_used == 0) link->last_used = clock_.now();
  if (link->to() != address_ || clock_.now() >= sending_stops_at_) {
    drop(link);
  } else {
    idle_.push_back(link);
  }
  serve_those_who_wait();
}

void Upstream::dial_failed(const Link& link) {
  drop(link);
  // For each that waits one dials or settles: one fails for each dial that failed.
  if (waiting_.size() <= dialling_.size() + idle_.size()) return;
  const Job job = std::move(waiting_.front());
  waiting_.pop_front();
  end(job.attempt, Outcome::connect_failed);
}

void Upstream::drop(const Link& link) {
  const Link keep = link;
  stop_draining(keep);
  keep->close();
  if (passing_.erase(keep) + busy_.erase(keep) + dialling_.erase(keep) == 0) std::erase(idle_, keep);
}

void Upstream::stop_draining(const Link& link) {
  if (draining_.erase(link) > 0) --resources_.drains.active;
}

bool Upstream::cancel_unsent(engine::AttemptId attempt) {
  // A dial goes on: the server has begun its work, the pool takes the result.
  return std::erase_if(waiting_, [&](const Job& waits) { return waits.attempt == attempt; }) > 0;
}

void Upstream::cancel(engine::AttemptId attempt, engine::CancelReason reason) {
  if (cancel_unsent(attempt)) return;
  const auto link = std::find_if(busy_.begin(), busy_.end(), [&](const Link& busy) {
    return busy->job() && busy->job()->attempt == attempt;
  });
  if (link == busy_.end()) return;
  const Link found = *link;
  const overload::CancellationPolicy::CancelledAttempt facts{
      .elapsed = clock_.now() - found->began,
      .usual_latency = static_cast<Time>(usual_),
      .draining = resources_.drains.active,
      .open_connections = resources_.connections.open(),
      .draining_at_endpoint = draining_.size()};
  const Time longest = reason == engine::CancelReason::no_longer_needed && found->can_drain() &&
                               clock_.now() < sending_stops_at_
                           ? resources_.cancellation.drain_timeout(facts)
                           : 0;
  if (reason == engine::CancelReason::timed_out && !found->heard) close_silent_as(*found);
  if (longest <= 0) return drop(found);
  busy_.erase(found);
  draining_.insert(found);
  ++resources_.drains.active;
  ++resources_.drains.started;
  found->drain(longest);
}

// Nothing came on it for as long as its request could wait: the server may have forgotten its connections,
// and each that has not been heard on since would lose a request in the same way.
void Upstream::close_silent_as(const Connection& silent) {
  std::erase_if(idle_, [&](const Link& link) {
    if (link->last_used >= silent.began) return false;
    link->close();
    return true;
  });
}

void Upstream::close_idle(Time unused_since) {
  std::erase_if(idle_, [&](const Link& link) {
    const bool young = link->last_used + kRested > clock_.now();
    if (link->last_used > unused_since && (young || link->rest())) return false;
    link->close();
    return true;
  });
  if (unused_since == kNever)
    while (!draining_.empty()) drop(*draining_.begin());
}

bool Upstream::close_oldest_idle() {
  if (!draining_.empty()) {
    drop(*draining_.begin());
    return true;
  }
  if (idle_.empty()) return false;
  const auto oldest = std::min_element(
      idle_.begin(), idle_.end(), [](const Link& a, const Link& b) { return a->last_used < b->last_used; });
  (*oldest)->close();
  idle_.erase(oldest);
  return true;
}

void Upstream::answered_after(Time took) {
  usual_ += (static_cast<double>(took) - usual_) * (usual_ > 0 ? kForget : 1);
}

void Upstream::end(engine::AttemptId attempt, Outcome outcome, engine::Answer answer) {
  outcomes_.on_attempt_ended(attempt, outcome, std::move(answer));
}

void Upstream::end_soon(engine::AttemptId attempt, Outcome outcome) {
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_), attempt, outcome] {
    if (alive.lock()) end(attempt, outcome);
  });
}

}  // namespace streampick::http1
