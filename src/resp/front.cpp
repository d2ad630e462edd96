#include "resp/front.h"

#include <poll.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <charconv>
#include <unordered_map>
#include <utility>

#include "engine/keys.h"
#include "net/log.h"
#include "net/tcp.h"

namespace streampick::resp {

using asio::buffer;
using net::error_code;
using net::log;
using net::tcp;
namespace asio = boost::asio;

namespace {

constexpr std::size_t kReadBufferBytes = 16 * 1024, kMaxDiscardedBytes = 1024 * 1024;
constexpr Time kMs = 1'000, kSecond = 1'000 * kMs;
constexpr Time kWriteTimeout = 10 * kSecond;  // from the last progress of a write to the close
// A client that stops in the middle of a command must receive an error within 3 s. A long command may arrive
// at 64 kB per second, as a body over HTTP may.
constexpr Time kCommandTimeout = 2'300 * kMs;
constexpr Time kCommandTimePerKilobyte = 18 * kMs;
constexpr Time kFirstCommandTimeout = 500 * kMs;  // from the accept: the first command may be in transit
constexpr Time kLinger = kSecond;
constexpr Time kMinIdle = kSecond, kMinLinger = 50 * kMs;  // before a connection may be closed for a new one
constexpr Time kMaxTimeout = 86'400 * kSecond;  // the engine reduces it to the timeout of the request class
constexpr int kMaxReadsPerTurn = 16;
constexpr unsigned kTicksBetweenChecks = 6;  // about 250 ms

}  // namespace

class RespFront::Session final : public engine::ResponseSink, public std::enable_shared_from_this<Session> {
 public:
  Session(RespFront& owner, tcp::socket socket, std::int64_t id)
      : owner_(&owner),
        socket_(std::move(socket)),
        conversation_(owner.settings_.rules, id),
        since_(owner.time_.now()) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
  }
  void set_position(Sessions::iterator position) { position_ = position; }

  void respond(std::uint64_t tag, engine::Response reply) override {
    if (owner_ == nullptr) return;
    open_.erase(tag);
    conversation_.answered(tag, std::move(reply));
    schedule_processing();
  }

  // Bytes that the event loop has just read without a delay show that the client was there a moment ago, so
  // that no system call is needed.
  bool client_gone() override {
    if (owner_ == nullptr) return true;
    if (in_read_handler_ && !owner_->stall_detector_.was_stalled()) return false;
    return hung_up();
  }

  // Reads and answers as much as possible. Must not be called from within a call of the engine.
  void process() {
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

  void on_capacity() {
    waiting_for_capacity_ = false;
    process();
  }

  void close() {
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
  void detach() {
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
  }

  bool has_no_pending_work() const {
    return unconsumed_.empty() && conversation_.is_idle() && !conversation_.in_command() && !writing_;
  }
  /// Whether nothing is unanswered, including unread bytes and a first command that may be in transit.
  bool is_idle() const { return has_no_pending_work() && !has_unread_bytes() && !awaits_first_command(); }
  bool has_unread_bytes() const {
    error_code ignored;
    return socket_.available(ignored) > 0;
  }
  bool lingering() const { return lingering_; }
  bool is_waiting_for_capacity() const { return waiting_for_capacity_; }
  Time since() const { return since_; }

  // Answers the commands that have been received so far, including unread bytes in the kernel, and then ends
  // the connection. Bytes that arrive later are not read.
  void stop_reading() {
    if (stopping_) return;
    error_code ignored;
    stopping_ = true;
    bytes_to_read_ = socket_.available(ignored);
    process();
  }

  void check(Time now) {
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

 private:
  bool awaits_first_command() const {
    return conversation_.commands() == 0 && owner_->time_.now() - since_ < kFirstCommandTimeout;
  }

  // Whether a command has arrived in part, and the rest does not arrive or arrives too slowly.
  bool command_overdue(Time now) const {
    if (!conversation_.in_command() || conversation_.ended()) return false;
    if (!unconsumed_.empty() || has_unread_bytes()) return false;  // the router has not read the rest yet
    if (now - since_ > kCommandTimeout) return true;
    return now - partial_since_ >
           kCommandTimeout + static_cast<Time>(partial_bytes_ / 1'000) * kCommandTimePerKilobyte;
  }

  void abandon_command(const std::string& error) {
    conversation_.abandon_command(error);
    process();
  }

  // Records when the partly received command began, after `used` bytes were read that completed `commands`
  // commands.
  void track_partial_command(std::size_t used, std::uint64_t commands) {
    since_ = owner_->time_.now();
    if (commands > 0 || partial_since_ == 0) {
      partial_since_ = since_;
      partial_bytes_ = 0;
    }
    partial_bytes_ += used;
    if (!conversation_.in_command()) partial_since_ = 0;
  }

  bool hung_up() {
    pollfd descriptor{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  bool may_read() const {
    return !lingering_ && !(stopping_ && bytes_to_read_ == 0) && conversation_.wants_more() &&
           owner_->has_capacity();
  }

  void schedule_processing() {
    if (std::exchange(posted_, true)) return;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->posted_ = false;
      self->process();
    });
  }

  // Repeats because the answer to one request can release the next command on its key.
  void submit_all() {
    for (auto requests = conversation_.take_requests(); !requests.empty();
         requests = conversation_.take_requests())
      for (KeyRequest& request : requests) submit(std::move(request));
    update_unwritten();
  }

  void process_unconsumed() {
    submit_all();
    unconsumed_.erase(0, consume(unconsumed_));
    if (conversation_.ended()) unconsumed_.clear();
    if (unconsumed_.empty() && unconsumed_.capacity() > 64) std::string().swap(unconsumed_);
  }

  // Passes bytes to the conversation, and returns how many of them it consumed.
  std::size_t consume(std::string_view bytes) {
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

  void submit(KeyRequest request) {
    const FrontSettings& settings = owner_->settings_;
    const bool write = is_write(request.part.operation);
    const std::uint32_t kind = write ? settings.write_class : settings.read_class;
    const Time timeout = request.timeout > 0 ? request.timeout : kMaxTimeout;
    if (owner_->load_shedder_ != nullptr &&
        owner_->load_shedder_->should_reject(kind, timeout, owner_->last_id_ + request.tag)) {
      ++owner_->counts_.shed;
      owner_->requests_.on_rejected_unread(kind);
      const Time after = owner_->load_shedder_->retry_after(owner_->last_id_ + request.tag);
      return conversation_.answered(request.tag,
                                    {.kind = engine::Response::Kind::rejected, .retry_after = after});
    }
    engine::IncomingRequest incoming;
    incoming.tag = request.tag;
    incoming.request_class = kind;
    incoming.tenant = request.tenant.empty() ? kNone : index_of(owner_->names_.tenants, request.tenant);
    incoming.remaining = timeout;
    incoming.has_key = true;
    const std::string escaped = engine::escape_key(request.part.key);
    incoming.key = engine::key_number(escaped);
    incoming.message = std::make_shared<engine::Message>();
    engine::Message& message = *incoming.message;
    message.operation = request.part.operation;
    message.target = "/" + owner_->names_.classes[kind] + "/" + escaped;
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
    if (write && settings.write_key && message.idempotency_key.empty())
      message.idempotency_key = message.transaction_id;
    ++owner_->counts_.requests;
    open_.emplace(request.tag, 0);
    const RequestId id = owner_->requests_.on_request(shared_from_this(), std::move(incoming));
    if (id == 0) {
      open_.erase(request.tag);
      conversation_.on_duplicate_id(request.tag);
    } else if (const auto found = open_.find(request.tag); found != open_.end()) {
      found->second = id;  // not answered within on_request()
    }
  }

  void update_unwritten() {
    const std::size_t now = conversation_.unwritten();
    owner_->update_unwritten(std::exchange(counted_requests_, now), now);
  }

  // Returns whether there may be more to read at once.
  bool read() {
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

  void write() {
    while (owner_ != nullptr && !writing_ && conversation_.has_output()) {
      out_ = conversation_.take_output();
      written_ = 0;
      write_since_ = owner_->time_.now();
      write_output();
    }
  }

  void write_output() {
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

  // Waits for the next bytes, or ends the connection if nothing is left to do.
  void wait_or_close() {
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

  bool has_read_all() const { return stopping_ && bytes_to_read_ == 0 && unconsumed_.empty(); }

  // Ends a connection whose client is still connected. Closing a socket with unread bytes would reset the
  // connection, and the client could lose its last replies. So the socket is shut down for writing, and
  // further bytes are read and dropped, within limits. No command among them runs, so the client can safely
  // send them elsewhere.
  void begin_lingering() {
    if (conversation_.has_invalid_input()) ++owner_->counts_.bad;
    if (conversation_.is_http())
      log("RESP: a client sent an HTTP request; closing its connection without running any of it");
    lingering_ = true;
    since_ = owner_->time_.now();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    wait();
  }

  void wait() {
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

  void readable() {
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

  RespFront* owner_;  // nullptr once it is closed
  tcp::socket socket_;
  Conversation conversation_;
  std::string unconsumed_;  // read but not consumed yet
  std::string out_;
  std::size_t written_ = 0, counted_requests_ = 0, discarded_ = 0;
  std::size_t bytes_to_read_ = 0;                      // bytes left to read after stop_reading()
  std::unordered_map<std::uint64_t, RequestId> open_;  // by tag
  Time since_;                                         // when bytes arrived last, or when lingering began
  Time write_since_ = 0;
  Time partial_since_ = 0;         // when the first byte of a partly received command arrived; 0: none
  std::size_t partial_bytes_ = 0;  // of that command
  Sessions::iterator position_;
  bool waiting_ = false, writing_ = false, posted_ = false, waiting_for_capacity_ = false, stopping_ = false;
  bool lingering_ = false;
  bool in_read_handler_ = false;  // the handler of a wait for the socket is running
};

RespFront::RespFront(asio::io_context& io, engine::TimeSource& time, const Names& names,
                     engine::RequestHandler& requests, const FrontSettings& settings,
                     overload::DescriptorBudget* descriptors, net::LoadShedder* load_shedder)
    : io_(io),
      time_(time),
      names_(names),
      requests_(requests),
      settings_(settings),
      descriptors_(descriptors),
      load_shedder_(load_shedder),
      listener_(io, settings.listen, *this),
      tick_timer_(io),
      read_buffer_(kReadBufferBytes),
      last_id_(settings.seed),
      started_(time.now()) {
  settings_.rules.statistics = [this] { return statistics(); };
  listener_.resume();
  on_tick();
}

RespFront::~RespFront() {
  for (const auto& session : sessions_) session->detach();
}

// Generates an id that is unlikely to equal another id of this or any other router: the hash of a counter
// that starts at a seed.
std::uint64_t RespFront::next_id() {
  ++last_id_;
  return XXH3_64bits(&last_id_, sizeof last_id_);
}

void RespFront::on_accepted(tcp::socket socket) {
  if (is_full() && !close_one_connection()) {
    ++counts_.turned_away;
    return rejections_.reject(std::move(socket), time_.now());
  }
  ++counts_.accepted;
  if (descriptors_ != nullptr) descriptors_->reserve(overload::DescriptorBudget::Side::downstream);
  const auto session = std::make_shared<Session>(*this, std::move(socket), ++last_session_);
  session->set_position(sessions_.insert(sessions_.end(), session));
  session->process();
}

std::shared_ptr<RespFront::Session> RespFront::oldest_lingering(Time min_age) const {
  std::shared_ptr<Session> oldest;
  for (const auto& session : sessions_) {
    if (!session->lingering() || time_.now() - session->since() < min_age) continue;
    if (!oldest || session->since() < oldest->since()) oldest = session;
  }
  return oldest;
}

std::shared_ptr<RespFront::Session> RespFront::oldest_idle(Time min_age) const {
  std::shared_ptr<Session> oldest;
  for (const auto& session : sessions_) {
    if (session->lingering() || time_.now() - session->since() < min_age) continue;
    if (oldest && oldest->since() <= session->since()) continue;
    if (session->is_idle()) oldest = session;
  }
  return oldest;
}

// Closes one connection for a new one: first one that has lingered for a while, then the one that has been
// idle for longest. A connection that has just begun to linger is the last choice: if the client sends more
// bytes at that time, the close resets the connection and the client may lose its last reply.
bool RespFront::close_one_connection() {
  std::shared_ptr<Session> candidate = oldest_lingering(kMinLinger);
  if (!candidate) candidate = oldest_idle(kMinIdle);
  if (!candidate) candidate = oldest_lingering(0);
  if (!candidate) return false;
  candidate->close();
  return true;
}

void RespFront::update_unwritten(std::size_t before, std::size_t now) {
  unwritten_requests_ = unwritten_requests_ + now - before;
  if (now >= before || !has_capacity() || !std::exchange(waiting_for_capacity_, false)) return;
  for (const auto& session : sessions_)
    if (session->is_waiting_for_capacity()) asio::post(io_, [session] { session->on_capacity(); });
}

void RespFront::on_drain_started() {
  draining_ = true;
  const Sessions all = sessions_;
  for (const auto& session : all) session->process();
}

void RespFront::stop_accepting() { listener_.stop(); }

void RespFront::stop_reading() {
  const Sessions all = sessions_;
  for (const auto& session : all) session->stop_reading();
}

// Includes, for a short time, connections whose last reply may still be in transit.
std::size_t RespFront::unanswered() const {
  const auto is_idle = std::count_if(sessions_.begin(), sessions_.end(), [](const auto& session) {
    return !session->lingering() && session->is_idle();
  });
  return rejections_.open() + sessions_.size() - static_cast<std::size_t>(is_idle);
}

Statistics RespFront::statistics() const {
  Statistics out;
  out.uptime_seconds = static_cast<std::uint64_t>((time_.now() - started_) / kSecond);
  out.port = address().port();
  out.clients = sessions_.size();
  out.most_clients = settings_.most_clients;
  out.unwritten_requests = unwritten_requests_;
  out.accepted = counts_.accepted;
  out.turned_away = counts_.turned_away;
  out.commands = counts_.commands;
  out.requests = counts_.requests;
  out.bad = counts_.bad;
  return out;
}

std::string RespFront::summary() const {
  return "clients=" + std::to_string(open_connections()) + " accepted=" + std::to_string(counts_.accepted) +
         " commands=" + std::to_string(counts_.commands) + " requests=" + std::to_string(counts_.requests) +
         " bad=" + std::to_string(counts_.bad) + " turned_away=" + std::to_string(counts_.turned_away) +
         " shed=" + std::to_string(counts_.shed);
}

void RespFront::on_tick() {
  if (++ticks_ % kTicksBetweenChecks == 0) {
    const Time now = time_.now();
    const Sessions all = sessions_;
    for (const auto& session : all) session->check(now);
    rejections_.close_overdue(now);
  }
  stall_detector_.on_tick();
  tick_timer_.expires_at(stall_detector_.next_tick());
  tick_timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) on_tick();
  });
}

}  // namespace streampick::resp
