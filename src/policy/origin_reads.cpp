#include "policy/origin_reads.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace streampick::policy {
namespace {

// An origin attempt is stalled once it has taken this multiple of the mean latency and this many other
// attempts have been answered since it was sent. It is lost, and sent again, from the second pair of
// thresholds on. See docs/overload.md.
constexpr double kStalledLatencies = 3;
constexpr std::uint32_t kStalledAnswers = 8;
constexpr double kLostLatencies = 4;
constexpr std::uint32_t kLostAnswers = 32;

// The first cache that missed the request's key; the origin read that followed has filled it.
std::optional<ServerId> first_cache_miss(const RequestState& request) {
  for (const AttemptState& attempt : request.sent_attempts()) {
    if (attempt.outcome == Outcome::miss && !attempt.in_flight) {
      return attempt.endpoint;
    }
  }
  return std::nullopt;
}

}  // namespace

void OriginReads::fetch(RequestState& request, Time now) {
  if (!request.request.write && request.request.has_key) {
    const auto [flight, is_first] = flights_.try_emplace(request.request.key, request.self.slot);
    if (!is_first && flight->second != request.self.slot) {
      request.origin_stage = OriginStage::following;
      deps_.requests.at(flight->second).followers.push_back(request.self.slot);
      return;
    }
  }
  request.origin_stage = OriginStage::queued;
  if (request.request.write) {
    writes_.push_front(request.self);
  } else {
    reads_.push_back(request.self);
  }
  drain(now);
}

void OriginReads::drain(Kind kind, Time now) {
  Queue& queue = kind == Kind::write ? writes_ : reads_;
  while (!queue.empty()) {
    const RequestRef ref = queue.front();
    if (!is_queued(ref)) {
      queue.pop_front();
      continue;
    }
    RequestState& request = deps_.requests.at(ref.slot);
    const bool misses = misses_objective(request, kind, now);
    if (!misses && !has_room(kind, now)) {
      return;
    }
    queue.pop_front();
    if (misses || request.attempt_count >= deps_.rules.max_attempts(request) ||
        !deps_.rules.may_resend(request, now)) {
      deps_.handler.give_up(request, now);
      continue;
    }
    request.origin_stage = OriginStage::in_flight;
    deps_.dispatcher.send(request, *deps_.endpoints.origin(), now);
  }
}

bool OriginReads::is_queued(RequestRef ref) const {
  return deps_.requests.is_active(ref) && deps_.requests.at(ref.slot).origin_stage == OriginStage::queued;
}

// If the read queue is longer than the limit, reads that can no longer meet their latency objective are
// dropped in favour of those that still can.
bool OriginReads::misses_objective(const RequestState& request, Kind kind, Time now) const {
  if (kind == Kind::write || request.in_flight_count > 0) {
    return false;
  }
  const Time answered_at = now + static_cast<Time>(deps_.limit.mean_latency());
  return answered_at > request.arrived_at + deps_.rules.class_of(request).latency_objective &&
         static_cast<double>(reads_.size()) > deps_.limit.value();
}

bool OriginReads::has_room(Kind kind, Time now) const {
  if (!origin_is_ready() || !lease_allows(now)) {
    return false;
  }
  const AttemptDispatcher& dispatcher = deps_.dispatcher;
  if (kind == Kind::write) {
    return deps_.limit.allows_write(dispatcher.origin_writes());
  }
  return deps_.limit.allows_read_beside_writes(now, dispatcher.origin_in_flight(),
                                               dispatcher.origin_writes());
}

bool OriginReads::origin_is_ready() const {
  const std::optional<ServerId> origin = deps_.endpoints.origin();
  if (!origin) {
    return false;
  }
  const Endpoint& endpoint = deps_.endpoints.at(*origin);
  return endpoint.is_listed && endpoint.member.phase == Phase::ready;
}

bool OriginReads::lease_allows(Time now) const {
  return deps_.limit.lease_allows(now, deps_.endpoints.origin_in_flight());
}

bool OriginReads::has_capacity(Time now) const {
  return deps_.endpoints.origin() && reads_.empty() &&
         deps_.limit.allows_read(now, deps_.dispatcher.origin_in_flight()) && lease_allows(now);
}

// An attempt that takes long while later ones are answered is stuck on its connection. It then no longer
// counts against the limit, and is cancelled and sent again once it is certainly lost. Followers wait for the
// new attempt.
void OriginReads::check_stalled(RequestState& request, Time now) {
  if (request.attempt_count == 0) {
    return;
  }
  AttemptState& attempt = request.attempts[request.attempt_count - 1];
  if (!attempt.to_origin || !attempt.in_flight) {
    return;
  }
  const double latencies =
      static_cast<double>(now - attempt.sent_at) / std::max(deps_.limit.mean_latency(), 1.0);
  const std::uint32_t answers = deps_.endpoints.at(attempt.endpoint).answers - attempt.endpoint_answers;
  if (latencies < kStalledLatencies || answers < kStalledAnswers) {
    return;
  }
  deps_.dispatcher.mark_stalled(attempt);
  const bool is_lost = latencies >= kLostLatencies && answers >= kLostAnswers;
  if (is_lost && request.attempt_count < deps_.rules.max_attempts(request)) {
    deps_.sink.cancel(request.request.id, request.attempt_count - 1);
  }
  drain(now);
}

void OriginReads::on_answer(RequestState& request, const AttemptState& attempt, const AttemptResult& result,
                            Time now) {
  request.origin_stage = OriginStage::done;
  const Time objective = deps_.rules.class_of(request).latency_objective;
  const OriginLimit::Load load{deps_.dispatcher.origin_in_flight(), !reads_.empty()};
  deps_.limit.record_answer(attempt, result, objective, load, now);
  deps_.limit.clamp(deps_.ready.per_router_share());
  if (!request.request.write) {
    deps_.limit.pause_after_read(now, static_cast<double>(now - attempt.sent_at), 2 * objective);
    if (deps_.limit.resumes_at() > now) {
      deps_.timers.add(deps_.limit.resumes_at(), TimerKind::drain_queues);
    }
  }
  release_followers(request, result.outcome == Outcome::served, now);
}

void OriginReads::release_followers(RequestState& request, bool filled, Time now) {
  const auto flight = flights_.find(request.request.key);
  if (flight != flights_.end() && flight->second == request.self.slot) {
    flights_.erase(flight);
  }
  const std::optional<ServerId> filled_cache = filled ? first_cache_miss(request) : std::nullopt;
  // Moved out before the loop, because a follower that reads the origin next may get followers of its own.
  const std::vector<SlotIndex> followers = std::exchange(request.followers, {});
  for (const SlotIndex slot : followers) {
    RequestState& follower = deps_.requests.at(slot);
    if (!follower.is_over && follower.origin_stage == OriginStage::following) {
      release_follower(follower, filled_cache, now);
    }
  }
}

void OriginReads::release_follower(RequestState& follower, std::optional<ServerId> filled_cache, Time now) {
  follower.origin_stage = OriginStage::none;
  std::optional<ServerId> target;
  const bool may_send =
      deps_.rules.cache_attempts_left(follower) > 0 && deps_.rules.may_resend(follower, now);
  if (filled_cache && may_send && deps_.ready.is_eligible(deps_.endpoints.at(*filled_cache))) {
    // An endpoint that is warming up may receive only its share of attempts. The next endpoint has the value
    // as well, or will be filled.
    const bool warming_up = deps_.slow_start.is_warming_up(deps_.endpoints.at(*filled_cache), now);
    target = warming_up ? deps_.picker.pick(follower, PickPurpose::attempt, now) : filled_cache;
  }
  if (target) {
    deps_.dispatcher.send(follower, *target, now);
  } else {
    fetch(follower, now);
  }
}

}  // namespace streampick::policy
