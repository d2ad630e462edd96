#include "policy/ready_endpoints.h"

#include <algorithm>
#include <utility>

namespace streampick::policy {

void ReadyEndpoints::update_membership(Endpoint& endpoint, Time now) {
  const bool eligible = is_eligible(endpoint);
  if (eligible == endpoint.is_ready) {
    return;
  }
  if (eligible) {
    add(endpoint, now);
  } else {
    remove(endpoint);
  }
}

void ReadyEndpoints::add(Endpoint& endpoint, Time now) {
  endpoint.is_ready = true;
  ids_.insert(lower_bound(endpoint), endpoint.member.id);
  tree_.insert({endpoint.member.identity, endpoint.member.id, endpoint.placement_weight()});
  refresh_health(endpoint, now);
}

void ReadyEndpoints::remove(Endpoint& endpoint) {
  endpoint.is_ready = false;
  healthy_weight_ -= std::exchange(endpoint.effective_weight, 0);
  ids_.erase(lower_bound(endpoint));
  tree_.erase({endpoint.member.identity, endpoint.member.id, 0});
}

void ReadyEndpoints::set_weight(Endpoint& endpoint, double weight) {
  endpoint.weight = weight;
  tree_.set_weight({endpoint.member.identity, endpoint.member.id, endpoint.placement_weight()});
}

void ReadyEndpoints::refresh_all_health(Time now) {
  healthy_weight_ = 0;
  for (const ServerId id : ids_) {
    Endpoint& endpoint = endpoints_.at(id);
    endpoint.effective_weight = 0;
    refresh_health(endpoint, now);
  }
}

std::vector<ServerId>::iterator ReadyEndpoints::lower_bound(const Endpoint& endpoint) {
  const auto is_before = [this](ServerId id, const Member& member) {
    return std::pair(endpoints_.at(id).member.identity, id) < std::pair(member.identity, member.id);
  };
  return std::lower_bound(ids_.begin(), ids_.end(), endpoint.member, is_before);
}

}  // namespace streampick::policy
