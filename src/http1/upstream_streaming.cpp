// The part of UpstreamConnection that forwards a response body while it still arrives.
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "http1/protocol.h"
#include "http1/upstream.h"
#include "http1/upstream_connection.h"
#include "net/log.h"

namespace streampick::http1 {

// Starts to stream a body that is still incomplete `wait` microseconds after its head, so that the client
// gets the first bytes before the end of the body has arrived.
void UpstreamConnection::stream_after(Time wait) {
  timer_.expires_after(std::chrono::microseconds(wait));
  timer_.async_wait([self = shared_from_this(), id = attempt_->id](net::error_code cancelled) {
    if (cancelled || self->state_ != State::receiving || !(self->attempt_->id == id)) return;
    if (!self->decoder_.head_received()) return;
    if (self->start_streaming()) self->forward_body();
  });
}

// Ends the attempt as served, with the stream as its body. A failure after that truncates a response that the
// client has begun to read. Returns false if the response can't be streamed.
bool UpstreamConnection::start_streaming() {
  net::UpstreamResources& resources = owner_->resources_;
  const std::optional<std::uint64_t> length = decoder_.content_length();
  if (!attempt_->message->accepts_streaming || decoder_.status() != 200) return false;
  if (length && *length > resources.streaming.max_body) return false;
  if (!resources.body_memory.grow(body_memory_, kStreamBufferSize)) return false;
  const auto self = shared_from_this();
  Upstream& owner = *owner_;
  const Time now = owner.clock_.now();
  stream_.start(length, std::move(body_memory_), make_posted_callback(&UpstreamConnection::resume_reading),
                make_posted_callback(&UpstreamConnection::on_reader_closed), now);
  state_ = State::streaming;
  owner.on_streaming_started(self);
  owner.response_time_.observe(now - request_started_at_);
  engine::Answer answer;
  answer.content_type = decoder_.content_type();
  answer.stream = stream_.reader();
  const engine::AttemptId id = attempt_->id;
  attempt_.reset();
  short_memory_ = {};
  writer_.clear();
  watch_for_stall();
  owner.report(id, Outcome::served, std::move(answer));
  return true;
}

// Makes a callback for the stream's reader. The reader may call it from within the engine, so the handler is
// posted to the event loop.
std::function<void()> UpstreamConnection::make_posted_callback(Handler handler) {
  return [weak = weak_from_this(), handler] {
    const auto connection = weak.lock();
    if (!connection) return;
    asio::post(connection->socket_.get_executor(), [connection, handler] { (connection.get()->*handler)(); });
  };
}

// Returns false if the connection must not be read any further.
bool UpstreamConnection::forward_body() {
  if (owner_ == nullptr || !stream_.open()) return false;
  std::string& body = decoder_.body();
  if (stream_.bytes_written() + body.size() > owner_->resources_.streaming.max_body) {
    truncate_stream("body longer than the limit");
    return false;
  }
  stream_.write(std::move(body), decoder_.complete(), owner_->clock_.now());
  return true;
}

void UpstreamConnection::resume_reading() {
  if (owner_ == nullptr || !stream_.open() || !stream_.paused()) return;
  stream_.resume(owner_->clock_.now());
  read();
}

void UpstreamConnection::on_reader_closed() {
  if (owner_ == nullptr || !stream_.open()) return;
  ++owner_->resources_.streams.abandoned;
  end_stream(engine::BodyStream::State::truncated);
  owner_->close_connection(shared_from_this());
}

// Detects a server that stops sending in the middle of a response. A client that stops reading is detected by
// the downstream.
void UpstreamConnection::watch_for_stall() {
  timer_.expires_after(std::chrono::microseconds(ResponseStream::kStallTimeout));
  timer_.async_wait([self = shared_from_this()](net::error_code cancelled) {
    if (cancelled || self->owner_ == nullptr || !self->stream_.open()) return;
    if (self->stream_.is_stalled(self->owner_->clock_.now()))
      return self->truncate_stream("server stopped sending");
    self->watch_for_stall();
  });
}

void UpstreamConnection::end_stream(engine::BodyStream::State state) {
  --owner_->resources_.streams.open;
  timer_.cancel();
  stream_.end(state);
}

void UpstreamConnection::truncate_stream(const std::string& reason) {
  net::log("response from " + owner_->name_ + " truncated: " + reason);
  ++owner_->resources_.streams.truncated;
  const auto self = shared_from_this();
  end_stream(engine::BodyStream::State::truncated);
  owner_->close_connection(self);
}

void UpstreamConnection::on_stream_complete(bool reusable) {
  Upstream& owner = *owner_;
  const auto self = shared_from_this();
  end_stream(engine::BodyStream::State::complete);
  decoder_.release_body();
  if (!reusable) return owner.close_connection(self);
  state_ = State::idle;
  last_used_ = owner.clock_.now();
  last_response_at_ = last_used_;
  owner.on_response_ended(self, false);
}

}  // namespace streampick::http1
