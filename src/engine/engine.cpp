#include "engine/engine.h"

#include <algorithm>
#include <utility>

namespace streampick::engine {
namespace {

constexpr Time kSecond = 1'000'000;

RequestMetrics::Result result_of(Response::Kind kind) {
  switch (kind) {
    case Response::Kind::served: return RequestMetrics::Result::served;
    case Response::Kind::rejected: return RequestMetrics::Result::rejected;
    case Response::Kind::failed: return RequestMetrics::Result::failed;
  }
  return RequestMetrics::Result::failed;
}

}  // namespace

Engine::Engine(TimeSource& time, const EngineSettings& settings, UpstreamFactory& upstream_factory, Log log)
    : time_(time),
      log_(std::move(log)),
      config_(settings.config),
      classes_(settings.config.classes, settings.classes),
      has_origin_(settings.config.cache_aside && settings.config.origin_kind != kNone),
      is_idle_(settings.is_idle),
      endpoints_(time, upstream_factory, settings.config.cache_aside ? settings.config.origin_kind : kNone),
      deadlines_([this](const Deadline& deadline) { return is_pending(deadline); }),
      wakeups_(time, [this] { wake(); }),
      periodic_timer_(time.timer([this] { run_periodic_tasks(); })),
      shutdown_timer_(time.timer([this] { end_shutdown_phase(); })) {
  bind_class_metrics();
  router_.emplace(settings.config, settings.seed, time_.now(), *this);
}

Engine::~Engine() = default;

void Engine::start(EndpointDiscovery& discovery, const EndpointList& known) {
  discovery_ = &discovery;
  report_discovery(DiscoveryStatus::not_polled);
  apply(endpoints_.apply_stored({known}, time_.now()));
  periodic_timer_->set(time_.now() + kSecond);
  process_pending_events();
}

void Engine::add(Downstream& downstream) {
  downstreams_.push_back(&downstream);
  if (draining_) downstream.on_drain_started();
}

OpenRequest* Engine::find(RequestId request) {
  const auto found = requests_.find(request);
  return found == requests_.end() ? nullptr : &found->second;
}

const OpenRequest* Engine::find(RequestId request) const {
  const auto found = requests_.find(request);
  return found == requests_.end() ? nullptr : &found->second;
}

AttemptRecord* Engine::find(AttemptId attempt) {
  OpenRequest* const open = find(attempt.request);
  if (open == nullptr || attempt.number >= open->attempts.size()) return nullptr;
  return &open->attempts[attempt.number];
}

// ---- Requests

RequestId Engine::on_request(const std::shared_ptr<ResponseSink>& response_sink, IncomingRequest incoming) {
  const Time now = time_.now();
  if (!transactions_.insert(incoming.transaction_id, now)) return 0;
  const RequestId id = ++last_request_;
  OpenRequest& opened = open(id, response_sink, incoming);
  deadlines_.add({opened.message->upload ? opened.deadline : opened.guard_at, id, std::nullopt});
  if (is_write(opened.message->operation) && endpoints_.any_wants_cache_fills())
    cache_fill_guard_.write_began(opened.key, now);
  run_missed_ticks();
  pass_to_router(id, opened, incoming);
  process_pending_events();
  return id;
}

OpenRequest& Engine::open(RequestId id, const std::shared_ptr<ResponseSink>& response_sink,
                          IncomingRequest& incoming) {
  const Time now = time_.now();
  const RequestClass& rules = classes_.rules().at(incoming.request_class);
  ++counters_.requests;
  if (incoming.tenant < requests_by_tenant_.size()) ++requests_by_tenant_[incoming.tenant];
  // The class's deadline caps the client's.
  if (rules.deadline > 0) incoming.remaining = std::min(incoming.remaining, rules.deadline);

  OpenRequest& opened = requests_[id];
  opened.response_sink = response_sink;
  opened.tag = incoming.tag;
  opened.transaction = incoming.transaction_id;
  opened.key = incoming.key;
  opened.arrived = now;
  opened.request_class = incoming.request_class;
  incoming.message->repeatable = rules.effect == Effect::safe;
  opened.message = std::move(incoming.message);
  classes_.request_opened(opened.request_class);
  opened.in_flight = metrics_.start_request(metrics_by_class_.at(opened.request_class));
  opened.client_timeout = incoming.remaining;
  const Time sending_at = response_sink->sending_at();
  opened.sending_at = sending_at > 0 ? std::min(sending_at, now) : now;
  // During a shutdown, new requests must be answered before the process is killed.
  opened.set_deadline(std::min(opened.sending_at + opened.client_timeout, shutdown_.answer_by()));
  return opened;
}

void Engine::pass_to_router(RequestId id, const OpenRequest& open, const IncomingRequest& incoming) {
  Request request;
  request.id = id;
  request.request_class = open.request_class;
  request.tenant = incoming.tenant;
  request.key = incoming.key;
  request.has_key = incoming.has_key;
  request.write = is_write(open.message->operation);
  request.deadline = open.deadline;
  request.cost_hint = incoming.cost_hint;
  router_->on_request(open.arrived, request);
}

void Engine::on_body_complete(RequestId request) {
  OpenRequest* const open = find(request);
  if (open == nullptr || open->finished) return;
  extend_router_deadline(request, *open);
}

void Engine::on_rejected_unread(std::uint32_t request_class) {
  if (request_class < metrics_by_class_.size())
    RequestMetrics::count_rejected(metrics_by_class_[request_class]);
}

void Engine::on_client_cancelled(RequestId request) {
  OpenRequest* const open = find(request);
  if (open == nullptr || open->finished) return;
  ++counters_.cancelled_by_client;
  open->finished = true;
  open->response_sink.reset();
  open->in_flight = {};
  end_upload(*open);
  cancel_unsent(request, *open);
  router_->on_cancelled(time_.now(), request);
  remove_if_done(request);
  process_pending_events();
}

// Must not be called from within the Router's actions.
void Engine::cancel_disconnected() {
  const auto disconnected = std::exchange(disconnected_requests_, {});
  for (const RequestId request : disconnected) on_client_cancelled(request);
}

// The only place where a request ends with a response; no further attempt is sent for it.
void Engine::answer(RequestId request, Response response) {
  OpenRequest* const open = find(request);
  if (open == nullptr || open->finished) return;
  open->finished = true;
  const std::shared_ptr<ResponseSink> response_sink = std::exchange(open->response_sink, nullptr);
  response.may_have_run = open->may_have_run || open->has_live_attempt();
  response.not_found = open->not_found;
  response.error_message = std::move(open->error_message);
  response.in_flight = std::move(open->in_flight);
  response.in_flight.set_result(result_of(response.kind));
  const std::uint64_t tag = open->tag;
  if (response_sink) response_sink->respond(tag, std::move(response));
  // After the response: the downstream truncates the body first, so that the upstream side ends too.
  end_upload(*open);
  cancel_unsent(request, *open);
  ended_attempts_.push_back(
      {{request, kNone}, Outcome::not_sent});  // removed once the Router is not in a call
}

void Engine::reject(RequestId request, Time retry_after) {
  ++counters_.refused;
  answer(request, {.kind = Response::Kind::rejected, .retry_after = retry_after});
}

void Engine::fail(RequestId request) {
  ++counters_.failed;
  const OpenRequest* const open = find(request);
  const bool late = open != nullptr && time_.now() >= open->deadline;
  answer(request, {.kind = Response::Kind::failed, .late = late});
}

void Engine::fail_late(RequestId request) {
  ++counters_.failed;
  answer(request, {.kind = Response::Kind::failed, .late = true});
  router_->on_cancelled(time_.now(), request);
}

// Closes the upload: the rest of its body is not needed.
void Engine::end_upload(const OpenRequest& open) {
  if (open.message->upload) open.message->upload->close_reader();
}

// No byte of a finished request may be sent: attempts that still wait for a connection are cancelled. The
// Router lets origin reads end by themselves, and does not know which of them were sent.
void Engine::cancel_unsent(RequestId request, const OpenRequest& open) {
  for (std::uint32_t number = 0; number < open.attempts.size(); ++number) {
    const AttemptRecord& attempt = open.attempts[number];
    if (!attempt.live) continue;
    const Endpoint* const endpoint = endpoints_.find(attempt.server);
    if (endpoint != nullptr && endpoint->upstream->cancel_unsent({request, number}))
      ended_attempts_.push_back({{request, number}, Outcome::not_sent});
  }
}

void Engine::remove_if_done(RequestId request) {
  const auto found = requests_.find(request);
  if (found == requests_.end() || !found->second.finished || found->second.has_live_attempt()) return;
  const OpenRequest& done = found->second;
  const Time now = time_.now();
  if (endpoints_.any_wants_cache_fills() && is_write(done.message->operation)) {
    cache_fill_guard_.write_ended(done.key, now);
    // The write ran, or may have: cached values of its key may be stale.
    if (done.may_have_run) endpoints_.invalidate(done.message->key);
  }
  classes_.request_closed(done.request_class);
  const bool has_effect = done.may_have_run && !done.message->repeatable;
  transactions_.ended(done.transaction,
                      has_effect ? TransactionIds::Effect::possible : TransactionIds::Effect::none, now);
  requests_.erase(found);
}

}  // namespace streampick::engine
