#include "shares/lease_holder.h"

#include <algorithm>
#include <cmath>

#include "shares/safety_rules.h"

namespace streampick::leases {

LeaseHolder::LeaseHolder(const Settings& settings, Incarnation self)
    : self_(self), fences_(settings.shards), routers_(settings.expected_routers) {
  for (const Limit& limit : settings.limits) holdings_[limit.id].limit = limit;
}

void LeaseHolder::start() {
  has_started_ = true;
  changed_ = true;
}

void LeaseHolder::leave(bool process_ends) {
  process_ends_ = process_ends_ || process_ends;
  has_left_ = true;
  changed_ = true;
}

void LeaseHolder::set_routers(std::uint32_t routers) {
  const std::uint32_t previous = std::exchange(routers_, std::max(1U, routers));
  if (previous != routers_) changed_ = true;
}

void LeaseHolder::set_limits(const std::vector<Limit>& limits) {
  const std::map<LimitId, Holding> previous = std::exchange(holdings_, {});
  for (const Limit& limit : limits) {
    Holding& holding = holdings_[limit.id];
    const auto kept = previous.find(limit.id);
    if (kept != previous.end() && kept->second.limit.kind == limit.kind) holding = kept->second;
    holding.limit = limit;
  }
  changed_ = true;
}

bool LeaseHolder::set_demand(Time now, const Settings& settings, LimitId limit, double demand,
                             double in_use) {
  const auto found = holdings_.find(limit);
  if (found == holdings_.end()) return false;
  Holding& holding = found->second;
  const bool has_grown = demand > holding.demand;
  holding.demand = std::max(0.0, demand);
  holding.in_use = std::max(0.0, in_use);
  return has_grown && demand > allowance_of(settings, holding).usable(now);
}

std::vector<Message> LeaseHolder::make_claims(Time now, const Settings& settings, std::uint32_t shard,
                                              ClaimPurpose purpose) {
  std::vector<Message> claims;
  for (auto& [id, holding] : holdings_) {
    if (shard_of(settings, id) != shard) continue;
    if (claims.empty() || claims.back().items.size() >= settings.max_items) {
      Message& claim = claims.emplace_back();
      claim.kind = Message::Kind::claim;
      claim.shard = shard;
      claim.epoch = fences_[shard];
      claim.weight = settings.weight;
      claim.sequence = ++last_sequence_;
      pending_claims_[claim.sequence % kPendingClaims] = {.sequence = claim.sequence, .sent = now};
    }
    claims.back().items.push_back(claim_item(now, settings, holding, purpose));
  }
  return claims;
}

// For a hard limit, a claim also returns at once what exceeds this router's demand.
LimitItem LeaseHolder::claim_item(Time now, const Settings& settings, Holding& holding,
                                  ClaimPurpose purpose) {
  const bool is_hard = holding.limit.kind == LimitKind::hard;
  const double minimum = is_hard ? guaranteed(settings, holding) : 0;
  double demand = std::max(0.0, holding.demand - minimum);
  if (is_hard) demand = std::ceil(demand);
  if (purpose == ClaimPurpose::return_all) demand = 0;
  if (is_hard && holding.amount > demand) {
    holding.amount = demand;
    changed_ = true;
  }
  return {.limit = holding.limit.id,
          .demand = demand,
          .in_use = is_hard ? std::max(0.0, std::ceil(holding.in_use - minimum)) : 0,
          .acknowledged_grant = holding.last_grant,
          .amount = now < holding.lease_end ? holding.amount : 0};
}

LeaseHolder::GrantResult LeaseHolder::apply_grant(Time now, const Settings& settings, const Message& grant) {
  const PendingClaim& claim = pending_claims_[grant.sequence % kPendingClaims];
  const bool answers_claim = grant.sequence != 0 && claim.sequence == grant.sequence && grant.holder == self_;
  if (!answers_claim || settings.safety_rules->is_fenced(grant.epoch, fences_[grant.shard]))
    return {.is_stale = true};
  if (grant.epoch != fences_[grant.shard]) raise_fence(settings, grant.shard, grant.epoch);
  GrantResult result;
  for (const LimitItem& item : grant.items) {
    const auto found = holdings_.find(item.limit);
    if (found == holdings_.end() || shard_of(settings, item.limit) != grant.shard) continue;
    if (grant.grant_number <= found->second.last_grant) continue;
    ++result.applied;
    if (apply_item(now, settings, grant, item, found->second, claim.sent)) result.must_claim_again = true;
  }
  return result;
}

// Returns whether this router should claim again soon: either the grant is smaller than before, and another
// router waits for the difference; or the grant is larger than before but does not meet the demand yet.
bool LeaseHolder::apply_item(Time now, const Settings& settings, const Message& grant, const LimitItem& item,
                             Holding& holding, Time claim_sent) {
  const Allowance before = allowance_of(settings, holding);
  const bool is_hard = holding.limit.kind == LimitKind::hard;
  const bool shrinks = is_hard && item.amount < holding.amount && now < holding.lease_end;
  const double demand = is_hard ? holding.demand - guaranteed(settings, holding) : holding.demand;
  const bool grows = item.amount > holding.amount && item.amount < demand;
  const Time duration = std::min(grant.duration, settings.lease_duration);
  holding.last_grant = grant.grant_number;
  holding.amount = std::min(item.amount, holding.limit.total);
  holding.lease_end = settings.safety_rules->expiry(claim_sent, duration, settings.max_clock_drift);
  if (allowance_of(settings, holding) != before) changed_ = true;
  return shrinks || grows;
}

void LeaseHolder::raise_fence(const Settings& settings, std::uint32_t shard, const Epoch& epoch) {
  fences_[shard] = epoch;
  for (auto& [id, holding] : holdings_)
    if (shard_of(settings, id) == shard) holding.last_grant = 0;
}

double LeaseHolder::guaranteed(const Settings& settings, const Holding& holding) const {
  return guaranteed_minimum(holding.limit, settings, routers_);
}

Allowance LeaseHolder::allowance_of(const Settings& settings, const Holding& holding) const {
  const bool is_hard = holding.limit.kind == LimitKind::hard;
  const bool has_minimum = !is_hard || (has_started_ && !process_ends_);
  return {.kind = holding.limit.kind,
          .guaranteed = has_minimum ? guaranteed(settings, holding) : 0,
          .leased = has_left_ ? 0 : holding.amount,
          .lease_end = has_left_ ? 0 : holding.lease_end};
}

Allowance LeaseHolder::allowance(const Settings& settings, LimitId limit) const {
  const auto found = holdings_.find(limit);
  return found == holdings_.end() ? Allowance{} : allowance_of(settings, found->second);
}

double LeaseHolder::demand(LimitId limit) const {
  const auto found = holdings_.find(limit);
  return found == holdings_.end() ? 0 : found->second.demand;
}

}  // namespace streampick::leases
