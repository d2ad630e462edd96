#include "engine/endpoint_registry.h"

#include <algorithm>

namespace streampick::engine {

EndpointRegistry::ListChange EndpointRegistry::apply(const EndpointList& list, Time now) {
  starts_.on_endpoint_list(list);
  return apply_members(list.complete ? Update::full : Update::changes, list, now);
}

EndpointRegistry::ListChange EndpointRegistry::apply_stored(const StoredEndpointList& stored, Time now) {
  starts_.known_at_start(stored.list);
  return apply_members(Update::full, stored.list, now);
}

EndpointRegistry::ListChange EndpointRegistry::apply_members(Update update, const EndpointList& list,
                                                             Time now) {
  ListChange change;
  change.update = update;
  std::vector<bool> named(endpoints_.size(), false);
  for (const ListedEndpoint& listed : list.members) {
    // The departure of an unknown server has no effect.
    if (listed.member.phase == Phase::gone && !ids_.contains(listed.id)) continue;
    const ServerId id = intern(listed, change);
    if (id < named.size()) named[id] = true;
    const Member member = update_endpoint(id, listed, now);
    if (member.phase == Phase::gone) change.departed.push_back(id);
    change.members.push_back(member);
  }
  if (update == Update::changes) return change;
  for (ServerId id = 0; id < named.size(); ++id) {
    Endpoint& endpoint = endpoints_[id];
    if (named[id] || !endpoint.upstream) continue;
    stop_sending(endpoint, now);
    endpoint.listed = false;
    change.departed.push_back(id);
  }
  return change;
}

Member EndpointRegistry::update_endpoint(ServerId id, const ListedEndpoint& listed, Time now) {
  Endpoint& endpoint = endpoints_[id];
  endpoint.listed_phase = listed.member.phase;
  endpoint.listed = listed.member.phase != Phase::gone;
  endpoint.upstream->set_address(listed.address);
  update_sending(endpoint, now);
  Member member = listed.member;
  member.id = id;
  member.started = starts_.start_of(listed.id);
  return member;
}

bool EndpointRegistry::is_enabled(const Endpoint& endpoint) const {
  return endpoint.listed_phase == Phase::ready && !overrides_.is_disabled(endpoint.name);
}

void EndpointRegistry::update_sending(Endpoint& endpoint, Time now) {
  if (is_enabled(endpoint)) {
    endpoint.upstream->stop_sending_at(kNever);
  } else {
    stop_sending(endpoint, now);
  }
}

ServerId EndpointRegistry::intern(const ListedEndpoint& listed, ListChange& change) {
  const auto [entry, fresh] = ids_.try_emplace(listed.id, static_cast<ServerId>(endpoints_.size()));
  if (!fresh) return entry->second;
  const bool is_reused = !free_ids_.empty();
  if (is_reused) {
    entry->second = free_ids_.back();
    free_ids_.pop_back();
  } else {
    endpoints_.emplace_back();
  }
  // A reused number may still have the override of the server that had it before.
  const EndpointOverride value = overrides_.of(listed.id);
  if (is_reused || value != EndpointOverride{}) change.overrides.push_back({entry->second, value});
  Endpoint& endpoint = endpoints_[entry->second];
  endpoint.name = listed.id;
  endpoint.is_origin = origin_kind_ != kNone && listed.member.kind == origin_kind_;
  endpoint.upstream = upstream_factory_.make(listed.id, listed.member.kind);
  any_wants_cache_fills_ = any_wants_cache_fills_ || endpoint.upstream->wants_cache_fills();
  return entry->second;
}

void EndpointRegistry::stop_sending(Endpoint& endpoint, Time now) {
  if (endpoint.upstream->sending_stops_at() > now) endpoint.upstream->stop_sending_at(now);
  // The endpoint's idle connections will not be used again.
  endpoint.upstream->close_idle(kNever);
}

std::optional<NumberedOverride> EndpointRegistry::set_override(const std::string& name,
                                                               EndpointOverride value, Time now) {
  value.started = starts_.start_at(value.started);
  overrides_.set(name, value);
  const auto found = ids_.find(name);
  if (found == ids_.end()) return std::nullopt;
  Endpoint& endpoint = endpoints_[found->second];
  if (endpoint.listed) update_sending(endpoint, now);
  return NumberedOverride{found->second, value};
}

Endpoint* EndpointRegistry::find(ServerId id) {
  if (id >= endpoints_.size() || !endpoints_[id].upstream) return nullptr;
  return &endpoints_[id];
}

const Endpoint* EndpointRegistry::find(ServerId id) const {
  if (id >= endpoints_.size() || !endpoints_[id].upstream) return nullptr;
  return &endpoints_[id];
}

void EndpointRegistry::attempt_began(ServerId id) {
  if (Endpoint* const endpoint = find(id)) ++endpoint->open_attempts;
}

void EndpointRegistry::on_attempt_ended(ServerId id) {
  Endpoint* const endpoint = find(id);
  if (endpoint == nullptr || endpoint->open_attempts == 0) return;
  --endpoint->open_attempts;
  forget_if_unused(id);
}

void EndpointRegistry::forget_if_unused(ServerId id) {
  Endpoint* const endpoint = find(id);
  if (endpoint == nullptr || endpoint->listed || endpoint->open_attempts > 0) return;
  if (endpoint->upstream->has_streaming_response()) return;
  ids_.erase(endpoint->name);
  *endpoint = {};
  free_ids_.push_back(id);
}

void EndpointRegistry::forget_unused() {
  for (ServerId id = 0; id < endpoints_.size(); ++id) forget_if_unused(id);
}

bool EndpointRegistry::lists_cache(const std::string& name) const {
  const auto found = ids_.find(name);
  return found != ids_.end() && endpoints_[found->second].listed && !endpoints_[found->second].is_origin;
}

bool EndpointRegistry::is_origin(const std::string& name) const {
  const auto found = ids_.find(name);
  return found != ids_.end() && endpoints_[found->second].is_origin;
}

EndpointRegistry::Counts EndpointRegistry::counts(const std::function<bool(ServerId)>& is_ejected) const {
  Counts counts;
  for (ServerId id = 0; id < endpoints_.size(); ++id) {
    const Endpoint& endpoint = endpoints_[id];
    if (!endpoint.upstream || !endpoint.listed || endpoint.is_origin) continue;
    ++counts.listed;
    if (overrides_.is_disabled(endpoint.name) || is_ejected(id)) ++counts.down;
  }
  return counts;
}

void EndpointRegistry::close_idle(Time unused_since) {
  for (const Endpoint& endpoint : endpoints_)
    if (endpoint.upstream) endpoint.upstream->close_idle(unused_since);
}

bool EndpointRegistry::evict_idle_connection() {
  return std::any_of(endpoints_.begin(), endpoints_.end(), [](const Endpoint& endpoint) {
    return endpoint.upstream && endpoint.upstream->close_oldest_idle();
  });
}

void EndpointRegistry::invalidate(const std::string& key) {
  for (const Endpoint& endpoint : endpoints_)
    if (endpoint.listed && endpoint.upstream && endpoint.upstream->wants_cache_fills())
      endpoint.upstream->invalidate(key);
}

}  // namespace streampick::engine
