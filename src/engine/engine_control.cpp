// Everything but requests and attempts: settings, endpoint lists, operators, time, suspension and shutdown.
#include <algorithm>
#include <utility>

#include "engine/engine.h"

namespace streampick::engine {
namespace {

constexpr Time kSecond = 1'000'000;

}  // namespace

// ---- Settings

void Engine::bind_class_metrics() {
  metrics_by_class_.resize(classes_.names().size());
  for (std::size_t number = 0; number < metrics_by_class_.size(); ++number) {
    // A class number that the settings no longer use keeps the counts of its last class.
    const std::string& name = classes_.names()[number];
    const bool unnamed = name == "\n";
    if (unnamed && metrics_by_class_[number] != nullptr) continue;
    metrics_by_class_[number] = metrics_.class_counts(unnamed ? "" : name);
  }
}

void Engine::reconfigure(Config config, const std::vector<std::string>& class_names) {
  validate(config);
  run_missed_ticks();
  ClassTable next = classes_;
  next.change(config.classes, class_names);
  config.classes = next.rules();
  // These cannot change at run time.
  config.cache_aside = config_.cache_aside;
  config.origin_kind = config_.origin_kind;
  config.polls_discovery = config_.polls_discovery;
  config.zone = config_.zone;
  router_->on_config(time_.now(), config);
  classes_ = std::move(next);
  config_ = std::move(config);
  bind_class_metrics();
  process_pending_events();
}

void Engine::set_routers(std::uint32_t routers) {
  if (routers == config_.routers) return;
  run_missed_ticks();
  Config next = config_;
  next.routers = routers;
  next.classes = classes_.rules();
  router_->on_config(time_.now(), next);
  config_.routers = routers;
  process_pending_events();
}

void Engine::set_shares(Shares shares) {
  run_missed_ticks();
  router_->on_shares(time_.now(), std::move(shares));
  process_pending_events();
}

// ---- Endpoint lists

void Engine::apply(const EndpointRegistry::ListChange& change) {
  const Time now = time_.now();
  for (const NumberedOverride& next : change.overrides) router_->on_override(now, next.server, next.value);
  router_->on_members(now, change.update, change.members);
  process_pending_events();
  for (const ServerId id : change.departed) endpoints_.forget_if_unused(id);
}

void Engine::report_discovery(DiscoveryStatus status) { router_->on_discovery(time_.now(), status); }

void Engine::on_endpoint_list(const EndpointList& list) {
  on_discovery_answered();
  on_merged_list(list);
}

void Engine::on_merged_list(const EndpointList& list) {
  run_missed_ticks();
  apply(endpoints_.apply(list, time_.now()));
  process_pending_events();
}

void Engine::on_stored_list(const StoredEndpointList& stored) {
  run_missed_ticks();
  apply(endpoints_.apply_stored(stored, time_.now()));
  process_pending_events();
}

void Engine::on_discovery_answered() {
  run_missed_ticks();
  report_discovery(DiscoveryStatus::answered);
  process_pending_events();
}

void Engine::on_discovery_failed() {
  run_missed_ticks();
  report_discovery(DiscoveryStatus::failed);
  process_pending_events();
}

void Engine::poll_discovery() {
  if (discovery_ != nullptr) discovery_->watch();
}

// ---- Operators

void Engine::set_override(const std::string& name, bool is_disabled, Time started) {
  run_missed_ticks();
  const std::optional<NumberedOverride> next =
      endpoints_.set_override(name, {is_disabled, started}, time_.now());
  if (!next) return;
  router_->on_override(time_.now(), next->server, next->value);
  process_pending_events();
}

EndpointRegistry::Counts Engine::endpoint_counts() const {
  return endpoints_.counts([this](ServerId id) { return router_->is_ejected(id); });
}

void Engine::set_draining(bool draining) {
  const bool changes = std::exchange(draining_, draining) != draining;
  if (!changes || shutdown_.started()) return;
  for (Downstream* const downstream : downstreams_) {
    if (draining) {
      downstream->on_drain_started();
    } else {
      downstream->on_drain_ended();
    }
  }
}

// ---- Time

// Reports attempts that ended and clients that disconnected during the Router's actions, which must not call
// back into the Router. Then schedules the next wake-up.
void Engine::process_pending_events() {
  if (is_processing_events_) return;
  is_processing_events_ = true;
  while (!ended_attempts_.empty() || !disconnected_requests_.empty()) {
    if (!disconnected_requests_.empty()) {
      cancel_disconnected();
      continue;
    }
    const EndedAttempt next = ended_attempts_.front();
    ended_attempts_.pop_front();
    report(next.attempt, next.outcome);
  }
  is_processing_events_ = false;
  schedule_wakeup();
  finish_if_drained();
}

void Engine::schedule_wakeup() {
  if (is_idle_ && requests_.empty()) {
    wakeups_.disarm();
    return;
  }
  wakeups_.wake_by(std::min(router_->next_wakeup(), deadlines_.next_time()));
}

void Engine::run_missed_ticks() {
  if (!is_idle_ || !wakeups_.is_disarmed()) return;
  engine::run_missed_ticks(*router_, time_.now());
  if (!periodic_timer_armed_) run_periodic_tasks();
}

bool Engine::is_pending(const Deadline& deadline) const {
  const OpenRequest* const open = find(deadline.request);
  if (open == nullptr) return false;
  if (!deadline.attempt) return !open->finished;
  return *deadline.attempt < open->attempts.size() && open->attempts[*deadline.attempt].live;
}

// While the body of a request is streamed, its client may still be sending: its deadline is then later than
// it was when the request arrived. Only known at the time of need, since it depends on what the client has
// sent by then. The queue keeps the entries of the earlier deadline, which wake() replaces.
void Engine::extend_deadline(OpenRequest& open) {
  if (!open.message->upload || !open.response_sink) return;
  const Time sending_at = open.response_sink->sending_at();
  if (sending_at <= open.sending_at) return;
  open.sending_at = sending_at;
  open.set_deadline(std::min(sending_at + open.client_timeout, shutdown_.answer_by()));
  for (AttemptRecord& attempt : open.attempts) attempt.expires = open.deadline;
}

// Must not be called from within the Router's actions.
void Engine::extend_router_deadline(RequestId request, OpenRequest& open) {
  if (!open.message->upload || open.finished) return;
  extend_deadline(open);
  router_->on_deadline_extended(time_.now(), request, open.deadline);
}

// Of a request with a streamed body the deadline itself is due before the guard: it is extended then, if the
// client is still sending, before the Router ends the request.
Time Engine::due_time_of(const Deadline& deadline, Time now) const {
  const OpenRequest& open = *find(deadline.request);
  if (deadline.attempt) return open.attempts[*deadline.attempt].expires;
  return open.message->upload && open.deadline > now ? open.deadline : open.guard_at;
}

void Engine::wake() {
  const Time now = time_.now();
  std::vector<RequestId> to_guard;
  while (const std::optional<Deadline> due = deadlines_.pop_due(now)) {
    extend_router_deadline(due->request, *find(due->request));
    if (const Time due_time = due_time_of(*due, now); due_time > now) {
      deadlines_.add({due_time, due->request, due->attempt});
      continue;
    }
    if (!due->attempt) {
      to_guard.push_back(due->request);
      continue;
    }
    const AttemptId id{due->request, *due->attempt};
    endpoints_.find(find(id)->server)->upstream->cancel(id, CancelReason::timed_out);
    ended_attempts_.push_back({id, Outcome::timeout});
  }
  process_pending_events();
  if (router_->next_wakeup() <= now) router_->on_wakeup(now);
  process_pending_events();
  // The deadline guard comes last: after a stall both may be due at once, and the Router's answer takes
  // precedence.
  for (const RequestId request : to_guard) guard_deadline(request);
  process_pending_events();
}

// The Router must finish each request by its deadline. If a fault of the Router prevents that, this sends the
// response and logs the fault.
void Engine::guard_deadline(RequestId request) {
  const OpenRequest* const open = find(request);
  if (open == nullptr || open->finished) return;
  ++counters_.deadline_guards;
  if (!shutdown_.started() && !open->deadline_moved)
    log_("GUARD: the decision module left request " + open->message->transaction_id +
         " unanswered at its deadline");
  fail_late(request);
}

void Engine::process_suspended(Time length) {
  const Time now = time_.now();
  std::vector<RequestId> overdue;
  for (auto& [id, open] : requests_) {
    extend_deadline(open);
    open.deadline -= length;
    open.guard_at -= length;
    open.deadline_moved = true;
    for (AttemptRecord& attempt : open.attempts) attempt.expires -= length;
    if (!open.finished && open.deadline <= now) overdue.push_back(id);
  }
  deadlines_.advance_all(length);
  for (const RequestId id : overdue) fail_late(id);
  endpoints_.close_idle(kNever);
  wakeups_.forget_armed_time();
  process_pending_events();
}

void Engine::run_periodic_tasks() {
  const Time now = time_.now();
  const Time keep_alive = config_.keep_alive;
  // Closes idle connections shortly before the server does: a request sent while the server closes its
  // connection is lost.
  if (keep_alive > 0) endpoints_.close_idle(now - std::max(keep_alive - 2 * kSecond, keep_alive * 8 / 10));
  endpoints_.forget_unused();  // the last streamed response of a departed server may be complete
  transactions_.forget_old(now);
  periodic_timer_armed_ = !is_idle_ || !requests_.empty() || !is_idle_();
  if (periodic_timer_armed_) periodic_timer_->set(now + kSecond);
  process_pending_events();
}

// ---- Shutdown

void Engine::notify_drain_started() {
  for (Downstream* const downstream : downstreams_) downstream->on_drain_started();
}

std::size_t Engine::unanswered() const {
  std::size_t total = 0;
  for (const Downstream* const downstream : downstreams_) total += downstream->unanswered();
  return total;
}

void Engine::shut_down(std::function<void()> done) {
  if (shutdown_.started()) return;
  on_shutdown_complete_ = std::move(done);
  shutdown_.start(time_.now(), classes_.longest_deadline());
  for (Downstream* const downstream : downstreams_) downstream->on_shutdown_started();
  notify_drain_started();
  shutdown_timer_->set(shutdown_.phase_end());
}

void Engine::end_shutdown_phase() {
  shutdown_.next_phase(time_.now());
  switch (shutdown_.phase()) {
    case ShutdownPhase::running:
    case ShutdownPhase::accepting: break;
    case ShutdownPhase::answering:
      for (Downstream* const downstream : downstreams_) downstream->stop_accepting();
      notify_drain_started();
      shutdown_timer_->set(shutdown_.phase_end());
      finish_if_drained();
      break;
    case ShutdownPhase::last_writes:
      fail_all_open();
      for (Downstream* const downstream : downstreams_) downstream->stop_reading();
      shutdown_timer_->set(shutdown_.phase_end());
      process_pending_events();
      break;
    case ShutdownPhase::over:
      // Does not wait any longer for clients that do not read their responses.
      if (on_shutdown_complete_) std::exchange(on_shutdown_complete_, nullptr)();
      break;
  }
}

void Engine::fail_all_open() {
  std::vector<RequestId> open;
  for (const auto& [id, request] : requests_)
    if (!request.finished) open.push_back(id);
  for (const RequestId id : open) guard_deadline(id);
}

void Engine::finish_if_drained() {
  if (!on_shutdown_complete_ || !shutdown_.may_finish() || unanswered() > 0) return;
  shutdown_timer_->cancel();
  std::exchange(on_shutdown_complete_, nullptr)();
}

}  // namespace streampick::engine
