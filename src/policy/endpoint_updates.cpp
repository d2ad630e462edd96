#include "policy/endpoint_updates.h"

#include <algorithm>

namespace streampick::policy {
namespace {

// State of an endpoint after its process was restarted or its id was reused for another server: statistics
// are reset. Attempts in flight are kept, and so is membership in the ready endpoints.
Endpoint without_history(const Endpoint& endpoint, Time now) {
  Endpoint fresh;
  fresh.last_slow_start_draw = now;
  fresh.in_flight = endpoint.in_flight;
  fresh.stalled = endpoint.stalled;
  fresh.answers = endpoint.answers;
  fresh.is_ready = endpoint.is_ready;
  fresh.effective_weight = endpoint.effective_weight;
  return fresh;
}

}  // namespace

void EndpointUpdates::apply(Time now, Update update, std::span<const Member> members) {
  if (update != Update::changes) {
    endpoints_.unlist_all();
  }
  for (const Member& member : members) {
    apply(now, member);
  }
  if (update == Update::changes) {
    for (const Member& member : members) {
      ready_.update_membership(endpoints_.at(member.id), now);
    }
    return;
  }
  for (ServerId id = 0; id < endpoints_.size(); ++id) {
    ready_.update_membership(endpoints_.at(id), now);
  }
}

void EndpointUpdates::apply(Time now, const Member& member) {
  Endpoint& endpoint = endpoints_.ensure(member.id);
  EndpointTable::leave_failure_domains(endpoint);
  const bool is_other_server = member.identity != endpoint.member.identity;
  if (is_other_server && endpoint.is_ready) {
    ready_.remove(endpoint);
  }
  if (is_other_server || member.started != endpoint.member.started) {
    endpoint = without_history(endpoint, now);
  }
  const bool has_no_history = endpoint.member.id == kNone;
  endpoint.member = member;
  if (has_no_history) {
    ready_.set_weight(endpoint, std::max(kMinWeight, member.weight));
  }
  endpoints_.join_failure_domains(endpoint);
  endpoint.is_listed = member.phase != Phase::gone;
  update_origin(member);
}

void EndpointUpdates::update_origin(const Member& member) {
  const bool is_origin =
      config_.cache_aside && member.kind == config_.origin_kind && member.phase != Phase::gone;
  if (is_origin) {
    endpoints_.set_origin(member.id);
  } else {
    endpoints_.clear_origin(member.id);
  }
}

}  // namespace streampick::policy
