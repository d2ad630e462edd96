#include "http1/upstream.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "http1/reuse_rules.h"
#include "net/log.h"

namespace streampick::http1 {
namespace {

// While fewer connections than this to one server are open, new ones are established so that attempts need
// not wait for an idle one to settle.
constexpr std::size_t kMaxConnectionsForSettling = 64;

// Maximum length of an invalid address in the log, in bytes.
constexpr std::size_t kMaxLoggedAddress = 80;

}  // namespace

Upstream::Upstream(asio::io_context& io, engine::TimeSource& clock, net::UpstreamResources& resources,
                   engine::AttemptObserver& outcomes, std::string name)
    : io_(io),
      clock_(clock),
      resources_(resources),
      observer_(outcomes),
      name_(std::move(name)),
      settle_timer_(io),
      alive_(std::make_shared<bool>(true)) {}

Upstream::~Upstream() {
  idle_.close_all();
  for (const ConnectionPtr& connection : busy_) connection->close();
  for (const ConnectionPtr& connection : draining_) {
    --resources_.drains.active;
    connection->close();
  }
  for (const ConnectionPtr& connection : connecting_) connection->close();
  const ConnectionSet streaming = std::exchange(streaming_, {});
  for (const ConnectionPtr& connection : streaming) connection->close();
}

// ---- engine::Upstream

void Upstream::set_address(const std::string& address) {
  if (address == address_text_) return;
  const auto endpoint = net::parse_endpoint(address);
  if (!endpoint) {
    net::log("invalid address of " + name_ + ": " + address.substr(0, kMaxLoggedAddress));
    return;
  }
  address_text_ = address;
  address_ = *endpoint;
  // Requests in flight at the former address may still be answered; their connections are not used again.
  close_idle(kNever);
  close_connecting();
  connect_for_queued();
}

void Upstream::send(engine::AttemptId attempt, std::shared_ptr<const engine::Message> message, Time expires,
                    Time begin_by) {
  // Commands of the other protocols have no equivalent in HTTP.
  const engine::Operation operation = message->operation;
  if (operation == engine::Operation::other_read || operation == engine::Operation::other_write)
    return report_soon(attempt, Outcome::invalid_request);
  queue_.push({.id = attempt, .message = std::move(message), .expires = expires, .begin_by = begin_by});
  dispatch_queued();
}

void Upstream::stop_sending_at(Time time) {
  engine::Upstream::stop_sending_at(time);
  if (clock_.now() < time) return;
  end_queued(Outcome::not_sent);
  close_connecting();
}

// The connection that was being established for the attempt is kept: the server has already spent its share
// of the work on it, and another attempt can use it.
bool Upstream::cancel_unsent(engine::AttemptId attempt) { return queue_.remove(attempt); }

void Upstream::cancel(engine::AttemptId attempt, engine::CancelReason reason) {
  if (cancel_unsent(attempt)) return;
  const ConnectionPtr connection = find_busy(attempt);
  if (!connection) return;
  const Time max_wait =
      reason == engine::CancelReason::no_longer_needed ? max_drain_time(*connection) : Time{0};
  if (reason == engine::CancelReason::timed_out && !connection->has_received())
    idle_.close_unused_since_request(connection->request_started_at());
  if (max_wait <= 0) return close_connection(connection);
  busy_.erase(connection);
  draining_.insert(connection);
  ++resources_.drains.active;
  ++resources_.drains.started;
  connection->drain(max_wait);
}

void Upstream::close_idle(Time unused_since) {
  idle_.close_unused(unused_since, clock_.now());
  if (unused_since != kNever) return;
  while (!draining_.empty()) close_one_draining();
}

bool Upstream::close_oldest_idle() {
  if (draining_.empty()) return idle_.close_least_recently_used();
  close_one_draining();
  return true;
}

// ---- Called by connections

void Upstream::on_connected(const ConnectionPtr& connection) {
  connecting_.erase(connection);
  make_idle(connection);
}

void Upstream::on_connect_failed(const ConnectionPtr& connection) {
  close_connection(connection);
  // Each queued attempt counts on one connection that is being established or is about to settle: when one of
  // those fails, one attempt fails.
  if (queue_.size() <= connecting_.size() + idle_.size()) return;
  const UpstreamAttempt attempt = queue_.pop();
  report(attempt.id, Outcome::connect_failed, {});
}

void Upstream::on_response_ended(const ConnectionPtr& connection, bool cancelled) {
  if (cancelled) {
    remove_draining(connection);
    ++resources_.drains.reused;
  } else if (busy_.erase(connection) == 0) {
    streaming_.erase(connection);
  }
  make_idle(connection);
}

void Upstream::on_streaming_started(const ConnectionPtr& connection) {
  ++resources_.streams.started;
  ++resources_.streams.open;
  busy_.erase(connection);
  streaming_.insert(connection);
}

void Upstream::close_connection(const ConnectionPtr& connection) {
  remove_draining(connection);
  connection->close();
  const std::size_t removed =
      streaming_.erase(connection) + busy_.erase(connection) + connecting_.erase(connection);
  if (removed == 0) idle_.remove(connection);
}

void Upstream::report(engine::AttemptId attempt, Outcome outcome, engine::Answer answer) {
  observer_.on_attempt_ended(attempt, outcome, std::move(answer));
}

// ---- Attempts

void Upstream::dispatch_queued() {
  while (!queue_.empty()) {
    const bool unsettled =
        queue_.front().message->repeatable && response_time_.is_at_least(kSlowResponseTime);
    const ConnectionPtr connection = idle_.take(unsettled, clock_.now());
    if (!connection) break;
    busy_.insert(connection);
    start(connection, queue_.pop());
  }
  connect_for_queued();
  if (!queue_.empty() && !idle_.empty()) dispatch_when_settled();
}

void Upstream::start(const ConnectionPtr& connection, UpstreamAttempt attempt) {
  if (may_begin(attempt)) return connection->start(std::move(attempt), clock_.now());
  busy_.erase(connection);
  idle_.add(connection);
  report_soon(attempt.id, Outcome::not_sent);
}

// Returns whether the attempt may still be written after its wait for a connection: not after its own
// deadline, after its server stopped taking requests, or when its client no longer needs it. Lowers the
// attempt's deadline to the observer's.
bool Upstream::may_begin(UpstreamAttempt& attempt) {
  const Time now = clock_.fresh();
  if (now >= sending_stops_at_ || now >= std::min(attempt.expires, attempt.begin_by)) return false;
  const std::optional<Time> deadline = observer_.may_write(attempt.id);
  if (!deadline || now >= *deadline) return false;
  attempt.expires = std::min(attempt.expires, *deadline);
  return true;
}

void Upstream::end_queued(Outcome outcome) {
  for (const UpstreamAttempt& attempt : queue_.take_all()) report_soon(attempt.id, outcome);
}

void Upstream::report_soon(engine::AttemptId attempt, Outcome outcome) {
  asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_), attempt, outcome] {
    if (alive.lock()) report(attempt, outcome, {});
  });
}

// ---- Connections

void Upstream::connect_for_queued() {
  while (queue_.size() > connecting_.size() && should_connect()) {
    if (ensure_descriptor()) {
      connect();
      continue;
    }
    net::log("no file descriptor left for a connection to " + name_);
    const UpstreamAttempt attempt = queue_.pop_newest();
    report_soon(attempt.id, Outcome::connect_failed);
  }
}

// An attempt can wait for an idle connection to settle, unless the server usually responds faster than that
// or several attempts wait.
bool Upstream::should_connect() const {
  if (queue_.size() > connecting_.size() + idle_.size()) return true;
  const bool waiting_costs = response_time_.is_known_below(kStrayResponseTime);
  const bool several_wait = queue_.size() > connecting_.size() + 1;
  if (!waiting_costs && !several_wait) return false;
  const std::size_t open = idle_.size() + busy_.size() + connecting_.size();
  return open < kMaxConnectionsForSettling && resources_.connections.has_capacity();
}

bool Upstream::ensure_descriptor() {
  if (!resources_.connections.has_capacity()) resources_.evict_idle_connection();
  return resources_.connections.has_capacity();
}

void Upstream::connect() {
  ++resources_.connect_attempts;
  const auto connection = std::make_shared<UpstreamConnection>(*this);
  connecting_.insert(connection);
  connection->connect(address_, resources_.connect_timeout);
}

void Upstream::close_connecting() {
  for (const ConnectionPtr& connection : std::exchange(connecting_, {})) connection->close();
}

void Upstream::make_idle(const ConnectionPtr& connection) {
  if (connection->last_used() == 0) connection->mark_used(clock_.now());
  if (connection->server() != address_ || clock_.now() >= sending_stops_at_) {
    close_connection(connection);
  } else {
    idle_.add(connection);
  }
  dispatch_queued();
}

void Upstream::dispatch_when_settled() {
  const Time wait = std::max<Time>(0, idle_.first_settled_at() - clock_.now());
  settle_timer_.expires_after(std::chrono::microseconds(wait));
  settle_timer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](net::error_code cancelled) {
    if (!cancelled && alive.lock()) dispatch_queued();
  });
}

Upstream::ConnectionPtr Upstream::find_busy(engine::AttemptId attempt) const {
  const auto found = std::find_if(busy_.begin(), busy_.end(), [&](const ConnectionPtr& connection) {
    return connection->attempt() && connection->attempt()->id == attempt;
  });
  return found == busy_.end() ? nullptr : *found;
}

// The maximum time in microseconds to wait for the response to an attempt that is no longer needed; 0 if its
// connection must be closed at once.
Time Upstream::max_drain_time(const UpstreamConnection& connection) const {
  if (!connection.can_drain() || clock_.now() >= sending_stops_at_) return 0;
  return resources_.cancellation.drain_timeout({.elapsed = clock_.now() - connection.request_started_at(),
                                                .usual_latency = response_time_.average(),
                                                .draining = resources_.drains.active,
                                                .open_connections = resources_.connections.open(),
                                                .draining_at_endpoint = draining_.size()});
}

void Upstream::remove_draining(const ConnectionPtr& connection) {
  if (draining_.erase(connection) > 0) --resources_.drains.active;
}

void Upstream::close_one_draining() {
  const auto node = draining_.extract(draining_.begin());
  --resources_.drains.active;
  node.value()->close();
}

}  // namespace streampick::http1
