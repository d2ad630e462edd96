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
// A connection on which nobody waits for anything any more, but replies are owed: the server stalls.
constexpr Time kOwedAtMost = kSecond;
// A command tells a deadline when it is put to be written; a server may be told 0.15 s too much. What the
// socket has not taken this long after it took no more never leaves.
constexpr Time kToldFor = 100'000;
}  // namespace

std::string ServerCounts::summary() const {
  return "pushes=" + std::to_string(pushes) + " passed_over=" + std::to_string(passed_over) +
         " shared=" + std::to_string(shared) + " stored=" + std::to_string(stored) +
         " not_stored=" + std::to_string(not_stored) + " voided=" + std::to_string(voided) +
         " not_voided=" + std::to_string(not_voided) + " broken=" + std::to_string(broken);
}

class RespTransport::Connection : public std::enable_shared_from_this<Connection> {
 public:
  explicit Connection(RespTransport& owner)
      : pipe(owner.settings_.rules, owner.null_is_miss_),
        owner_(&owner),
        socket_(owner.io_),
        timer_(owner.io_) {
    owner.resources_.connections.on_opened();
  }

  void dial(const tcp::endpoint& to, Time time_out) {
    // The greeting is a part of it: a server that accepts and says nothing serves nobody.
    if (time_out > 0) {
      timer_.expires_after(std::chrono::microseconds(time_out));
      timer_.async_wait([self = shared_from_this()](error_code cancelled) {
        if (!cancelled && self->owner_ != nullptr && !self->pipe.greeted()) self->lost();
      });
    }
    error_code error;
    socket_.open(to.protocol(), error);
    if (error) {
      asio::post(socket_.get_executor(), [self = shared_from_this()] { self->lost(); });
      return;
    }
    socket_.set_option(tcp::no_delay(true), error);
    socket_.async_connect(to, [self = shared_from_this()](error_code failed) {
      if (self->owner_ == nullptr) return;
      if (failed) return self->lost();
      error_code ignored;
      self->socket_.non_blocking(true, ignored);
      self->made_ = true;
      self->wait();
      self->write();
    });
  }

  // Writes what the socket takes. A drain counts from first bytes: what has none written when its time has
  // come is taken back.
  void write() {
    if (owner_ == nullptr || !made_ || writing_) return;
    if (owner_->time_.now() >= owner_->sending_stops_at()) pipe.drop_unsent();
    while (!pipe.output().empty()) {
      const std::string_view bytes = pipe.output();
      error_code error;
      const std::size_t put = socket_.write_some(asio::buffer(bytes.data(), bytes.size()), error);
      owner_->resources_.requests_sent += pipe.written(put);
      if (error == asio::error::would_block) {
        writing_ = true;
        blocked_at_ = owner_->time_.fresh();
        socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code failed) {
          self->writing_ = false;
          if (failed || self->owner_ == nullptr) return;
          self->drop_what_may_not_go_on();
          self->write();
          if (self->owner_ != nullptr) self->owner_->changed(self);
        });
        return;
      }
      if (error) {
        // Whoever called is perhaps in send(): what this ends is told in the next turn.
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->lost(); });
        return;
      }
    }
  }

  void lost() {
    if (owner_ == nullptr) return;
    pipe.end();
    owner_->changed(shared_from_this());
  }

  // Does not tell the owner.
  void close() {
    if (owner_ == nullptr) return;
    owner_->resources_.connections.on_closed();
    owner_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
  }

  // Reads what has come while nothing was owed: a push, the end, or noise that shows that the order of
  // replies is lost. Returns whether the connection can be used.
  bool absorb() {
    for (;;) {
      auto& scratch = owner_->resources_.read_buffer;
      error_code error;
      const std::size_t got = socket_.read_some(asio::buffer(scratch), error);
      if (error == asio::error::would_block) break;
      if (error) {
        pipe.end();
        break;
      }
      pipe.put({scratch.data(), got});
    }
    return pipe.usable() && pipe.at_rest();
  }
  bool usable() const { return made_ && pipe.usable(); }
  bool dialling() const { return pipe.state() == Pipeline::State::greeting; }
  std::size_t owed_to_nobody() const { return pipe.in_flight() - pipe.waited_for(); }

  Pipeline pipe;
  Time last_used = 0;
  Time owed_since = 0;  // since when nobody waits for what is owed; 0: somebody does, or nothing is

 private:
  /// Of what the socket did not take at once: commands whose client has gone, or that tell too late a
  /// deadline by now.
  void drop_what_may_not_go_on() {
    const bool told = owner_->settings_.rules.send_ids;
    const bool late = told && owner_->time_.fresh() - blocked_at_ > kToldFor;
    const auto may_go_on = [&](AttemptId attempt) {
      return !late && owner_->outcomes_.may_write(attempt).has_value();
    };
    for (const AttemptId attempt : pipe.unsent()) {
      if (may_go_on(attempt) || !pipe.cancel_unsent(attempt)) continue;
      owner_->end_soon(attempt, Outcome::not_sent);
    }
    const std::optional<AttemptId> half = pipe.half_sent();
    if (!half || may_go_on(*half)) return;
    pipe.forget(*half);
    owner_->end_soon(*half, Outcome::connect_failed);
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
      auto& scratch = owner_->resources_.read_buffer;
      error_code error;
      const std::size_t got = socket_.read_some(asio::buffer(scratch), error);
      if (error == asio::error::would_block) break;
      if (error) return lost();
      pipe.put({scratch.data(), got});
      if (pipe.greeted()) timer_.cancel();
      if (got < scratch.size()) break;
    }
    if (owner_ == nullptr) return;
    wait();
    write();  // the greeting may have another part
    owner_->changed(shared_from_this());
  }

  RespTransport* owner_;  // none once it is closed
  tcp::socket socket_;
  asio::steady_timer timer_;  // of the dial and the greeting
  bool made_ = false, waiting_ = false, writing_ = false;
  Time blocked_at_ = 0;  // when the socket took no more
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
  for (const Link& link : connections_) link->close();
}

void RespTransport::set_address(const std::string& address) {
  if (address == address_text_) return;
  const auto endpoint = net::parse_endpoint(address);
  if (!endpoint) return log("address of " + name_ + " can't be read: " + address.substr(0, 80));
  address_text_ = address;
  address_ = *endpoint;
  // They lead to where the server no longer is: what is under way there may still be answered.
  close_idle(kNever);
  const std::vector<Link> all = connections_;
  for (const Link& link : all) {
    if (link->dialling())
      drop(link);
    else
      link->pipe.close_when_answered();
  }
  dispatch();  // what waited for one of these dials the new address
}

void RespTransport::stop_sending_at(Time at) {
  engine::Upstream::stop_sending_at(at);
  dispatch();
}

void RespTransport::send(AttemptId attempt, std::shared_ptr<const engine::Message> message, Time expires,
                         Time begin_by) {
  // A value stands whole in its command: one that is too long to be kept has no form here.
  if (message->upload) return end_soon(attempt, Outcome::invalid_request);
  if (waiting_.size() >= settings_.waiting) return end_soon(attempt, Outcome::connect_failed);
  waiting_.push_back({attempt, std::move(message), expires, begin_by});
  dispatch();
}

// The connection that is to take something now; none: it waits.
RespTransport::Link RespTransport::choose(bool write) const {
  Link best;
  const auto better = [](const Link& a, const Link& b) {
    // One on which replies are owed to nobody is behind a stall.
    const auto rank = [](const Link& link) {
      return std::tuple(link->owed_to_nobody() > 0, link->pipe.in_flight(), -link->last_used);
    };
    return rank(a) < rank(b);
  };
  // Also not while one dials: in a moment there is a connection with nothing on it.
  const bool may_dial = connections_.size() < settings_.connections || dialling() > 0;
  for (const Link& link : connections_) {
    if (!link->usable()) continue;
    const std::size_t in_flight = link->pipe.in_flight();
    if (in_flight > 0) {
      // Shared only when there can be no further connection: a reply waits for all that stand before it.
      if (may_dial || in_flight >= settings_.pipeline) continue;
      if (settings_.writes_alone && (write || link->pipe.carries_write())) continue;
    }
    if (!best || better(link, best)) best = link;
  }
  return best;
}

void RespTransport::dispatch() {
  const Time now = time_.now();
  while (!waiting_.empty()) {
    const Job& next = waiting_.front();
    // An attempt that waited for its connection until its server left, or past its own time, must not go out.
    if (now >= sending_stops_at() || now >= std::min(next.expires, next.begin_by)) {
      end_soon(next.attempt, Outcome::not_sent);
      waiting_.pop_front();
      continue;
    }
    const Link link = choose(engine::is_write(next.message->operation));
    if (!link) break;
    if (link->pipe.in_flight() == 0 && !link->absorb()) {
      drop(link);
      continue;
    }
    Job job = std::move(waiting_.front());
    waiting_.pop_front();
    if (!may_begin(job)) {
      end_soon(job.attempt, Outcome::not_sent);
      continue;
    }
    start(link, job);
  }
  std::size_t dialling = this->dialling();
  while (waiting_.size() > dialling && connections_.size() < settings_.connections) {
    if (dial()) {
      ++dialling;
    } else if (connections_.empty()) {
      log("no descriptor left for a connection to " + name_);
      end_soon(waiting_.front().attempt, Outcome::connect_failed);
      waiting_.pop_front();
    } else {
      break;
    }
  }
}

// Looked at last before its bytes are put to be written.
bool RespTransport::may_begin(Job& job) {
  const Time now = time_.fresh();
  if (now >= sending_stops_at() || now >= std::min(job.expires, job.begin_by)) return false;
  const std::optional<Time> deadline = outcomes_.may_write(job.attempt);
  if (!deadline || now >= *deadline) return false;
  job.expires = std::min(job.expires, *deadline);
  return true;
}

std::size_t RespTransport::dialling() const {
  return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                [](const Link& link) { return link->dialling(); }));
}

bool RespTransport::dial() {
  if (!resources_.connections.has_capacity()) resources_.evict_idle_connection();
  if (!resources_.connections.has_capacity()) return false;
  ++resources_.connect_attempts;
  const auto link = std::make_shared<Connection>(*this);
  connections_.push_back(link);
  link->dial(address_, resources_.connect_timeout);
  return true;
}

void RespTransport::start(const Link& link, const Job& job) {
  if (link->pipe.in_flight() > 0) ++counts_.shared;
  link->last_used = time_.now();
  link->pipe.send(job.attempt, *job.message, job.expires - time_.fresh());
  link->write();
}

// What a connection has to tell is told last, when all here fits together again: whoever hears it may send,
// forget, or give this server up.
void RespTransport::changed(const Link& link) {
  const Link keep = link;
  auto ended = keep->pipe.take_ended();
  for (const Value& push : keep->pipe.take_pushes()) {
    ++counts_.pushes;
    const bool named = !push.items.empty() && push.items.front().is_text();
    if (named && upper(push.items.front().text) == "DRAINING") keep->pipe.close_when_answered();
    if (on_push_) on_push_(name_, push);
  }
  counts_.passed_over += keep->pipe.take_passed_over();
  if (keep->pipe.waited_for() > 0 || keep->pipe.in_flight() == 0) keep->owed_since = 0;
  const bool never_made = keep->last_used == 0 && keep->pipe.state() == Pipeline::State::broken;
  if (keep->pipe.finished()) {
    if (!keep->pipe.why().empty()) {
      ++counts_.broken;
      log("connection to " + name_ + ": " + keep->pipe.why());
    }
    drop(keep);
  } else if (!ended.empty() || (keep->last_used == 0 && keep->usable())) {
    keep->last_used = time_.now();
  }
  // As many wait as dial, at most: one fails for each that failed.
  if (never_made && waiting_.size() > dialling()) {
    end_soon(waiting_.front().attempt, Outcome::connect_failed);
    waiting_.pop_front();
  }
  dispatch();
  store_some();
  engine::AttemptObserver& outcomes =
      outcomes_;  // the last of these may be the last that is heard of this server
  for (Ended& end : ended) {
    if (end.answer.body.size() <= kLargeBody) continue;
    if (auto reservation = resources_.body_memory.reserve(end.answer.body.size()))
      end.answer.memory = std::move(*reservation);
    else
      end = {end.attempt, Outcome::malformed, {}};
  }
  for (Ended& end : ended) outcomes.on_attempt_ended(end.attempt, end.outcome, std::move(end.answer));
}

void RespTransport::drop(const Link& link) {
  const Link keep = link;
  keep->close();
  std::erase(connections_, keep);
}

bool RespTransport::cancel_unsent(AttemptId attempt) {
  // A dial goes on: the pool takes the result.
  if (std::erase_if(waiting_, [&](const Job& waits) { return waits.attempt == attempt; }) > 0) return true;
  for (const Link& link : connections_) {
    if (!link->pipe.cancel_unsent(attempt)) continue;
    gave_up(link);
    return true;
  }
  return false;
}

void RespTransport::cancel(AttemptId attempt, engine::CancelReason /*reason*/) {
  if (cancel_unsent(attempt)) return;
  for (const Link& link : connections_) {
    const std::size_t before = link->pipe.in_flight() - link->owed_to_nobody();
    link->pipe.forget(attempt);
    if (link->pipe.waited_for() != before) return gave_up(link);
  }
}

// What that cut off, or that nothing is left to wait for, is told once the engine's call is over.
void RespTransport::gave_up(const Link& link) {
  if (link->pipe.waited_for() == 0 && link->pipe.in_flight() > 0 && link->owed_since == 0)
    link->owed_since = time_.now();
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_), link] {
    if (alive.lock() && std::find(connections_.begin(), connections_.end(), link) != connections_.end())
      changed(link);
  });
}

void RespTransport::close_idle(Time unused_since) {
  const Time now = time_.now();
  const std::vector<Link> all = connections_;
  for (const Link& link : all) {
    const bool idle = link->usable() && link->pipe.in_flight() == 0 && link->last_used <= unused_since;
    const bool stalled = link->owed_since > 0 && now - link->owed_since > kOwedAtMost;
    if (idle || stalled) drop(link);
  }
  if (now >= sending_stops_at()) to_store_.clear();
}

bool RespTransport::close_oldest_idle() {
  Link oldest;
  for (const Link& link : connections_)
    if (link->usable() && link->pipe.in_flight() == 0 && (!oldest || link->last_used < oldest->last_used))
      oldest = link;
  if (!oldest) return false;
  drop(oldest);
  return true;
}

void RespTransport::fill_cache(const std::string& key, const std::string& value) {
  // A popular key is missed by many at once: once is enough.
  const auto waits = std::find_if(to_store_.begin(), to_store_.end(),
                                  [&](const Stored& other) { return !other.drop && other.key == key; });
  if (waits != to_store_.end()) {
    waits->value = value;
    return;
  }
  if (to_store_.size() >= settings_.store_queue || value.size() > settings_.longest_stored ||
      time_.now() >= sending_stops_at()) {
    ++counts_.not_stored;
    return;
  }
  to_store_.push_back({key, value});
  store_soon();
}

// Ahead of what is to be stored. What waits to be stored under the key may be what the write replaced.
void RespTransport::invalidate(const std::string& key) {
  std::erase_if(to_store_, [&](const Stored& waits) { return waits.key == key; });
  if (time_.now() >= sending_stops_at()) return;  // nobody asks it any more
  const auto drops = static_cast<std::size_t>(
      std::count_if(to_store_.begin(), to_store_.end(), [](const Stored& waits) { return waits.drop; }));
  if (drops >= settings_.store_queue) {
    ++counts_.not_voided;
    return;
  }
  to_store_.insert(to_store_.begin() + static_cast<std::ptrdiff_t>(drops), {key, {}, true});
  if (std::none_of(connections_.begin(), connections_.end(),
                   [](const Link& link) { return link->usable(); }) &&
      connections_.size() < settings_.connections && dialling() == 0)
    dial();
  store_soon();
}

void RespTransport::store_soon() {
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
    if (alive.lock()) store_some();
  });
}

// On a connection that has nothing else to do, one at a time: requests go first.
void RespTransport::store_some() {
  if (to_store_.empty() || !waiting_.empty()) return;
  if (time_.now() >= sending_stops_at()) {
    counts_.not_stored += to_store_.size();
    to_store_.clear();
    return;
  }
  for (const Link& link : connections_) {
    if (to_store_.empty()) return;
    if (!link->usable() || link->pipe.in_flight() > 0) continue;
    const Stored next = std::move(to_store_.front());
    to_store_.pop_front();
    ++(next.drop ? counts_.voided : counts_.stored);
    if (next.drop)
      link->pipe.remove(next.key);
    else
      link->pipe.store(next.key, next.value);
    link->write();
  }
}

void RespTransport::end_soon(AttemptId attempt, Outcome outcome) {
  asio::post(io_, [&outcomes = outcomes_, alive = std::weak_ptr<bool>(alive_), attempt, outcome] {
    if (alive.lock()) outcomes.on_attempt_ended(attempt, outcome, {});
  });
}

}  // namespace streampick::resp
