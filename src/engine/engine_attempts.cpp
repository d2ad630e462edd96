// Attempts: how they are sent, cancelled and ended.
#include <algorithm>
#include <utility>

#include "engine/engine.h"

namespace streampick::engine {

void Engine::send(RequestId request, ServerId server, Time time_out) {
  OpenRequest* const open = find(request);
  if (open == nullptr) return;
  const Time now = time_.now();
  const AttemptId id{request, static_cast<std::uint32_t>(open->attempts.size())};
  const Time expires = time_out > 0 ? std::min(open->deadline, now + time_out) : open->deadline;
  open->attempts.push_back({.server = server, .sent = now, .expires = expires});
  ++counters_.attempts;
  endpoints_.attempt_began(server);
  const Time begin_by = latest_start_of_last_attempt(*open, classes_.rules().at(open->request_class));
  if (time_out < 0 || !may_send(id, *open, begin_by)) {
    ended_attempts_.push_back({id, Outcome::not_sent});
    return;
  }
  deadlines_.add({expires, request, id.number});
  endpoints_.find(server)->upstream->send(id, open->message, expires, begin_by);
}

bool Engine::may_send(AttemptId id, const OpenRequest& open, Time begin_by) {
  const AttemptRecord& attempt = open.attempts[id.number];
  if (endpoints_.find(attempt.server) == nullptr || open.finished || open.client_gone) return false;
  if (std::min(attempt.expires, begin_by) <= time_.now()) return false;
  const bool is_first = id.number == 0;
  // A streamed body that was partly read cannot be sent again.
  if (!is_first && open.message->body_consumed()) return false;
  // A further attempt may need a new connection, which is not opened for a disconnected client.
  return is_first || may_write(id).has_value();
}

// The event loop may process an attempt before it processes the client's disconnect, whichever of the two
// became ready first. Upstreams therefore call this before each write, and it checks the client's socket.
std::optional<Time> Engine::may_write(AttemptId id) {
  OpenRequest* const open = find(id.request);
  if (open == nullptr || open->finished || open->client_gone) return std::nullopt;
  const AttemptRecord* const attempt = find(id);
  if (attempt == nullptr || !attempt->live) return std::nullopt;
  if (open->response_sink && open->response_sink->client_gone()) {
    open->client_gone = true;
    disconnected_requests_.push_back(id.request);
    return std::nullopt;
  }
  extend_deadline(*open);
  return attempt->expires;
}

void Engine::cancel(RequestId request, std::uint32_t number) {
  const AttemptId id{request, number};
  const AttemptRecord* const attempt = find(id);
  if (attempt == nullptr || !attempt->live) return;
  ++counters_.cancelled_attempts;
  // If the request is not finished, it is sent again, and its former attempt must not continue: the reason
  // makes the upstream close the connection.
  const auto reason = find(request)->finished ? CancelReason::no_longer_needed : CancelReason::timed_out;
  const Endpoint* const endpoint = endpoints_.find(attempt->server);
  if (endpoint != nullptr) endpoint->upstream->cancel(id, reason);
  ended_attempts_.push_back({id, Outcome::cancelled});
}

void Engine::on_attempt_ended(AttemptId id, Outcome outcome, Answer answered) {
  if (!disconnected_requests_.empty()) cancel_disconnected();
  const AttemptRecord* const attempt = find(id);
  if (attempt == nullptr || !attempt->live) return;
  OpenRequest& open = *find(id.request);
  if (outcome == Outcome::served && !open.finished) {
    ++counters_.served;
    if (endpoints_.any_wants_cache_fills()) fill_caches(open, answered);
    answer(id.request, {.kind = Response::Kind::served, .answer = std::move(answered)});
  } else if (outcome == Outcome::invalid_request) {
    open.error_message = std::move(answered.body);
  }
  report(id, outcome);
  process_pending_events();
}

// Reports the end of an attempt to the Router exactly once, even if the request is already finished.
void Engine::report(AttemptId id, Outcome outcome) {
  if (id.number == kNone) return remove_if_done(id.request);
  AttemptRecord* const attempt = find(id);
  if (attempt == nullptr || !attempt->live) return;
  OpenRequest& open = *find(id.request);
  attempt->live = false;
  attempt->missed = outcome == Outcome::miss;
  attempt->never_ran = certainly_never_ran(outcome);
  if (!attempt->never_ran) open.may_have_run = true;
  ++counters_.outcomes[static_cast<std::size_t>(outcome)];
  const ServerId server = attempt->server;
  // A key does not exist if the origin lacks it or, without an origin, if any server lacks it.
  const Endpoint* const endpoint = endpoints_.find(server);
  if (attempt->missed && (!has_origin_ || (endpoint != nullptr && endpoint->is_origin)))
    open.not_found = true;
  report_to_router(id, open, *attempt, outcome);
  endpoints_.on_attempt_ended(server);
  remove_if_done(id.request);
}

void Engine::report_to_router(AttemptId id, const OpenRequest& open, const AttemptRecord& attempt,
                              Outcome outcome) {
  const Time now = time_.now();
  AttemptResult result;
  result.request = id.request;
  result.attempt = id.number;
  result.server = attempt.server;
  result.outcome = outcome;
  result.duration = now - attempt.sent;
  result.request_over = open.finished;
  result.body_consumed = open.message->body_consumed();
  router_->on_result(now, result);
}

// Stores a value from the origin at the cache servers that reported a miss for it. Does not delay the
// request: the upstream has a bounded queue of values, and drops the value when the queue is full.
void Engine::fill_caches(const OpenRequest& open, const Answer& answer) {
  const Message& message = *open.message;
  const bool is_plain_read = message.operation == Operation::read && message.words.empty();
  if (!is_plain_read || answer.form != Answer::Form::value || answer.stream) return;
  if (!cache_fill_guard_.may_store(open.key, open.arrived)) return;
  for (const AttemptRecord& attempt : open.attempts) {
    if (!attempt.missed) continue;
    const Endpoint* const endpoint = endpoints_.find(attempt.server);
    if (endpoint == nullptr || !endpoint->listed || !endpoint->upstream->wants_cache_fills()) continue;
    if (endpoint->upstream->sending_stops_at() <= time_.now()) continue;
    ++counters_.cache_fills;
    endpoint->upstream->fill_cache(message.key, answer.body);
  }
}

void Engine::close_idle(ServerId server) {
  if (const Endpoint* const endpoint = endpoints_.find(server)) endpoint->upstream->close_idle(kNever);
}

}  // namespace streampick::engine
