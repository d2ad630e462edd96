#include "http1/server.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>
#include <vector>

#include "http1/client_limits.h"
#include "http1/client_session.h"

namespace streampick::http1 {
namespace {

net::Listener make_listener(asio::io_context& io, const net::tcp::endpoint& address,
                            net::Listener::Handler& owner, int listening_descriptor) {
  if (listening_descriptor < 0) {
    return {io, address, owner};
  }
  return {io, listening_descriptor, address, owner};
}

// Idle connections may be evicted for new ones unless more than one in this many connections has never sent a
// request.
constexpr std::size_t kCapacityPerSilentConnection = 4;

}  // namespace

Server::Server(asio::io_context& io, net::Clock& clock, const Names& names,
               engine::RequestHandler& request_handler, const net::tcp::endpoint& address,
               overload::DescriptorBudget& descriptors, const overload::Settings& overload_settings,
               net::LoadShedder& load_shedder, net::MessageMemory& body_memory, int listening_descriptor)
    : context_{.clock = clock,
               .names = names,
               .request_handler = request_handler,
               .load_shedder = load_shedder,
               .body_memory = body_memory,
               .keep_alive = overload::KeepAlivePolicy(descriptors.total(), overload_settings),
               .on_session_closed = [this] { on_session_closed(); }},
      listener_(make_listener(io, address, *this, listening_descriptor)),
      sweep_timer_(io),
      descriptors_(descriptors) {
  sweep();
}

Server::~Server() {
  for (const SessionLists::List& list : context_.sessions.all()) {
    for (const auto& session : list) {
      session->detach();
    }
  }
}

// ---- Accepting

bool Server::can_accept() {
  if (descriptors_.has_capacity(kSide) || evict_connection()) {
    return true;
  }
  ++context_.counts.accept_waits;
  return false;
}

void Server::on_accepted(net::tcp::socket socket) {
  const auto session = std::make_shared<ClientSession>(context_, std::move(socket));
  ++context_.counts.accepted;
  ++open_;
  descriptors_.reserve(kSide);
  session->start(context_.sessions.insert(SessionState::accepted, session));
}

void Server::on_session_closed() {
  --open_;
  descriptors_.release(kSide);
  listener_.resume();
}

void Server::stop_accepting() {
  listener_.stop();
  allows_last_request_ = false;
}

// ---- Eviction

bool Server::has_aged(SessionState state, Time min_age) const {
  const SessionLists::List& list = context_.sessions.in(state);
  return !list.empty() && context_.clock.now() - list.front()->since() >= min_age;
}

// Skips connections with unread bytes, since those may be a request.
bool Server::evict_oldest(SessionState state) {
  for (const auto& session : context_.sessions.in(state)) {
    if (session->has_unread_bytes()) {
      continue;
    }
    ++context_.counts.evicted;
    session->close();
    return true;
  }
  return false;
}

bool Server::evict_lingering(Time min_age) {
  if (!has_aged(SessionState::lingering, min_age)) {
    return false;
  }
  ++context_.counts.evicted;
  const auto session = context_.sessions.in(SessionState::lingering).front();
  session->close();
  return true;
}

bool Server::evict_connection() {
  // A connection that lingers for a shorter time might lose its last response: bytes from the client that
  // cross the close cause a reset.
  if (evict_lingering(kEvictionGrace)) {
    return true;
  }
  if (has_aged(SessionState::accepted, kEvictionGrace) && evict_oldest(SessionState::accepted)) {
    return true;
  }
  // Many idle clients that sent one request and stay connected must not keep new clients waiting just because
  // a few connections are too new to be evicted.
  if (has_aged(SessionState::idle, kPreferredEvictionIdle) && evict_oldest(SessionState::idle)) {
    return true;
  }
  if (evict_lingering(0)) {
    return true;
  }
  const std::size_t silent = context_.sessions.in(SessionState::accepted).size();
  if (silent * kCapacityPerSilentConnection > descriptors_.capacity(kSide)) {
    return false;
  }
  return evict_oldest(SessionState::idle) || evict_oldest(SessionState::reading_head);
}

// ---- Draining

void Server::on_drain_started() {
  context_.is_draining = true;
  if (!allows_last_request_) {
    close_idle();
  }
}

// The process that takes over accepts on the same listening socket. Closing idle connections now would force
// clients whose requests cross the close to send them again. Instead each connection may carry one more
// request, and is closed after its response.
void Server::on_shutdown_started() {
  if (!listener_.is_shared()) {
    return;
  }
  listener_.stop();
  allows_last_request_ = true;
}

void Server::on_drain_ended() { context_.is_draining = false; }

// Leaves connections that were just accepted open: their clients are about to send a request, which would
// count as rejected.
void Server::close_idle() {
  close_idle_longer_than(SessionState::accepted, kDrainGrace);
  close_idle_longer_than(SessionState::idle, 0);
}

void Server::close_idle_longer_than(SessionState state, Time min_age) {
  const Time now = context_.clock.now();
  const SessionLists::List sessions = context_.sessions.in(state);
  for (const auto& session : sessions) {
    if (now - session->since() >= min_age) {
      session->close_if_idle();
    }
  }
}

// ---- Time limits

void Server::sweep() {
  time_out_sessions();
  close_disconnected();
  // New connections are still accepted for a while, and some of them send no request.
  if (context_.is_draining && !allows_last_request_) {
    close_idle();
  }
  schedule_sweep();
}

void Server::time_out_sessions() {
  struct Limit {
    SessionState state;
    Time time;
  };
  const Time now = context_.clock.now();
  const Time idle_timeout = context_.keep_alive.idle_timeout(context_.sessions.active());
  const std::array<Limit, 5> limits = {{{SessionState::accepted, kRequestHeadTimeout},
                                        {SessionState::reading_head, kRequestHeadTimeout},
                                        {SessionState::idle, idle_timeout},
                                        {SessionState::responding, kResponseStallTimeout},
                                        {SessionState::lingering, kLingerTimeout}}};
  std::vector<std::shared_ptr<ClientSession>> overdue;
  for (const Limit& limit : limits) {
    for (const auto& session : context_.sessions.in(limit.state)) {
      if (now - session->since() <= limit.time) {
        break;
      }
      overdue.push_back(session);
    }
  }
  for (const SessionState state : {SessionState::reading_body, SessionState::uploading}) {
    for (const auto& session : context_.sessions.in(state)) {
      if (session->is_too_slow(now)) {
        overdue.push_back(session);
      }
    }
  }
  for (const auto& session : overdue) {
    if (session->time_out()) {
      ++context_.counts.timed_out;
    }
  }
}

void Server::close_disconnected() {
  std::vector<std::shared_ptr<ClientSession>> disconnected;
  for (const SessionState state : {SessionState::processing, SessionState::uploading}) {
    for (const auto& session : context_.sessions.in(state)) {
      if (session->has_disconnected_unseen()) {
        disconnected.push_back(session);
      }
    }
  }
  for (const auto& session : disconnected) {
    session->close();
  }
}

void Server::schedule_sweep() {
  context_.stall_detector.on_tick();
  sweep_timer_.expires_at(context_.stall_detector.next_tick());
  sweep_timer_.async_wait([this](net::error_code cancelled) {
    if (!cancelled) {
      sweep();
    }
  });
}

// ---- Counts

// Tools parse the summary line, so its labels must not change.
std::string Server::summary() const {
  const ServerCounts& counts = context_.counts;
  return "clients=" + std::to_string(open_) + " accepted=" + std::to_string(counts.accepted) +
         " spared=" + std::to_string(counts.evicted) + " expired=" + std::to_string(counts.timed_out) +
         " waited=" + std::to_string(counts.accept_waits) +
         " unread=" + std::to_string(counts.invalid_requests) +
         " once=" + std::to_string(counts.closed_under_pressure) + " shed=" + std::to_string(counts.shed) +
         " left=" + std::to_string(counts.disconnects);
}

std::size_t Server::unanswered() const {
  const SessionLists& sessions = context_.sessions;
  const SessionLists::List& idle = sessions.in(SessionState::idle);
  const auto unread = std::count_if(idle.begin(), idle.end(),
                                    [](const auto& session) { return session->has_unread_request(); });
  return sessions.in(SessionState::accepted).size() + sessions.in(SessionState::lingering).size() +
         sessions.active() - idle.size() + static_cast<std::size_t>(unread);
}

}  // namespace streampick::http1
