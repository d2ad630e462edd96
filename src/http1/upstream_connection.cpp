#include "http1/upstream_connection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "http1/protocol.h"
#include "http1/reuse_rules.h"
#include "http1/upstream.h"
#include "net/log.h"

namespace streampick::http1 {

UpstreamConnection::UpstreamConnection(Upstream& owner)
    : owner_(&owner), socket_(owner.io_), timer_(owner.io_) {
  owner.resources_.connections.on_opened();
}

// ---- Connecting and closing

void UpstreamConnection::connect(const net::tcp::endpoint& server, Time timeout) {
  server_ = server;
  net::error_code error;
  socket_.open(server.protocol(), error);
  if (error) {
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->on_connect_ended(false); });
    return;
  }
  socket_.set_option(net::tcp::no_delay(true), error);
  if (timeout > 0) {
    timer_.expires_after(std::chrono::microseconds(timeout));
    timer_.async_wait([self = shared_from_this()](net::error_code cancelled) {
      if (!cancelled) self->on_connect_ended(false);
    });
  }
  socket_.async_connect(
      server, [self = shared_from_this()](net::error_code failed) { self->on_connect_ended(!failed); });
}

void UpstreamConnection::on_connect_ended(bool connected) {
  if (state_ != State::connecting) return;
  timer_.cancel();
  if (!connected) {
    owner_->on_connect_failed(shared_from_this());
    return;
  }
  net::error_code ignored;
  socket_.non_blocking(true, ignored);
  state_ = State::idle;
  owner_->on_connected(shared_from_this());
}

void UpstreamConnection::close() {
  if (state_ == State::closed) return;
  if (stream_.open()) end_stream(engine::BodyStream::State::truncated);
  owner_->resources_.connections.on_closed();
  owner_ = nullptr;
  state_ = State::closed;
  close_socket();
  timer_.cancel();
}

// A request that was given up must not reach the server later, so what the kernel still holds of it is
// discarded.
void UpstreamConnection::close_socket() {
  if (attempt_ && net::has_undelivered_bytes(socket_)) {
    net::close_by_reset(socket_);
    return;
  }
  net::error_code ignored;
  socket_.close(ignored);
}

// ---- Idle connections

bool UpstreamConnection::is_clean() {
  if (decoder_.has_pending()) return false;
  char byte = 0;
  net::error_code error;
  socket_.receive(asio::buffer(&byte, 1), net::tcp::socket::message_peek, error);
  return error == asio::error::would_block;
}

bool UpstreamConnection::watch_idle() {
  if (!reading_ && !is_clean()) return false;
  read();
  return true;
}

// ---- Sending the request

void UpstreamConnection::start(UpstreamAttempt attempt, Time now) {
  state_ = State::sending;
  attempt_ = std::move(attempt);
  request_started_at_ = now;
  received_early_ = false;
  has_received_ = false;
  body_memory_ = {};
  short_memory_ = {};
  net::UpstreamResources& resources = owner_->resources_;
  decoder_.start(std::max<std::uint64_t>(kMaxBufferedResponse, resources.streaming.max_body));
  writer_.start(*attempt_->message, owner_->name_, attempt_->expires, owner_->clock_.fresh());
  if (attempt_->message->upload) subscribe_to_upload();
  if (attempt_->begin_by != kNever) watch_begin_deadline();
  write_request();
  read();
}

// A server begins a request when its last byte has arrived. What has not arrived by `begin_by` must not
// arrive any more.
void UpstreamConnection::watch_begin_deadline() {
  const Time wait = std::max<Time>(0, attempt_->begin_by - owner_->clock_.fresh());
  timer_.expires_after(std::chrono::microseconds(wait));
  timer_.async_wait([self = shared_from_this(), id = attempt_->id](net::error_code cancelled) {
    const bool is_current = !cancelled && self->attempt_ && self->attempt_->id == id;
    if (is_current) self->on_begin_deadline();
  });
}

void UpstreamConnection::on_begin_deadline() {
  if (state_ == State::sending) {
    finish(Outcome::connect_failed, {}, false);
  } else if (net::has_undelivered_bytes(socket_)) {
    net::close_by_reset(socket_);
    finish(Outcome::reset, {}, false);
  }
}

// The downstream calls on_readable while it reads from the client, so the write to the server is posted to
// the event loop.
void UpstreamConnection::subscribe_to_upload() {
  attempt_->message->upload->on_readable = [weak = weak_from_this(), id = attempt_->id] {
    const auto connection = weak.lock();
    if (!connection) return;
    asio::post(connection->socket_.get_executor(), [connection, id] {
      const auto& attempt = connection->attempt_;
      if (connection->owner_ == nullptr || !attempt || !(attempt->id == id)) return;
      if (connection->writer_.starved()) connection->write_request();
    });
  };
}

void UpstreamConnection::write_request() {
  switch (writer_.write(socket_)) {
    case RequestWriter::Progress::complete: return on_request_written();
    case RequestWriter::Progress::blocked: return wait_writable();
    case RequestWriter::Progress::starved: return;
    case RequestWriter::Progress::failed: return fail_write_soon();
  }
}

void UpstreamConnection::wait_writable() {
  socket_.async_wait(net::tcp::socket::wait_write, [self = shared_from_this()](net::error_code failed) {
    if (self->owner_ == nullptr || !self->attempt_) return;
    if (failed || self->disconnected_ || !self->may_resume_writing()) return self->on_write_failed();
    self->write_request();
  });
}

bool UpstreamConnection::may_resume_writing() const {
  const Time now = owner_->clock_.fresh();
  if (now >= attempt_->begin_by || writer_.is_deadline_stale(now)) return false;
  return owner_->observer_.may_write(attempt_->id).has_value();
}

// Posted, since Upstream::send() must not report an outcome before it returns.
void UpstreamConnection::fail_write_soon() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->on_write_failed(); });
}

void UpstreamConnection::on_write_failed() {
  if (owner_ == nullptr || !attempt_) return;
  finish(writer_.complete() ? Outcome::reset : Outcome::connect_failed, {}, false);
}

void UpstreamConnection::on_request_written() {
  state_ = State::receiving;
  ++owner_->resources_.requests_sent;
  if (received_early_) on_malformed("bytes arrived before the request was sent completely");
}

// ---- Receiving the response

void UpstreamConnection::read() {
  if (owner_ == nullptr || reading_ || stream_.paused()) return;
  reading_ = true;
  socket_.async_read_some(asio::buffer(buffer_),
                          [self = shared_from_this()](net::error_code error, std::size_t size) {
                            self->reading_ = false;
                            if (self->owner_ != nullptr) self->on_read(error, size);
                          });
}

void UpstreamConnection::on_read(const net::error_code& error, std::size_t size) {
  if (state_ == State::idle) return owner_->close_connection(shared_from_this());
  if (error) {
    const bool complete =
        error == asio::error::eof && state_ != State::sending && decoder_.complete_at_end_of_connection();
    return complete ? on_response_complete(false) : on_disconnected();
  }
  has_received_ = true;
  if (state_ == State::sending) return on_early_bytes();
  const std::string_view bytes(buffer_.data(), size);
  if (decoder_.has_pending()) {
    std::string joined = decoder_.take_pending();
    joined += bytes;
    decode(joined);
  } else {
    decode(bytes);
  }
  if (attempt_ || stream_.open()) read();
}

// Bytes that arrive before the request was written completely can't be the response to it. The rest of a
// request in memory is still written, since the server may run it, and the attempt then ends as malformed.
// The rest of an upload may take long to arrive from the client and is not sent.
void UpstreamConnection::on_early_bytes() {
  received_early_ = true;
  if (writer_.is_upload()) finish(Outcome::connect_failed, {}, false);
}

// While a write to the socket is pending, it is unknown whether the request will be sent completely, so the
// outcome is reported only after that. If a request was reported as not sent and then was sent after all, a
// retry would make a write take effect twice.
void UpstreamConnection::on_disconnected() {
  if (stream_.open()) return truncate_stream("connection closed or reset by the server");
  disconnected_ = true;
  if (state_ == State::sending && !writer_.starved()) return;
  finish(writer_.complete() ? Outcome::reset : Outcome::connect_failed, {}, false);
}

void UpstreamConnection::decode(std::string_view bytes) {
  while (!bytes.empty()) {
    if (!decoder_.decode(bytes)) return on_malformed(decoder_.error());
    if (state_ == State::draining) decoder_.discard_body();
    if (decoder_.take_head_event() && !on_head()) return;
    if (!on_body()) return;
    if (!decoder_.complete()) {
      if (!bytes.empty()) decoder_.keep_pending(bytes);
      return;
    }
    if (!decoder_.is_interim()) return on_response_complete(decoder_.keep_alive() && bytes.empty());
    if (!decoder_.skip_interim()) return on_malformed("too many interim responses");
    body_memory_ = {};
  }
}

// Returns false if the response was malformed.
bool UpstreamConnection::on_head() {
  if (is_too_soon_after_another())
    return on_malformed("it arrived too soon after the previous response"), false;
  if (!decoder_.has_unambiguous_framing()) return on_malformed("ambiguous message framing"), false;
  if (state_ == State::draining) return true;
  const std::optional<std::uint64_t> length = decoder_.content_length();
  // A body of unknown length may be long: it is buffered for no more time than a body that is known to be
  // long.
  if (!length && decoder_.status() == 200) stream_after(owner_->resources_.streaming.max_buffering_time);
  const std::uint64_t known_length = length.value_or(0);
  const bool is_kept = known_length <= kMaxUnstreamedBody
                           ? buffer_short_body(static_cast<std::size_t>(known_length))
                           : buffer_long_body(known_length);
  if (is_kept) return true;
  on_malformed("body too long, or no memory for it");
  return false;
}

bool UpstreamConnection::is_too_soon_after_another() const {
  if (last_response_at_ == 0) return false;
  return request_started_at_ - last_response_at_ < kSettleTime &&
         owner_->clock_.now() - last_response_at_ < kStrayResponseTime;
}

// Reserves memory to buffer the body, or starts to stream the body. Returns false if neither is possible.
bool UpstreamConnection::buffer_long_body(std::uint64_t length) {
  net::UpstreamResources& resources = owner_->resources_;
  if (length > resources.streaming.max_buffered_body || length > kMaxBufferedResponse)
    return start_streaming();
  auto memory = resources.body_memory.reserve(static_cast<std::size_t>(length));
  if (!memory) return start_streaming();
  body_memory_ = std::move(*memory);
  // Appending would double the allocation, beyond the reservation.
  decoder_.body().reserve(body_memory_.bytes());
  stream_after(resources.streaming.max_buffering_time);
  return true;
}

// As above, for a body that need not be streamed otherwise.
bool UpstreamConnection::buffer_short_body(std::size_t length) {
  if (length <= net::MessageMemory::kUnreserved) return true;
  net::MemoryBudget& budget = owner_->resources_.body_memory.short_messages;
  if (budget.grow(short_memory_, length)) return true;
  if (attempt_->message->accepts_streaming) return start_streaming();
  short_memory_ = budget.hold(length);
  return true;
}

bool UpstreamConnection::buffer_body_of_unknown_length() {
  const std::size_t size = decoder_.body().size();
  return size > kMaxUnstreamedBody ? start_streaming() : buffer_short_body(size);
}

// Returns false if the connection must not be read any further, temporarily or permanently.
bool UpstreamConnection::on_body() {
  const bool buffers = state_ == State::receiving && decoder_.head_received();
  if (buffers && !decoder_.content_length() && !buffer_body_of_unknown_length()) {
    on_malformed("long body without a length that can't be streamed");
    return false;
  }
  if (owner_ == nullptr) return false;
  return !stream_.open() || forward_body();
}

void UpstreamConnection::on_malformed(const std::string& reason) {
  if (stream_.open()) return truncate_stream(reason);
  net::log("malformed response from " + owner_->name_ + ": " + reason);
  finish(Outcome::malformed, {}, false);
}

void UpstreamConnection::on_response_complete(bool reusable) {
  if (stream_.open()) return on_stream_complete(reusable);
  const Outcome outcome = decoder_.outcome();
  engine::Answer answer;
  if (outcome == Outcome::served) {
    answer.content_type = decoder_.content_type();
    answer.body = std::move(decoder_.body());
    answer.memory = std::move(body_memory_);
  } else if (outcome == Outcome::invalid_request) {
    // The request is at fault, not the server: the outcome must not count against the server, and another
    // server would answer the same.
    net::log("status 400 from " + owner_->name_ + " for X-Txn " + attempt_->message->transaction_id);
  }
  finish(outcome, std::move(answer), reusable);
}

// Ends the attempt: makes the connection idle or closes it, then reports the outcome unless the attempt was
// cancelled.
void UpstreamConnection::finish(Outcome outcome, engine::Answer answer, bool reusable) {
  const auto self = shared_from_this();
  Upstream& owner = *owner_;
  const engine::AttemptId id = attempt_->id;
  const bool cancelled = state_ == State::draining;
  const Time now = owner.clock_.now();
  attempt_.reset();
  body_memory_ = {};
  short_memory_ = {};  // of an answer: the downstream, which has it next, counts it
  writer_.clear();
  decoder_.release_body();
  if (outcome == Outcome::served || outcome == Outcome::miss)
    owner.response_time_.observe(now - request_started_at_);
  if (cancelled) timer_.cancel();
  if (reusable) {
    state_ = State::idle;
    last_used_ = now;
    last_response_at_ = now;
    owner.on_response_ended(self, cancelled);
  } else {
    owner.close_connection(self);
  }
  if (!cancelled) owner.report(id, outcome, std::move(answer));
}

// ---- Cancelled attempts

bool UpstreamConnection::can_drain() const {
  return state_ == State::receiving && attempt_->message->operation == engine::Operation::read;
}

void UpstreamConnection::drain(Time max_wait) {
  state_ = State::draining;
  body_memory_ = {};
  short_memory_ = {};
  decoder_.release_body();
  timer_.expires_after(std::chrono::microseconds(max_wait));
  timer_.async_wait([self = shared_from_this()](net::error_code cancelled) {
    if (!cancelled && self->state_ == State::draining) self->owner_->close_connection(self);
  });
}

}  // namespace streampick::http1
