// Reading, time limits and closing of a client connection.
#include "http1/client_session.h"

#include <poll.h>

#include <boost/asio/post.hpp>
#include <utility>

namespace streampick::http1 {

ClientSession::ClientSession(ServerContext& server, net::tcp::socket socket)
    : server_(&server), socket_(std::move(socket)), since_(server.clock.now()) {
  net::error_code ignored;
  socket_.set_option(net::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
  prepare_for_message();
}

// Tries to read at once, since in most cases the first request has arrived already.
void ClientSession::start(SessionLists::Position position) {
  position_ = position;
  net::error_code error;
  const std::size_t count = socket_.read_some(asio::buffer(chunk_), error);
  if (error && error != asio::error::would_block) {
    close();
    return;
  }
  is_caught_up_ = count < chunk_.size();
  if (!error) {
    on_bytes(count);
  }
  wait_for_bytes();
}

// ---- engine::ResponseSink

void ClientSession::respond(std::uint64_t /*tag*/, engine::Response response) {
  if (is_closed()) {
    return;
  }
  if (state_ != State::processing && state_ != State::uploading) {
    return;
  }
  if (state_ == State::uploading) {
    closes_after_response_ = true;  // the rest of the body has not arrived
  }
  send(to_outgoing(std::move(response)));
}

// A read that the event loop did not delay has already reported any earlier disconnect, so no system call is
// needed.
bool ClientSession::client_gone() {
  if (is_closed()) {
    return true;
  }
  if (is_prompt_read_ && !server_->stall_detector.was_stalled()) {
    return false;
  }
  return has_disconnected();
}

Time ClientSession::sending_at() {
  if (is_closed()) {
    return 0;
  }
  return is_client_sending() ? server_->clock.now() : sending_at_;
}

// ---- State

bool ClientSession::has_unread_bytes() const {
  net::error_code ignored;
  return socket_.available(ignored) > 0;
}

bool ClientSession::has_disconnected_unseen() {
  if (is_reading_) {
    return false;
  }
  if (state_ != State::processing && state_ != State::uploading) {
    return false;
  }
  return has_disconnected();
}

// Whether a FIN or RST has arrived. It is found even behind bytes that are unread.
bool ClientSession::has_disconnected() {
  pollfd poll_entry{socket_.native_handle(), POLLRDHUP, 0};
  if (::poll(&poll_entry, 1, 0) <= 0) {
    return false;
  }
  return (poll_entry.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0;
}

bool ClientSession::is_receiving() const {
  switch (state_) {
    case State::accepted:
    case State::idle:
    case State::reading_head:
    case State::reading_body: return true;
    case State::uploading: return !upload_.is_paused();
    case State::processing:
    case State::responding:
    case State::lingering: return false;
  }
  return false;
}

bool ClientSession::is_too_slow(Time now) const {
  if (upload_.is_paused()) {
    return false;
  }
  if (now - last_body_bytes_at_ > kBodyStallTimeout) {
    return true;
  }
  const Time allowed = static_cast<Time>(body_bytes_ / 1'000) * kBodyTimePerKilobyte;
  return now - since_ > kRequestHeadTimeout + allowed;
}

bool ClientSession::time_out() {
  if (is_closed()) {
    return false;
  }
  if (is_receiving() && has_unread_bytes()) {
    return false;
  }
  switch (state_) {
    case State::accepted:
      if (is_silent()) {
        leave();
      } else {
        time_out_request();
      }
      break;
    case State::idle: leave(); break;
    case State::reading_head:
    case State::reading_body:
    case State::uploading: time_out_request(); break;
    case State::processing:
    case State::responding:
    case State::lingering: close(); break;
  }
  return true;
}

void ClientSession::time_out_request() {
  cancel_upload();
  fail(RequestError::timed_out);
}

void ClientSession::close_if_idle() {
  const bool is_between_requests = state_ == State::idle || state_ == State::accepted;
  if (is_between_requests && is_silent() && !has_unread_bytes()) {
    leave();
  }
}

void ClientSession::enter(State state) {
  server_->sessions.move(position_, state_, state);
  state_ = state;
  since_ = server_->clock.now();
}

// Keeps since_: the time limit of a message counts from its first byte, across the states it passes.
void ClientSession::enter_within_message(State state) {
  const Time message_began = since_;
  enter(state);
  since_ = message_began;
}

// ---- Receiving

bool ClientSession::may_read() const {
  switch (state_) {
    case State::processing:
    case State::responding: return read_ahead_.discarded() <= kMaxDiscarded;
    case State::uploading: return !upload_.is_paused();
    default: return true;
  }
}

// An asynchronous read costs no system call but the read itself: the socket is registered with the event loop
// only once.
void ClientSession::wait_for_bytes() {
  if (is_closed() || is_reading_) {
    return;
  }
  if (!may_read()) {
    is_caught_up_ = false;
    return;
  }
  is_reading_ = true;
  socket_.async_read_some(
      asio::buffer(chunk_),
      [self = shared_from_this()](net::error_code error, std::size_t count) { self->on_read(error, count); });
}

void ClientSession::on_read(net::error_code error, std::size_t count) {
  is_reading_ = false;
  if (is_closed()) {
    return;
  }
  if (error) {
    close();
    return;
  }
  const Time now = server_->clock.now();
  if (is_caught_up_) {
    backlog_.on_empty_socket(now - caught_up_at_);
  }
  sending_at_ = sending_at();
  is_caught_up_ = count < chunk_.size();
  caught_up_at_ = now;
  is_prompt_read_ = true;
  on_bytes(count);
  is_prompt_read_ = false;
  wait_for_bytes();
}

void ClientSession::on_bytes(std::size_t count) {
  const std::string_view bytes(chunk_.data(), count);
  if (state_ != State::lingering) {
    server_->load_shedder.on_client_activity();
  }
  switch (state_) {
    case State::accepted:
    case State::idle:
    case State::reading_head:
    case State::reading_body: parse_received(bytes); break;
    case State::uploading:
      read_ahead_.append(bytes, server_->clock.now());
      continue_upload();
      break;
    case State::processing:
    case State::responding: keep_pipelined(bytes); break;
    case State::lingering: discard_lingering(count); break;
  }
}

// A rejected upload may still be arriving: it may have up to the maximum size of a body.
void ClientSession::discard_lingering(std::size_t count) {
  lingering_discarded_ += count;
  if (lingering_discarded_ > (body_abandoned_ ? kMaxUploadBody : kMaxDiscarded)) {
    close();
  }
}

// The socket of a client that keeps sending is still read, so that its disconnect is noticed. Bytes that
// overflow the buffer are discarded, and the connection ends after the last request that was kept.
void ClientSession::keep_pipelined(std::string_view bytes) {
  if (body_abandoned_) {
    return;
  }
  if (!reserve_kept_bytes(bytes.size())) {
    read_ahead_.discard(bytes);
    return;
  }
  if (read_ahead_.append_pipelined(bytes, server_->clock.now(), server_->body_memory)) {
    has_pipelined_bytes_ = true;
  }
}

// Parses a message in the read buffer; only bytes that were not parsed are copied.
void ClientSession::parse_received(std::string_view bytes) {
  if (!read_ahead_.empty()) {
    read_ahead_.append(bytes, server_->clock.now());
    parse_read_ahead();
    return;
  }
  const std::size_t used = parse(bytes);
  read_ahead_.assign(bytes.substr(used), server_->clock.now());
  if (state_ == State::uploading) {
    continue_upload();
  }
  update_kept_reservation();
}

void ClientSession::parse_read_ahead() {
  const std::size_t used = parse(read_ahead_.bytes());
  read_ahead_.consume(used);
  if (state_ == State::uploading) {
    continue_upload();
  }
  read_ahead_.release_unused();
  update_kept_reservation();
}

// ---- Closing

// Closes by a reset: the client must see that the body is incomplete, also where the end of the connection
// marks the end of the body.
void ClientSession::close_truncated() {
  net::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close_soon();
}

// Posted, since close() may report a cancelled request to the engine, which must not happen within a call
// from the engine.
void ClientSession::close_soon() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
}

// Ends a connection that could still be used; no other function does. Closing a socket with unread bytes
// makes the kernel send a reset, which could discard the last response. Therefore only the sending side is
// shut down, and bytes that still arrive are discarded, up to a limit, until the client closes too. A request
// among them is not parsed: its client sends it again on another connection.
void ClientSession::leave() {
  enter(State::lingering);
  read_ahead_.clear();
  lingering_discarded_ = 0;
  net::error_code ignored;
  socket_.shutdown(net::tcp::socket::shutdown_send, ignored);
  wait_for_bytes();
}

void ClientSession::close() {
  if (is_closed()) {
    return;
  }
  ServerContext& server = *std::exchange(server_, nullptr);
  net::error_code ignored;
  socket_.close(ignored);
  writer_.abandon();
  upload_.end(engine::BodyStream::State::truncated);
  const bool is_in_progress = state_ == State::processing || state_ == State::uploading;
  const RequestId cancelled = is_in_progress ? std::exchange(request_, 0) : 0;
  const auto self = shared_from_this();
  server.sessions.erase(position_, state_);
  server.on_session_closed();
  if (cancelled == 0) {
    return;
  }
  ++server.counts.disconnects;
  server.request_handler.on_client_cancelled(cancelled);
}

void ClientSession::detach() {
  server_ = nullptr;
  writer_.close_body();
  upload_.end(engine::BodyStream::State::truncated);
  net::error_code ignored;
  socket_.close(ignored);
}

}  // namespace streampick::http1
