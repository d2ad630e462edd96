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
  fresh.listed = endpoint.listed;
  fresh.admin_override = endpoint.admin_override;
  return fresh;
}

Member overridden(Member listed, const EndpointOverride& value) {
  if (value.disabled && listed.phase == Phase::ready) {
    listed.phase = Phase::draining;
  }
  listed.started = std::max(listed.started, value.started);
  return listed;
}

}  // namespace

void EndpointUpdates::apply(Time now, Update update, std::span<const Member> members) {
  if (update != Update::changes) {
    endpoints_.unlist_all();
  }
  for (const Member& member : members) {
    apply_listed(now, member);
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

bool EndpointUpdates::set_override(Time now, ServerId id, const EndpointOverride& value) {
  Endpoint& endpoint = endpoints_.ensure(id);
  endpoint.admin_override = value;
  if (!endpoint.is_listed) {
    return false;
  }
  set_member(now, endpoint, overridden(endpoint.listed, value));
  ready_.update_membership(endpoint, now);
  return true;
}

void EndpointUpdates::apply_listed(Time now, const Member& listed) {
  Endpoint& endpoint = endpoints_.ensure(listed.id);
  endpoint.listed = listed;
  set_member(now, endpoint, overridden(listed, endpoint.admin_override));
}

void EndpointUpdates::set_member(Time now, Endpoint& endpoint, const Member& member) {
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
