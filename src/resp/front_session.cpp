#include "resp/front_session.h"

#include <poll.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <utility>

#include "engine/keys.h"
#include "net/log.h"

namespace streampick::resp {

using asio::buffer;
using net::error_code;
using net::log;
using net::tcp;
namespace asio = boost::asio;

namespace {

constexpr std::size_t kMaxDiscardedBytes = 1024 * 1024;
constexpr Time kMs = 1'000, kSecond = 1'000 * kMs;
constexpr Time kWriteTimeout = 10 * kSecond;  // from the last progress of a write to the close
// A client that stops in the middle of a command must receive an error within 3 s. A long command may arrive
// at 64 kB per second, as a body over HTTP may.
constexpr Time kCommandTimeout = 2'300 * kMs;
constexpr Time kCommandTimePerKilobyte = 18 * kMs;
constexpr Time kFirstCommandTimeout = 500 * kMs;  // from the accept: the first command may be in transit
constexpr Time kLinger = kSecond;
constexpr Time kMaxTimeout = 86'400 * kSecond;  // the engine reduces it to the timeout of the request class
constexpr int kMaxReadsPerTurn = 16;

Time timeout_of(const KeyRequest& request) { return request.timeout > 0 ? request.timeout : kMaxTimeout; }

}  // namespace

RespFront::Session::Session(RespFront& owner, tcp::socket socket, std::int64_t id)
    : owner_(&owner),
      socket_(std::move(socket)),
      conversation_(owner.settings_.rules, id),
      since_(owner.time_.now()) {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
}

void RespFront::Session::respond(std::uint64_t tag, engine::Response reply) {
  if (owner_ == nullptr) return;
  open_.erase(tag);
  conversation_.answered(tag, std::move(reply));
  schedule_processing();
}

bool RespFront::Session::client_gone() {
  if (owner_ == nullptr) return true;
  if (in_read_handler_ && !owner_->stall_detector_.was_stalled()) return false;
  return hung_up();
}

void RespFront::Session::process() {
  if (owner_ == nullptr) return;
  // Limits the work per turn of the event loop, so that a client that sends without pause does not delay
  // others.
  for (int rounds = 0; rounds < kMaxReadsPerTurn; ++rounds) {
    process_unconsumed();
    if (owner_ == nullptr) return;
    write();
    if (owner_ == nullptr) return;
    if (!unconsumed_.empty()) {
      if (conversation_.wants_more() && owner_->has_capacity()) continue;
      return wait_or_close();
    }
    // While a wait for the socket is pending there is nothing to read, or its handler is about to run.
    if (waiting_ || !may_read()) return wait_or_close();
    const bool more = read();
    if (owner_ == nullptr) return;
    write();
    if (owner_ == nullptr) return;
    if (!more) return wait_or_close();
  }
  schedule_processing();
}

void RespFront::Session::on_capacity() {
  waiting_for_capacity_ = false;
  process();
}

void RespFront::Session::close() {
  if (owner_ == nullptr) return;
  RespFront& owner = *std::exchange(owner_, nullptr);
  error_code ignored;
  socket_.close(ignored);
  owner.update_unwritten(counted_requests_, 0);
  counted_requests_ = 0;
  const auto self = shared_from_this();
  owner.sessions_.erase(position_);
  if (owner.descriptors_ != nullptr)
    owner.descriptors_->release(overload::DescriptorBudget::Side::downstream);
  const auto open = std::exchange(open_, {});
  for (const auto& [tag, request] : open) owner.requests_.on_client_cancelled(request);
}

void RespFront::Session::detach() {
  owner_ = nullptr;
  error_code ignored;
  socket_.close(ignored);
}

bool RespFront::Session::has_no_pending_work() const {
  return unconsumed_.empty() && conversation_.is_idle() && !conversation_.in_command() && !writing_;
}

bool RespFront::Session::has_unread_bytes() const {
  error_code ignored;
  return socket_.available(ignored) > 0;
}

void RespFront::Session::stop_reading() {
  if (stopping_) return;
  error_code ignored;
  stopping_ = true;
  bytes_to_read_ = socket_.available(ignored);
  process();
}

void RespFront::Session::check(Time now) {
  if (lingering_) {
    if (now - since_ > kLinger) close();
    return;
  }
  if (writing_ && now - write_since_ > kWriteTimeout) return close();
  // While bytes are unread no wait for the socket is pending, so a disconnect must be polled for.
  if (!waiting_ && hung_up()) return close();
  if (command_overdue(now)) return abandon_command("the command did not come whole in time");
  const Time idle = owner_->settings_.idle;
  if (idle > 0 && now - since_ > idle && is_idle()) return begin_lingering();
  if (owner_->draining_) wait_or_close();
}

bool RespFront::Session::awaits_first_command() const {
  return conversation_.commands() == 0 && owner_->time_.now() - since_ < kFirstCommandTimeout;
}

bool RespFront::Session::command_overdue(Time now) const {
  if (!conversation_.in_command() || conversation_.ended()) return false;
  if (!unconsumed_.empty() || has_unread_bytes()) return false;  // the router has not read the rest yet
  if (now - since_ > kCommandTimeout) return true;
  return now - partial_since_ >
         kCommandTimeout + static_cast<Time>(partial_bytes_ / 1'000) * kCommandTimePerKilobyte;
}

void RespFront::Session::abandon_command(const std::string& error) {
  conversation_.abandon_command(error);
  process();
}

void RespFront::Session::track_partial_command(std::size_t used, std::uint64_t commands) {
  since_ = owner_->time_.now();
  if (commands > 0 || partial_since_ == 0) {
    partial_since_ = since_;
    partial_bytes_ = 0;
  }
  partial_bytes_ += used;
  if (!conversation_.in_command()) partial_since_ = 0;
}

bool RespFront::Session::hung_up() {
  pollfd descriptor{socket_.native_handle(), POLLRDHUP, 0};
  return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool RespFront::Session::may_read() const {
  return !lingering_ && !(stopping_ && bytes_to_read_ == 0) && conversation_.wants_more() &&
         owner_->has_capacity();
}

void RespFront::Session::schedule_processing() {
  if (std::exchange(posted_, true)) return;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->posted_ = false;
    self->process();
  });
}

void RespFront::Session::submit_all() {
  for (auto requests = conversation_.take_requests(); !requests.empty();
       requests = conversation_.take_requests())
    for (KeyRequest& request : requests) submit(std::move(request));
  update_unwritten();
}

void RespFront::Session::process_unconsumed() {
  submit_all();
  unconsumed_.erase(0, consume(unconsumed_));
  if (conversation_.ended()) unconsumed_.clear();
  if (unconsumed_.empty() && unconsumed_.capacity() > 64) std::string().swap(unconsumed_);
}

std::size_t RespFront::Session::consume(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && conversation_.wants_more() && owner_->has_capacity()) {
    const std::uint64_t before = conversation_.commands();
    const std::size_t took = conversation_.put(bytes.substr(used));
    const std::uint64_t commands = conversation_.commands() - before;
    used += took;
    owner_->counts_.commands += commands;
    track_partial_command(took, commands);
    submit_all();
  }
  return used;
}

bool RespFront::Session::reject_early(const KeyRequest& request, std::uint32_t request_class) {
  net::LoadShedder* const load_shedder = owner_->load_shedder_;
  const std::uint64_t id = owner_->last_id_ + request.tag;
  if (load_shedder == nullptr || !load_shedder->should_reject(request_class, timeout_of(request), id))
    return false;
  ++owner_->counts_.shed;
  owner_->requests_.on_rejected_unread(request_class);
  conversation_.answered(
      request.tag, {.kind = engine::Response::Kind::rejected, .retry_after = load_shedder->retry_after(id)});
  return true;
}

engine::IncomingRequest RespFront::Session::to_incoming(KeyRequest request, std::uint32_t request_class) {
  engine::IncomingRequest incoming;
  incoming.tag = request.tag;
  incoming.request_class = request_class;
  incoming.tenant = request.tenant.empty() ? kNone : index_of(owner_->names_.tenants, request.tenant);
  incoming.remaining = timeout_of(request);
  incoming.has_key = true;
  const std::string escaped = engine::escape_key(request.part.key);
  incoming.key = engine::key_number(escaped);
  incoming.message = std::make_shared<engine::Message>();
  engine::Message& message = *incoming.message;
  message.operation = request.part.operation;
  message.target = "/" + owner_->names_.classes[request_class] + "/" + escaped;
  message.key = std::move(request.part.key);
  message.body = std::move(request.part.body);
  message.words = std::move(request.part.words);
  message.idempotency_key = std::move(request.idempotency_key);
  if (request.id.empty()) {
    incoming.transaction_id = owner_->next_id();
    message.transaction_id = engine::hex(incoming.transaction_id);
  } else {
    std::from_chars(request.id.data(), request.id.data() + request.id.size(), incoming.transaction_id, 16);
    message.transaction_id = std::move(request.id);
  }
  // Lets servers recognize retries by the router. A repeat by the client itself counts as another write.
  if (is_write(message.operation) && owner_->settings_.write_key && message.idempotency_key.empty())
    message.idempotency_key = message.transaction_id;
  return incoming;
}

void RespFront::Session::submit(KeyRequest request) {
  const FrontSettings& settings = owner_->settings_;
  const std::uint32_t request_class =
      is_write(request.part.operation) ? settings.write_class : settings.read_class;
  if (reject_early(request, request_class)) return;
  ++owner_->counts_.requests;
  const std::uint64_t tag = request.tag;
  open_.emplace(tag, 0);
  const RequestId id =
      owner_->requests_.on_request(shared_from_this(), to_incoming(std::move(request), request_class));
  if (id == 0) {
    open_.erase(tag);
    conversation_.on_duplicate_id(tag);
  } else if (const auto found = open_.find(tag); found != open_.end()) {
    found->second = id;  // not answered within on_request()
  }
}

void RespFront::Session::update_unwritten() {
  const std::size_t now = conversation_.unwritten();
  owner_->update_unwritten(std::exchange(counted_requests_, now), now);
}

bool RespFront::Session::read() {
  error_code error;
  auto& read_buffer = owner_->read_buffer_;
  const std::size_t most = stopping_ ? std::min(bytes_to_read_, read_buffer.size()) : read_buffer.size();
  const std::size_t got = socket_.read_some(buffer(read_buffer.data(), most), error);
  if (error == asio::error::would_block) return false;
  if (error) {
    close();  // the client has disconnected, so its open requests are cancelled
    return false;
  }
  if (stopping_) bytes_to_read_ -= got;
  if (owner_->load_shedder_ != nullptr) owner_->load_shedder_->on_client_activity();
  // Usually all bytes are consumed at once, so an idle connection holds no buffer.
  const std::string_view bytes(read_buffer.data(), got);
  const std::size_t used = consume(bytes);
  if (!conversation_.ended()) unconsumed_ = bytes.substr(used);
  return got == most || !unconsumed_.empty();  // a shorter read emptied the socket
}

void RespFront::Session::write() {
  while (owner_ != nullptr && !writing_ && conversation_.has_output()) {
    out_ = conversation_.take_output();
    written_ = 0;
    write_since_ = owner_->time_.now();
    write_output();
  }
}

void RespFront::Session::write_output() {
  while (written_ < out_.size()) {
    error_code error;
    written_ += socket_.write_some(buffer(out_.data() + written_, out_.size() - written_), error);
    if (error == asio::error::would_block) {
      writing_ = true;
      socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code failed) {
        if (failed || self->owner_ == nullptr) return;
        self->writing_ = false;
        self->write_since_ = self->owner_->time_.now();
        self->write_output();
        self->process();
      });
      return;
    }
    if (error) return close();
  }
  std::string().swap(out_);
  conversation_.written();
  update_unwritten();
}

void RespFront::Session::wait_or_close() {
  if (owner_ == nullptr) return;
  if (lingering_) return wait();
  if (!owner_->has_capacity()) waiting_for_capacity_ = owner_->waiting_for_capacity_ = true;
  if (has_read_all() && conversation_.in_command() && !conversation_.ended())
    return abandon_command("the router ends, and the command is not whole");
  const bool answered = conversation_.is_idle() && !writing_ && unconsumed_.empty();
  if (answered && (conversation_.ended() || has_read_all() || (owner_->draining_ && is_idle())))
    return begin_lingering();
  wait();
}

void RespFront::Session::begin_lingering() {
  if (conversation_.has_invalid_input()) ++owner_->counts_.bad;
  if (conversation_.is_http())
    log("RESP: a client sent an HTTP request; closing its connection without running any of it");
  lingering_ = true;
  since_ = owner_->time_.now();
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  wait();
}

void RespFront::Session::wait() {
  if (owner_ == nullptr || waiting_) return;
  // The wait also serves to notice a disconnect while nothing is read. But with unread bytes it would
  // complete at once each time, in a busy loop.
  if (!lingering_ && (!may_read() || !unconsumed_.empty()) && has_unread_bytes()) return;
  waiting_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code failed) {
    self->waiting_ = false;
    if (failed || self->owner_ == nullptr) return;
    self->readable();
  });
}

void RespFront::Session::readable() {
  if (lingering_) {
    error_code error;
    const std::size_t got = socket_.read_some(buffer(owner_->read_buffer_), error);
    discarded_ += got;
    if ((error && error != asio::error::would_block) || discarded_ > kMaxDiscardedBytes) return close();
    return wait();
  }
  if (!may_read() && !has_unread_bytes()) {
    // Most likely the end of the connection: peek to find out.
    char byte = 0;
    error_code error;
    socket_.receive(buffer(&byte, 1), tcp::socket::message_peek, error);
    if (error && error != asio::error::would_block) return close();
  }
  in_read_handler_ = true;
  process();
  in_read_handler_ = false;
}

}  // namespace streampick::resp
