// Parses received bytes and passes requests and streamed uploads to the engine.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>
#include <variant>

#include "http1/client_session.h"
#include "http1/request_validation.h"

namespace streampick::http1 {
namespace {

constexpr std::string_view kHealthCheckPath = "/up";
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
// A head is kept by the session, in the message for the engine, and by the connection to a server.
constexpr std::size_t kHeadCopies = 3;

}  // namespace

void ClientSession::prepare_for_message() {
  parser_.emplace(head_, body_, kMaxUploadBody);
  head_checked_ = false;
  continue_sent_ = false;
  body_bytes_ = 0;
  body_reservation_ = {};
  message_bytes_ = 0;
}

// Returns the number of bytes that were consumed. Bytes after a complete message are not consumed.
std::size_t ClientSession::parse(std::string_view bytes) {
  // A first request stays in `accepted`: its time counts from the accept, however slowly it arrives.
  if (state_ == State::idle && !bytes.empty()) {
    enter(State::reading_head);
  }
  net::error_code error;
  const std::size_t used = parser_->read(bytes, error);
  has_pipelined_bytes_ = used < bytes.size();
  if (error) {
    body_abandoned_ = parser_->is_header_done();
    fail_parsing(error);
    return used;
  }
  if (!parser_->is_header_done()) {
    return used;
  }
  if (!std::exchange(head_checked_, true) && !accept_head()) {
    return used;
  }
  on_body_bytes(used);
  if (parser_->is_done()) {
    // A pipelined request arrived while the one before it was processed.
    sending_at_ = read_ahead_.empty() ? server_->clock.now() : read_ahead_.arrived_at(used);
    on_message_complete();
  } else {
    on_message_incomplete();
  }
  return used;
}

bool ClientSession::accept_head() {
  if (!head_.framing.is_unambiguous(head_.version)) {
    fail(RequestError::ambiguous_framing);
    return false;
  }
  return !shed_load();
}

// Rejects the request while the event loop lags, before its body is read or its head is validated. A
// request that is visibly invalid is not rejected here: the validation reports its error.
bool ClientSession::shed_load() {
  if (server_->load_shedder.admits_all()) {
    return false;
  }
  const std::string_view target = origin_form(head_.target);
  if (target.empty() || target.front() != '/') {
    return false;
  }
  const std::uint32_t request_class = index_of(server_->names.classes, first_segment(target));
  const auto remaining = parse_remaining(head_.remaining.value);
  if (!remaining || request_class == kNone) {
    return false;
  }
  const std::uint64_t id = hash_name(head_.transaction_id.value);
  if (!server_->load_shedder.should_reject(request_class, *remaining, id)) {
    return false;
  }
  ++server_->counts.shed;
  server_->request_handler.on_rejected_unread(request_class);
  // With a body that has not arrived completely the connection can't be used again without reading the body.
  closes_after_response_ = !parser_->is_done() || !parser_->keep_alive();
  send(rejection_response(Rejection::loop_lagging, server_->load_shedder.retry_after(id)));
  return true;
}

void ClientSession::on_body_bytes(std::size_t count) {
  body_bytes_ += count;
  last_body_bytes_at_ = server_->clock.now();
}

void ClientSession::on_message_complete() {
  if (may_buffer_body() && reserve_kept_bytes()) {
    handle_request();
  } else {
    reject_without_memory();
  }
}

void ClientSession::on_message_incomplete() {
  if (state_ == State::reading_head || state_ == State::accepted) {
    enter_within_message(State::reading_body);
  }
  const bool is_buffered = may_buffer_body();
  send_continue();
  if (!is_buffered) {
    start_upload();
  }
}

// Whether the body is short enough to be buffered, and there is memory for it.
bool ClientSession::may_buffer_body() {
  const auto length = parser_->content_length();
  const std::uint64_t known_size = std::max<std::uint64_t>(length.value_or(0), body_.size());
  if (known_size > kMaxBufferedBody) {
    return false;
  }
  if (known_size <= kMaxUnstreamedBody || body_reservation_) {
    return true;
  }
  auto reservation =
      server_->body_memory.reserve(length ? static_cast<std::size_t>(*length) : kMaxBufferedBody);
  if (!reservation) {
    return false;
  }
  body_reservation_ = std::move(*reservation);
  // Appending would double the allocation, beyond the reservation.
  body_.reserve(body_reservation_.bytes());
  return true;
}

// What this session keeps of requests, but for long bodies, which have a reservation of their own.
std::size_t ClientSession::kept_bytes() const {
  const std::size_t short_body = body_reservation_ ? 0 : body_.size();
  return message_bytes_ + short_body + read_ahead_.size() + kHeadCopies * head_.size();
}

// Sets the reservation to the bytes that are kept, and `more` that are about to be. Returns false if there is
// no memory for them.
bool ClientSession::reserve_kept_bytes(std::size_t more) {
  const std::size_t bytes = kept_bytes() + more;
  if (bytes <= net::MessageMemory::kUnreserved) {
    kept_reservation_ = {};
    return true;
  }
  if (!server_->body_memory.short_messages.grow(kept_reservation_, bytes)) {
    return false;
  }
  kept_reservation_.resize(bytes);
  return true;
}

// Called when received bytes have been parsed, passed on or kept.
void ClientSession::update_kept_reservation() {
  if (is_closed()) {
    return;
  }
  const bool is_incomplete =
      state_ == State::accepted || state_ == State::reading_head || state_ == State::reading_body;
  if (!is_incomplete) {
    kept_reservation_.resize(std::min(kept_reservation_.bytes(), kept_bytes()));
  } else if (!reserve_kept_bytes()) {
    reject_without_memory();
  }
}

void ClientSession::send_continue() {
  if (continue_sent_ || !beast::iequals(head_.expect.value, "100-continue")) {
    return;
  }
  continue_sent_ = true;
  net::error_code ignored;
  socket_.write_some(asio::buffer(kContinue), ignored);
}

void ClientSession::handle_request() {
  closes_after_response_ = !parser_->keep_alive();
  if (origin_form(head_.target) == kHealthCheckPath) {
    answer_health_check();
    return;
  }
  const bool is_large = body_.size() > kMaxUnstreamedBody;
  message_bytes_ = is_large ? 0 : body_.size();
  auto validated = validate_request(head_, body_, server_->names, server_->messages);
  if (const RequestError* error = std::get_if<RequestError>(&validated)) {
    fail(*error);
    return;
  }
  if (is_large && head_.method != http::verb::put) {
    fail(RequestError::body_too_long);
    return;
  }
  auto& request = std::get<engine::IncomingRequest>(validated);
  if (is_large) {
    request.message->memory = std::move(body_reservation_);
  }
  enter(State::processing);
  const RequestId id = server_->request_handler.on_request(shared_from_this(), std::move(request));
  if (id == 0) {
    fail(RequestError::duplicate_transaction_id);
    return;
  }
  // The engine may have responded within the call.
  if (state_ == State::processing) {
    request_ = id;
  }
}

// The platform's health check has no Host, so none is required.
void ClientSession::answer_health_check() {
  if (head_.method != http::verb::get) {
    fail(RequestError::health_check_method);
    return;
  }
  send(health_response(server_->is_draining));
}

// Starts a request whose body is not buffered: the engine gets the request now, and the body as it arrives.
// Once the engine has read a part of the body, the request can't be sent to another server.
void ClientSession::start_upload() {
  if (head_.method != http::verb::put) {
    fail(RequestError::body_too_long);
    return;
  }
  if (!server_->body_memory.grow(body_reservation_, kStreamBufferSize)) {
    reject_without_memory();
    return;
  }
  std::string no_body;
  auto validated = validate_request(head_, no_body, server_->names, server_->messages);
  if (const RequestError* error = std::get_if<RequestError>(&validated)) {
    fail(*error);
    return;
  }
  auto& request = std::get<engine::IncomingRequest>(validated);
  request.message->upload = open_upload();
  closes_after_response_ = !parser_->keep_alive();
  enter_within_message(State::uploading);
  sending_at_ = server_->clock.now();
  backlog_ = {};
  write_upload();
  const RequestId id = server_->request_handler.on_request(shared_from_this(), std::move(request));
  if (id == 0) {
    upload_.end(engine::BodyStream::State::truncated);
    fail(RequestError::duplicate_transaction_id);
    return;
  }
  if (state_ == State::uploading) {
    request_ = id;
  }
}

std::shared_ptr<engine::BodyStream> ClientSession::open_upload() {
  const auto content_length = parser_->content_length();
  std::optional<std::uint64_t> length;
  if (content_length) {
    length = *content_length;
  }
  // The reader calls this from within the engine: the session's work is posted to the event loop.
  return upload_.start(length, std::move(body_reservation_), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    asio::post(self->socket_.get_executor(), [self] { self->on_upload_writable(); });
  });
}

void ClientSession::continue_upload() {
  net::error_code error;
  const std::size_t used = parser_->read(read_ahead_.bytes(), error);
  read_ahead_.consume(used);
  on_body_bytes(used);
  if (error) {
    cancel_upload();
    fail_parsing(error);
    return;
  }
  if (parser_->is_done() && has_left_during_upload()) {
    close();
    return;
  }
  write_upload();
  if (!parser_->is_done()) {
    return;
  }
  upload_.end(engine::BodyStream::State::complete);
  enter(State::processing);
  server_->request_handler.on_body_complete(request_);
}

// Whether the client has disconnected while its upload was paused: its FIN or RST stood behind bytes that
// were not read, and arrives with the last of them. Without those the server does not begin the request.
bool ClientSession::has_left_during_upload() { return !backlog_.is_drained() && has_disconnected(); }

void ClientSession::write_upload() {
  upload_.write(body_);
  if (upload_.is_paused()) {
    upload_paused_at_ = server_->clock.now();
  }
}

// Whether the client of a streamed body can't have sent all of it yet. While the upload is paused, that is
// not known to last: a server that takes nothing must not keep the request open.
bool ClientSession::is_client_sending() const {
  if (state_ != State::uploading || upload_.is_paused()) {
    return false;
  }
  return (is_caught_up_ && backlog_.is_drained()) || has_unsent_body();
}

// Whether more of the body is missing than what has arrived and what the client's kernel may hold. Unknown
// for a body without a length.
bool ClientSession::has_unsent_body() const {
  const auto missing = parser_->content_length_remaining();
  if (!missing || *missing <= kMaxClientSendBuffer) {
    return false;
  }
  net::error_code ignored;
  const std::size_t arrived = chunk_.size() + read_ahead_.size() + socket_.available(ignored);
  return *missing > arrived + kMaxClientSendBuffer;
}

void ClientSession::on_upload_writable() {
  if (is_closed() || state_ != State::uploading || !upload_.is_paused()) {
    return;
  }
  upload_.resume();
  // The client did not cause the pause, so its time limits start anew.
  since_ = server_->clock.now();
  last_body_bytes_at_ = since_;
  backlog_.on_resumed(since_ - upload_paused_at_);
  is_caught_up_ = !has_unread_bytes();
  caught_up_at_ = since_;
  sending_at_ = sending_at();
  wait_for_bytes();
}

// The body will not be complete, so the server must not run the request: it is cancelled.
void ClientSession::cancel_upload() {
  if (state_ != State::uploading) {
    return;
  }
  const RequestId cancelled = std::exchange(request_, 0);
  upload_.end(engine::BodyStream::State::truncated);
  body_abandoned_ = true;
  if (cancelled != 0) {
    server_->request_handler.on_client_cancelled(cancelled);
  }
}

}  // namespace streampick::http1
