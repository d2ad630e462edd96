#include "management/command_server.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace streampick::management {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using Steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kLineTimeout{3'000};    ///< from accept to the end of the line
constexpr milliseconds kAnswerTimeout{1'000};  ///< from the command to the handler's answer
constexpr milliseconds kWriteTimeout{2'000};   ///< from the answer until it is written
constexpr milliseconds kCloseTimeout{500};     ///< from the written answer until the client closes
/// From accept: the line of a new connection may still be in transit.
constexpr milliseconds kMinAgeToEvict{50};
constexpr std::size_t kMaxDiscarded = std::size_t{64} * 1024;  ///< bytes after the line
constexpr std::size_t kReadChunk = 1'024;

}  // namespace

/// A connection.
class CommandServer::Session final : public std::enable_shared_from_this<Session> {
 public:
  Session(CommandServer& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(socket_.get_executor()) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }

  /// `position`: of this session in the server's list.
  void start(Sessions::iterator position) {
    position_ = position;
    expire_after(kLineTimeout);
    read();
  }

  bool is_silent() const { return is_reading_line() && line_.empty(); }
  bool is_reading_line() const { return state_ == State::reading_line; }
  bool is_answered() const { return state_ == State::closing; }
  Steady::duration age() const { return Steady::now() - accepted_at_; }

  void close() {
    if (owner_ == nullptr) return;
    CommandServer& owner = *std::exchange(owner_, nullptr);
    release();
    owner.on_closed(position_);
  }
  /// Closes without a notification to the server, which is being destroyed.
  void detach() {
    owner_ = nullptr;
    release();
  }

 private:
  enum class State : std::uint8_t { reading_line, awaiting_answer, writing_answer, closing };

  void release() {
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

  void expire_after(milliseconds timeout) {
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (cancelled || self->owner_ == nullptr) return;
      ++self->owner_->counts_.timed_out;
      self->close();
    });
  }

  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](error_code error, std::size_t size) {
                              if (self->owner_ != nullptr) self->on_read(error, size);
                            });
  }

  void on_read(error_code error, std::size_t size) {
    if (state_ == State::closing) return discard(error, size);
    if (error && error != asio::error::eof) return close();
    const auto line_state = error ? line_.finish() : line_.append({chunk_.data(), size});
    if (line_state == LineReader::State::too_long) return reject("the line is too long");
    if (line_state == LineReader::State::complete) return handle_line();
    if (error) return close();
    read();
  }

  /// Reads and discards what arrives after the answer: a close with unread bytes resets the connection, and
  /// the client might lose the answer.
  void discard(error_code error, std::size_t size) {
    discarded_ += size;
    if (error || discarded_ > kMaxDiscarded) return close();
    read();
  }

  void handle_line() {
    const auto parsed = parse_command(line_.line());
    if (const auto* error = std::get_if<ParseError>(&parsed)) return reject(error->message);
    ++owner_->counts_.answered;
    state_ = State::awaiting_answer;
    expire_after(kAnswerTimeout);
    owner_->handler_(std::get<Command>(parsed), [weak = weak_from_this()](std::string answer) {
      const auto self = weak.lock();
      if (self && self->owner_ != nullptr) self->write(std::move(answer));
    });
  }

  void reject(const std::string& reason) {
    ++owner_->counts_.malformed;
    write("NAK " + reason + "\n");
  }

  void write(std::string answer) {
    state_ = State::writing_answer;
    answer_ = std::move(answer);
    expire_after(kWriteTimeout);
    asio::async_write(socket_, asio::buffer(answer_),
                      [self = shared_from_this()](error_code error, std::size_t) {
                        if (self->owner_ != nullptr) self->on_written(error);
                      });
  }

  void on_written(error_code error) {
    if (error) return close();
    state_ = State::closing;
    expire_after(kCloseTimeout);
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    read();
  }

  CommandServer* owner_;  ///< null after close()
  tcp::socket socket_;
  asio::steady_timer timer_;
  State state_ = State::reading_line;
  LineReader line_;
  std::string answer_;
  Sessions::iterator position_;
  Steady::time_point accepted_at_ = Steady::now();
  std::size_t discarded_ = 0;
  std::array<char, kReadChunk> chunk_{};
};

CommandServer::CommandServer(asio::io_context& io, const tcp::endpoint& address, Handler handler)
    : handler_(std::move(handler)), listener_(io, address, *this) {
  listener_.resume();
}

CommandServer::~CommandServer() {
  for (const auto& session : std::exchange(sessions_, {})) session->detach();
}

void CommandServer::on_accepted(tcp::socket socket) {
  ++counts_.accepted;
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  session->start(sessions_.insert(sessions_.end(), session));
}

bool CommandServer::can_accept() { return sessions_.size() < kMaxConnections || evict_one(); }

/// Order of eviction: connections that have their answer, then those that have sent nothing, then those that
/// have sent part of a line; the oldest first in each group.
bool CommandServer::evict_one() {
  if (evict_first_of([](const Session& session) { return session.is_answered(); })) return true;
  if (evict_first_of(
          [](const Session& session) { return session.is_silent() && session.age() > kMinAgeToEvict; }))
    return true;
  return evict_first_of(
      [](const Session& session) { return session.is_reading_line() && session.age() > kMinAgeToEvict; });
}

bool CommandServer::evict_first_of(const std::function<bool(const Session&)>& may_be_evicted) {
  for (const auto& entry : sessions_) {
    if (!may_be_evicted(*entry)) continue;
    ++counts_.evicted;
    const std::shared_ptr<Session> session = entry;  // close() removes it from the list
    session->close();
    return true;
  }
  return false;
}

void CommandServer::on_closed(Sessions::iterator position) {
  sessions_.erase(position);
  listener_.resume();
}

}  // namespace streampick::management
