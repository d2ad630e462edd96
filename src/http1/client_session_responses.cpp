// Sends the responses of a session, among them errors and rejections, and continues after each.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "http1/client_session.h"

namespace streampick::http1 {

// Closes the connection, since a client that sent one invalid request usually sends more.
void ClientSession::fail(RequestError error) {
  closes_after_response_ = true;
  send(error_response(error));
}

void ClientSession::fail_parsing(const net::error_code& error) {
  closes_after_response_ = true;
  if (error == http::error::body_limit) {
    send(error_response(RequestError::upload_too_long));
  } else {
    send(malformed_response(error.message()));
  }
}

void ClientSession::reject_without_memory() {
  closes_after_response_ = closes_after_response_ || !parser_->is_done() || !parser_->keep_alive();
  body_abandoned_ = !parser_->is_done();
  const std::uint32_t request_class = index_of(server_->names.classes, head_.lane.value);
  if (request_class != kNone) {
    server_->request_handler.on_rejected_unread(request_class);
  }
  const Time retry_after = server_->load_shedder.retry_after(hash_name(head_.transaction_id.value));
  send(rejection_response(Rejection::no_memory, retry_after));
}

void ClientSession::send(OutgoingResponse response) {
  if (response.status >= 400 && response.status < 500) {
    ++server_->counts.invalid_requests;
  }
  if (upload_.is_open()) {
    upload_.end(engine::BodyStream::State::truncated);
    body_abandoned_ = true;
  }
  release_body();
  if (!response.reservation && response.body.size() > net::MessageMemory::kUnreserved) {
    response.reservation = server_->body_memory.short_messages.hold(response.body.size());
  }
  enter(State::responding);
  request_ = 0;
  decide_persistence();
  if (ResponseWriter::ends_with_connection(response, head_.version)) {
    closes_after_response_ = true;
  }
  writer_.start(std::move(response), head_.version, closes_after_response_);
  if (writer_.is_streaming()) {
    writer_.on_body_readable([weak = weak_from_this()] {
      const auto self = weak.lock();
      if (self && !self->is_closed() && self->writer_.stop_waiting_for_body()) {
        self->write_response();
      }
    });
  }
  write_response();
}

// The body of a request that was rejected: nothing of it is used any more.
void ClientSession::release_body() {
  std::string().swap(body_);
  body_reservation_ = {};
  message_bytes_ = 0;
  kept_reservation_.resize(std::min(kept_reservation_.bytes(), kept_bytes()));
}

// Decides whether the connection ends after this response. It stays open while a pipelined request, even an
// unread one, is to be answered.
void ClientSession::decide_persistence() {
  closes_after_response_ = closes_after_response_ || (read_ahead_.has_overflowed() && !has_pipelined_bytes_);
  if (closes_after_response_) {
    return;
  }
  const bool is_kept = server_->keep_alive.keeps_open(++response_count_, server_->sessions.active());
  if (is_kept && !server_->is_draining) {
    return;
  }
  if (has_pipelined_bytes_ || has_unread_bytes()) {
    return;
  }
  closes_after_response_ = true;
  if (!server_->is_draining) {
    ++server_->counts.closed_under_pressure;
  }
}

void ClientSession::write_response() {
  using Progress = ResponseWriter::Progress;
  Progress progress = writer_.advance(socket_);
  while (progress == Progress::part_ready) {
    enter(State::responding);  // restarts its time limit
    progress = writer_.advance(socket_);
  }
  switch (progress) {
    case Progress::part_ready:
    case Progress::waiting_for_body: return;
    case Progress::would_block: wait_until_writable(); return;
    case Progress::failed: close_soon(); return;
    case Progress::truncated: close_truncated(); return;
    case Progress::complete: break;
  }
  // Posted, since the next request may be in the buffer and must not be started from within the engine's call
  // that gave this response.
  if (closes_after_response_ || !read_ahead_.empty() || !is_reading_) {
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->on_response_written(); });
  } else {
    on_response_written();
  }
}

void ClientSession::wait_until_writable() {
  socket_.async_wait(net::tcp::socket::wait_write, [self = shared_from_this()](net::error_code error) {
    if (self->is_closed()) {
      return;
    }
    if (error) {
      self->close();
    } else {
      self->write_response();
    }
  });
}

void ClientSession::on_response_written() {
  if (is_closed()) {
    return;
  }
  writer_.finish();
  if (closes_after_response_) {
    leave();
    return;
  }
  prepare_for_message();
  enter(State::idle);
  if (!read_ahead_.empty()) {
    parse_read_ahead();
  }
  const bool is_in_progress = state_ == State::processing || state_ == State::responding;
  if (read_ahead_.has_overflowed() && !is_in_progress) {
    on_read_ahead_overflow();
    return;
  }
  wait_for_bytes();
}

// After discarded bytes the start of the next request is unknown, so none can be read. Requests that were
// received completely before them have been answered.
void ClientSession::on_read_ahead_overflow() {
  if (state_ == State::idle) {
    leave();
    return;
  }
  cancel_upload();
  fail(RequestError::read_ahead_overflow);
}

}  // namespace streampick::http1
