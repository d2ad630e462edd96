#include "resp/transport.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "net/log.h"
#include "net/tcp.h"

namespace streampick::resp {

namespace asio = boost::asio;
using engine::AttemptId;
using net::error_code;
using net::log;
using net::tcp;

namespace {
constexpr std::size_t kLargeBody = 64 * 1024;
constexpr Time kSecond = 1'000'000;
// From the time when a connection expects only replies to cancelled attempts until it is closed: the server
// stalls.
constexpr Time kMaxStall = kSecond;
// Maximum time from when the socket blocks until unwritten commands are dropped. A command holds the time
// that its request had left when the command was encoded, and a server may be told at most 0.15 s more than
// is left when the command is written. The 0.1 s here stay below that limit.
constexpr Time kMaxDeadlineAge = 100'000;
}  // namespace

std::string ServerCounts::summary() const {
  return "pushes=" + std::to_string(pushes) + " passed_over=" + std::to_string(ignored_replies) +
         " shared=" + std::to_string(shared) + " stored=" + std::to_string(stored) +
         " not_stored=" + std::to_string(not_stored) + " voided=" + std::to_string(invalidated) +
         " not_voided=" + std::to_string(not_invalidated) + " broken=" + std::to_string(broken);
}

class RespTransport::Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(RespTransport& owner)
      : pipeline(owner.settings_.rules, owner.null_is_miss_),
        owner_(&owner),
        socket_(owner.io_),
        timer_(owner.io_) {
    owner.resources_.connections.on_opened();
  }

  void dial(const tcp::endpoint& to, Time timeout) {
    // The timeout covers the greeting too: a server that accepts connections without replying is of no use.
    if (timeout > 0) {
      timer_.expires_after(std::chrono::microseconds(timeout));
      timer_.async_wait([self = shared_from_this()](error_code cancelled) {
        if (!cancelled && self->owner_ != nullptr && !self->pipeline.greeted()) self->on_lost();
      });
    }
    error_code error;
    socket_.open(to.protocol(), error);
    if (error) {
      asio::post(socket_.get_executor(), [self = shared_from_this()] { self->on_lost(); });
      return;
    }
    socket_.set_option(tcp::no_delay(true), error);
    socket_.async_connect(to, [self = shared_from_this()](error_code failed) {
      if (self->owner_ == nullptr) return;
      if (failed) return self->on_lost();
      error_code ignored;
      self->socket_.non_blocking(true, ignored);
      self->connected_ = true;
      self->wait();
      self->write();
    });
  }

  // Writes as much as the socket accepts. After the end of sending (a drain), commands without a written byte
  // are dropped.
  void write() {
    if (owner_ == nullptr || !connected_ || writing_) return;
    if (owner_->time_.now() >= owner_->sending_stops_at()) pipeline.drop_unsent();
    while (!pipeline.output().empty()) {
      const std::string_view bytes = pipeline.output();
      error_code error;
      const std::size_t written = socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error);
      owner_->resources_.requests_sent += pipeline.written(written);
      if (error == asio::error::would_block) {
        writing_ = true;
        blocked_at_ = owner_->time_.fresh();
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code failed) {
          self->writing_ = false;
          if (failed || self->owner_ == nullptr) return;
          self->drop_expired_output();
          self->write();
          if (self->owner_ != nullptr) self->owner_->on_change(self);
        });
        return;
      }
      if (error) {
        // The caller may be within send(), so the outcomes are reported in the next turn of the event loop.
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->on_lost(); });
        return;
      }
    }
  }

  void on_lost() {
    if (owner_ == nullptr) return;
    pipeline.end();
    owner_->on_change(shared_from_this());
  }

  // Does not notify the owner.
  void close() {
    if (owner_ == nullptr) return;
    owner_->resources_.connections.on_closed();
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

  // Reads bytes that arrived while no reply was expected: a push, the end of the connection, or unexpected
  // bytes, after which replies can't be matched. Returns whether the connection is still usable.
  bool read_unexpected() {
    for (;;) {
      auto& buffer = owner_->resources_.read_buffer;
      error_code error;
      const std::size_t got = socket_.read_some(asio::buffer(buffer), error);
      if (error == asio::error::would_block) break;
      if (error) {
        pipeline.end();
        break;
      }
      pipeline.put({buffer.data(), got});
    }
    return pipeline.usable() && pipeline.is_idle();
  }
  bool usable() const { return connected_ && pipeline.usable(); }
  bool dialling() const { return pipeline.state() == Pipeline::State::greeting; }
  std::size_t cancelled_replies() const { return pipeline.in_flight() - pipeline.awaited_replies(); }

  Pipeline pipeline;
  Time last_used = 0;
  Time stalled_since = 0;  // since when only replies to cancelled attempts are expected; 0: not the case

 private:
  /// Drops commands that the socket did not accept at once, if their request has ended, the deadline within
  /// them is too late by now, or their server may have forgotten the first attempt.
  void drop_expired_output() {
    const bool sends_deadlines = owner_->settings_.rules.send_ids;
    const Time now = owner_->time_.fresh();
    const bool late = sends_deadlines && now - blocked_at_ > kMaxDeadlineAge;
    const auto may_continue = [&](AttemptId attempt) {
      if (late || now >= pipeline.begin_by(attempt)) return false;
      return owner_->outcomes_.may_write(attempt).has_value();
    };
    for (const AttemptId attempt : pipeline.unsent()) {
      if (may_continue(attempt) || !pipeline.cancel_unsent(attempt)) continue;
      owner_->post_outcome(attempt, Outcome::not_sent);
    }
    const std::optional<AttemptId> partial = pipeline.partially_sent();
    if (!partial || may_continue(*partial)) return;
    pipeline.cancel(*partial);
    owner_->post_outcome(*partial, Outcome::connect_failed);
  }

  void wait() {
    if (owner_ == nullptr || waiting_) return;
    waiting_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code failed) {
      self->waiting_ = false;
      if (!failed) self->read();
    });
  }

  void read() {
    for (int rounds = 0; rounds < 8; ++rounds) {
      if (owner_ == nullptr) return;
      auto& buffer = owner_->resources_.read_buffer;
      error_code error;
      const std::size_t got = socket_.read_some(asio::buffer(buffer), error);
      if (error == asio::error::would_block) break;
      if (error) return on_lost();
      pipeline.put({buffer.data(), got});
      if (pipeline.greeted()) timer_.cancel();
      if (got < buffer.size()) break;
    }
    if (owner_ == nullptr) return;
    wait();
    write();  // the greeting may need another command
    owner_->on_change(shared_from_this());
  }

  RespTransport* owner_;  // nullptr once it is closed
  tcp::socket socket_;
  asio::steady_timer timer_;  // timeout of the dial and the greeting
  bool connected_ = false, waiting_ = false, writing_ = false;
  Time blocked_at_ = 0;  // when the socket stopped accepting bytes
};

RespTransport::RespTransport(asio::io_context& io, engine::TimeSource& time,
                             net::UpstreamResources& resources, engine::AttemptObserver& outcomes,
                             const ServerSettings& settings, ServerCounts& counts, std::string name,
                             bool null_is_miss, PushHook on_push)
    : io_(io),
      time_(time),
      resources_(resources),
      outcomes_(outcomes),
      settings_(settings),
      counts_(counts),
      name_(std::move(name)),
      null_is_miss_(null_is_miss),
      on_push_(std::move(on_push)),
      alive_(std::make_shared<bool>(true)) {}

RespTransport::~RespTransport() {
  for (const ConnectionPtr& connection : connections_) connection->close();
}

void RespTransport::set_address(const std::string& address) {
  if (address == address_text_) return;
  const auto endpoint = net::parse_endpoint(address);
  if (!endpoint) return log("cannot parse the address of " + name_ + ": " + address.substr(0, 80));
  address_text_ = address;
  address_ = *endpoint;
  // Existing connections lead to the old address. Attempts on them may still be answered.
  close_idle(kNever);
  const std::vector<ConnectionPtr> all = connections_;
  for (const ConnectionPtr& connection : all) {
    if (connection->dialling())
      drop(connection);
    else
      connection->pipeline.close_when_answered();
  }
  dispatch();  // attempts that wait for a connection dial the new address
}

void RespTransport::stop_sending_at(Time at) {
  engine::Upstream::stop_sending_at(at);
  dispatch();
}

void RespTransport::send(AttemptId attempt, std::shared_ptr<const engine::Message> message, Time expires,
                         Time begin_by) {
  // A command holds its complete value, so an upload that is too long for the memory can't be sent by RESP.
  if (message->upload) return post_outcome(attempt, Outcome::invalid_request);
  if (waiting_.size() >= settings_.waiting) return post_outcome(attempt, Outcome::connect_failed);
  waiting_.push_back({attempt, std::move(message), expires, begin_by});
  dispatch();
}

// Returns the connection for the next command, or null if the command must wait.
RespTransport::ConnectionPtr RespTransport::choose(bool write) const {
  ConnectionPtr best;
  const auto better = [](const ConnectionPtr& a, const ConnectionPtr& b) {
    // A connection that expects replies to cancelled attempts belongs to a server that stalls.
    const auto rank = [](const ConnectionPtr& connection) {
      return std::tuple(connection->cancelled_replies() > 0, connection->pipeline.in_flight(),
                        -connection->last_used);
    };
    return rank(a) < rank(b);
  };
  // A connection that is being dialled counts too: it will soon be free.
  const bool may_dial = connections_.size() < settings_.connections || dialling() > 0;
  for (const ConnectionPtr& connection : connections_) {
    if (!connection->usable()) continue;
    const std::size_t in_flight = connection->pipeline.in_flight();
    if (in_flight > 0) {
      // Connections are shared only at the limit of connections, because a reply waits for all earlier ones.
      if (may_dial || in_flight >= settings_.pipeline) continue;
      if (settings_.writes_alone && (write || connection->pipeline.carries_write())) continue;
    }
    if (!best || better(connection, best)) best = connection;
  }
  return best;
}

void RespTransport::dispatch() {
  const Time now = time_.now();
  while (!waiting_.empty()) {
    const WaitingAttempt& next = waiting_.front();
    // An attempt must not be sent if its server has stopped taking requests, or its own time has passed,
    // while it waited for a connection.
    if (now >= sending_stops_at() || now >= std::min(next.expires, next.begin_by)) {
      post_outcome(next.attempt, Outcome::not_sent);
      waiting_.pop_front();
      continue;
    }
    const ConnectionPtr connection = choose(engine::is_write(next.message->operation));
    if (!connection) break;
    if (connection->pipeline.in_flight() == 0 && !connection->read_unexpected()) {
      drop(connection);
      continue;
    }
    WaitingAttempt waiting = std::move(waiting_.front());
    waiting_.pop_front();
    if (!may_send(waiting)) {
      post_outcome(waiting.attempt, Outcome::not_sent);
      continue;
    }
    send_on(connection, waiting);
  }
  std::size_t dialling = this->dialling();
  while (waiting_.size() > dialling && connections_.size() < settings_.connections) {
    if (dial()) {
      ++dialling;
    } else if (connections_.empty()) {
      log("no descriptor left for a connection to " + name_);
      post_outcome(waiting_.front().attempt, Outcome::connect_failed);
      waiting_.pop_front();
    } else {
      break;
    }
  }
}

// The last check before the command of an attempt is encoded and written.
bool RespTransport::may_send(WaitingAttempt& waiting) {
  const Time now = time_.fresh();
  if (now >= sending_stops_at() || now >= std::min(waiting.expires, waiting.begin_by)) return false;
  const std::optional<Time> deadline = outcomes_.may_write(waiting.attempt);
  if (!deadline || now >= *deadline) return false;
  waiting.expires = std::min(waiting.expires, *deadline);
  return true;
}

std::size_t RespTransport::dialling() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const ConnectionPtr& connection) { return connection->dialling(); }));
}

bool RespTransport::dial() {
  if (!resources_.connections.has_capacity()) resources_.evict_idle_connection();
  if (!resources_.connections.has_capacity()) return false;
  ++resources_.connect_attempts;
  const auto connection = std::make_shared<Connection>(*this);
  connections_.push_back(connection);
  connection->dial(address_, resources_.connect_timeout);
  return true;
}

void RespTransport::send_on(const ConnectionPtr& connection, const WaitingAttempt& waiting) {
  if (connection->pipeline.in_flight() > 0) ++counts_.shared;
  connection->last_used = time_.now();
  connection->pipeline.send(waiting.attempt, *waiting.message, waiting.expires - time_.fresh(),
                            waiting.begin_by);
  connection->write();
}

// Handles a change of a connection. Outcomes are reported last, when the state is consistent again, because
// the observer may send or cancel attempts, or destroy this transport.
void RespTransport::on_change(const ConnectionPtr& connection) {
  const ConnectionPtr keep = connection;
  auto ended = keep->pipeline.take_ended();
  for (const Value& push : keep->pipeline.take_pushes()) {
    ++counts_.pushes;
    const bool has_name = !push.items.empty() && push.items.front().is_text();
    if (has_name && upper(push.items.front().text) == "DRAINING") keep->pipeline.close_when_answered();
    if (on_push_) on_push_(name_, push);
  }
  counts_.ignored_replies += keep->pipeline.take_ignored_replies();
  if (keep->pipeline.awaited_replies() > 0 || keep->pipeline.in_flight() == 0) keep->stalled_since = 0;
  const bool never_connected = keep->last_used == 0 && keep->pipeline.state() == Pipeline::State::broken;
  if (keep->pipeline.finished()) {
    if (!keep->pipeline.error().empty()) {
      ++counts_.broken;
      log("connection to " + name_ + ": " + keep->pipeline.error());
    }
    drop(keep);
  } else if (!ended.empty() || (keep->last_used == 0 && keep->usable())) {
    keep->last_used = time_.now();
  }
  // Each failed dial fails one waiting attempt, if more attempts wait than connections are being dialled.
  if (never_connected && waiting_.size() > dialling()) {
    post_outcome(waiting_.front().attempt, Outcome::connect_failed);
    waiting_.pop_front();
  }
  dispatch();
  send_cache_updates();
  engine::AttemptObserver& outcomes = outcomes_;  // reporting an outcome may destroy this transport
  for (AttemptResult& end : ended) {
    if (end.answer.body.size() <= kLargeBody) continue;
    if (auto reservation = resources_.body_memory.reserve(end.answer.body.size()))
      end.answer.memory = std::move(*reservation);
    else
      end = {end.attempt, Outcome::malformed, {}};
  }
  for (AttemptResult& end : ended) outcomes.on_attempt_ended(end.attempt, end.outcome, std::move(end.answer));
}

void RespTransport::drop(const ConnectionPtr& connection) {
  const ConnectionPtr keep = connection;
  keep->close();
  std::erase(connections_, keep);
}

bool RespTransport::cancel_unsent(AttemptId attempt) {
  // A dial continues, and the connection joins the pool.
  if (std::erase_if(waiting_, [&](const WaitingAttempt& waits) { return waits.attempt == attempt; }) > 0)
    return true;
  for (const ConnectionPtr& connection : connections_) {
    if (!connection->pipeline.cancel_unsent(attempt)) continue;
    on_cancelled(connection);
    return true;
  }
  return false;
}

void RespTransport::cancel(AttemptId attempt, engine::CancelReason /*reason*/) {
  if (cancel_unsent(attempt)) return;
  for (const ConnectionPtr& connection : connections_) {
    const std::size_t before = connection->pipeline.in_flight() - connection->cancelled_replies();
    connection->pipeline.cancel(attempt);
    if (connection->pipeline.awaited_replies() != before) return on_cancelled(connection);
  }
}

// Handles the results of a cancelled attempt once the call of the engine is over.
void RespTransport::on_cancelled(const ConnectionPtr& connection) {
  if (connection->pipeline.awaited_replies() == 0 && connection->pipeline.in_flight() > 0 &&
      connection->stalled_since == 0)
    connection->stalled_since = time_.now();
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_), connection] {
    if (alive.lock() && std::find(connections_.begin(), connections_.end(), connection) != connections_.end())
      on_change(connection);
  });
}

void RespTransport::close_idle(Time unused_since) {
  const Time now = time_.now();
  const std::vector<ConnectionPtr> all = connections_;
  for (const ConnectionPtr& connection : all) {
    const bool idle = connection->usable() && connection->pipeline.in_flight() == 0 &&
                      connection->last_used <= unused_since;
    const bool stalled = connection->stalled_since > 0 && now - connection->stalled_since > kMaxStall;
    if (idle || stalled) drop(connection);
  }
  if (now >= sending_stops_at()) cache_updates_.clear();
}

bool RespTransport::close_oldest_idle() {
  ConnectionPtr oldest;
  for (const ConnectionPtr& connection : connections_)
    if (connection->usable() && connection->pipeline.in_flight() == 0 &&
        (!oldest || connection->last_used < oldest->last_used))
      oldest = connection;
  if (!oldest) return false;
  drop(oldest);
  return true;
}

void RespTransport::fill_cache(const std::string& key, const std::string& value) {
  // Many requests can miss a popular key at once, and one cache fill is enough.
  const auto waits = std::find_if(cache_updates_.begin(), cache_updates_.end(),
                                  [&](const CacheUpdate& other) { return !other.drop && other.key == key; });
  if (waits != cache_updates_.end()) {
    waits->value = value;
    return;
  }
  if (cache_updates_.size() >= settings_.store_queue || value.size() > settings_.max_fill_bytes ||
      time_.now() >= sending_stops_at()) {
    ++counts_.not_stored;
    return;
  }
  cache_updates_.push_back({key, value});
  schedule_cache_updates();
}

// Queues the invalidation ahead of all cache fills. A queued cache fill of the key is dropped, as it may hold
// the value that the write replaced.
void RespTransport::invalidate(const std::string& key) {
  std::erase_if(cache_updates_, [&](const CacheUpdate& waits) { return waits.key == key; });
  if (time_.now() >= sending_stops_at()) return;  // no more reads go to this server
  const auto drops = static_cast<std::size_t>(std::count_if(
      cache_updates_.begin(), cache_updates_.end(), [](const CacheUpdate& waits) { return waits.drop; }));
  if (drops >= settings_.store_queue) {
    ++counts_.not_invalidated;
    return;
  }
  cache_updates_.insert(cache_updates_.begin() + static_cast<std::ptrdiff_t>(drops), {key, {}, true});
  if (std::none_of(connections_.begin(), connections_.end(),
                   [](const ConnectionPtr& connection) { return connection->usable(); }) &&
      connections_.size() < settings_.connections && dialling() == 0)
    dial();
  schedule_cache_updates();
}

void RespTransport::schedule_cache_updates() {
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.lock()) send_cache_updates();
  });
}

// Sends queued cache fills and invalidations, one at a time on each idle connection. Requests go first.
void RespTransport::send_cache_updates() {
  if (cache_updates_.empty() || !waiting_.empty()) return;
  if (time_.now() >= sending_stops_at()) {
    counts_.not_stored += cache_updates_.size();
    cache_updates_.clear();
    return;
  }
  for (const ConnectionPtr& connection : connections_) {
    if (cache_updates_.empty()) return;
    if (!connection->usable() || connection->pipeline.in_flight() > 0) continue;
    const CacheUpdate next = std::move(cache_updates_.front());
    cache_updates_.pop_front();
    ++(next.drop ? counts_.invalidated : counts_.stored);
    if (next.drop)
      connection->pipeline.remove(next.key);
    else
      connection->pipeline.store(next.key, next.value);
    connection->write();
  }
}

void RespTransport::post_outcome(AttemptId attempt, Outcome outcome) {
  asio::post(io_, [&outcomes = outcomes_, alive = std::weak_ptr<bool>(alive_), attempt, outcome] {
    if (alive.lock()) outcomes.on_attempt_ended(attempt, outcome, {});
  });
}

}  // namespace streampick::resp
