#include "shares/lease_table.h"

#include <algorithm>
#include <cmath>

#include "shares/clock_drift.h"
#include "shares/fair_division.h"
#include "shares/safety_rules.h"

namespace streampick::leases {

namespace {

constexpr std::size_t kMaxUnacknowledgedGrants = 16;
constexpr double kMaxDemandGrowth = 2;           // factor from one claim to the next, ...
constexpr double kMaxDemandGrowthOfTotal = 0.1;  // ... plus this share of the total
constexpr double kDemandNoise = 0.05;            // smaller relative changes of a rate's demand are ignored

}  // namespace

double LeaseTable::Holder::exposure(Time now) const {
  double exposure = now < in_use_end ? in_use : 0;
  for (const OutstandingGrant& grant : outstanding)
    if (now < grant.end) exposure = std::max(exposure, grant.amount);
  return exposure;
}

double LeaseTable::outstanding(Time now) const {
  double sum = 0;
  for (const auto& [incarnation, holder] : holders_) sum += holder.exposure(now);
  return sum;
}

double LeaseTable::total_demand() const {
  double sum = 0;
  for (const auto& [incarnation, holder] : holders_) sum += holder.demand;
  return sum;
}

// Returns null if the claim is late or there is no room for another holder.
LeaseTable::Holder* LeaseTable::find_or_add(const Claim& claim) {
  const auto found = holders_.find(claim.holder);
  if (found != holders_.end()) {
    Holder& holder = found->second;
    const bool is_late = holder.last_claim != 0 && claim.sequence <= holder.last_sequence;
    return is_late ? nullptr : &holder;
  }
  const auto at_address = std::count_if(holders_.begin(), holders_.end(), [&](const auto& entry) {
    return entry.second.address == claim.from;
  });
  if (holders_.size() >= kMaxHolders || at_address >= std::ptrdiff_t{kMaxHoldersPerAddress}) return nullptr;
  Holder& holder = holders_[claim.holder];
  holder.address = claim.from;
  return &holder;
}

// Removes the grants before the acknowledged one, and reduces the acknowledged one to what the holder kept of
// it. An acknowledgement of a grant of another epoch says nothing about this table's grants.
void LeaseTable::acknowledge(Time now, const Settings& settings, Holder& holder, const Claim& claim) {
  const SafetyRules& rules = *settings.safety_rules;
  if (!rules.acknowledges(claim.same_epoch)) return;
  const LimitItem& item = claim.item;
  std::erase_if(holder.outstanding, [&](const OutstandingGrant& grant) {
    return grant.number < item.acknowledged_grant || now >= grant.end;
  });
  for (OutstandingGrant& grant : holder.outstanding)
    if (grant.number == item.acknowledged_grant) grant.amount = std::min(grant.amount, item.amount);
  if (!rules.keeps_unacknowledged_grants()) holder.outstanding.clear();
}

// Records the claim's demand. Its growth is bounded, so that a faulty claim cannot take everything at once.
void LeaseTable::update_demand(Time now, const Settings& settings, const Limit& limit, Holder& holder,
                               const Claim& claim) {
  const LimitItem& item = claim.item;
  const bool is_hard = limit.kind == LimitKind::hard;
  const bool is_first = holder.last_claim == 0;
  const double exposure = holder.exposure(now);
  holder.last_sequence = claim.sequence;
  holder.replaced = false;
  acknowledge(now, settings, holder, claim);
  if (is_hard) {
    // Reported use never counts for more than was leased.
    holder.in_use = std::min(item.in_use, exposure);
    holder.in_use_end = now + stretch_for_drift(settings.max_work_duration, settings.max_clock_drift);
  }
  const double previous = holder.demand;
  double demand = std::min(item.demand, limit.total);
  demand = std::min(demand, kMaxDemandGrowth * previous + kMaxDemandGrowthOfTotal * limit.total + 1);
  if (is_hard) demand = std::floor(demand);
  if (!is_hard && demand > 0 && std::abs(demand - previous) <= kDemandNoise * previous) demand = previous;
  const double weight = std::clamp(claim.weight, kMinWeight, kMaxWeight);
  needs_division_ = needs_division_ || is_first || demand != previous || weight != holder.weight;
  holder.demand = demand;
  holder.weight = weight;
  holder.last_claim = now;
}

// An address runs one process at a time, so earlier incarnations at the holder's address get no more leases.
// Returns what these incarnations may still use.
double LeaseTable::retire_predecessors(Time now, const Holder& holder) {
  double exposure = 0;
  for (auto& [incarnation, other] : holders_) {
    if (&other == &holder || other.address != holder.address) continue;
    needs_division_ = needs_division_ || !other.replaced;
    other.replaced = true;
    other.demand = 0;
    exposure += other.exposure(now);
  }
  return exposure;
}

void LeaseTable::remove_silent_holders(Time now, const Settings& settings) {
  const std::size_t removed = std::erase_if(holders_, [&](const auto& entry) {
    const Holder& holder = entry.second;
    return now - holder.last_claim > settings.lease_duration && holder.exposure(now) <= 0;
  });
  needs_division_ = needs_division_ || removed > 0;
}

// Returns the amount to divide. For a rate, each router that does not claim uses an even share of the total.
double LeaseTable::pool(Time now, const Settings& settings, const Limit& limit, std::uint32_t routers) const {
  if (limit.kind == LimitKind::hard) return leasable_total(limit, settings);
  const auto claiming = std::count_if(holders_.begin(), holders_.end(), [&](const auto& entry) {
    return !entry.second.replaced && now - entry.second.last_claim <= settings.lease_duration;
  });
  return limit.total * std::min(1.0, static_cast<double>(claiming) / routers);
}

// Divides `pool` among the holders that claimed within one lease duration. What other holders may still use
// stays outstanding.
void LeaseTable::divide(Time now, const Settings& settings, const Limit& limit, double pool) {
  std::vector<Holder*> claiming;
  std::vector<Demand> demands;
  std::vector<double> shortfalls;
  std::vector<double> owned;
  double demanded = 0;
  for (auto& [incarnation, holder] : holders_) {
    holder.share = 0;
    if (now - holder.last_claim > settings.lease_duration) continue;
    claiming.push_back(&holder);
    demands.push_back({.amount = holder.demand, .weight = holder.weight});
    shortfalls.push_back(holder.shortfall);
    owned.push_back(holder.amount);
    demanded += holder.demand;
  }
  const double reserve = demanded > pool ? settings.reserve_share * pool : 0;
  const std::vector<double> shares =
      limit.kind == LimitKind::soft
          ? max_min_fair(pool - reserve, demands)
          : integral_max_min_fair(pool - std::floor(reserve), demands, shortfalls, owned);
  const bool updates_shortfalls = now - last_shortfall_update_ >= settings.period;
  if (updates_shortfalls) last_shortfall_update_ = now;
  for (std::size_t i = 0; i < claiming.size(); ++i) {
    claiming[i]->share = shares[i];
    if (updates_shortfalls) claiming[i]->shortfall = shortfalls[i];
  }
  last_division_ = now;
  needs_division_ = false;
}

// Returns what the holder gets from the reserve beyond its share: first come, first served, for at most one
// lease duration.
double LeaseTable::burst_from_reserve(Time now, const Settings& settings, const Limit& limit, double pool,
                                      Holder& holder) const {
  const double missing = holder.demand - holder.share;
  if (missing <= 0) {
    holder.above_share_since = 0;
    return 0;
  }
  if (holder.above_share_since == 0) holder.above_share_since = now;
  if (now - holder.above_share_since > settings.lease_duration) return 0;
  double available = settings.reserve_share * pool;
  for (const auto& [incarnation, other] : holders_)
    if (&other != &holder) available -= std::max(0.0, other.amount - other.share);
  available = std::clamp(available, 0.0, missing);
  return limit.kind == LimitKind::hard ? std::floor(available) : available;
}

// Preserves the invariant: leases only what no other holder may use, and records the grant as outstanding.
// Returns the leased amount.
double LeaseTable::lease_hard(Time now, const Settings& settings, Holder& holder, double amount, double pool,
                              const Grant& grant) const {
  const double others = outstanding(now) - holder.exposure(now);
  amount = std::floor(std::clamp(amount, 0.0, std::max(0.0, pool - others)));
  if (holder.outstanding.size() >= kMaxUnacknowledgedGrants)
    amount = std::min(amount, holder.outstanding.back().amount);
  std::erase_if(holder.outstanding,
                [&](const OutstandingGrant& earlier) { return earlier.amount <= amount; });
  const Time work = stretch_for_drift(settings.max_work_duration, settings.max_clock_drift);
  holder.outstanding.push_back(
      {.number = grant.number, .amount = amount, .end = now + grant.duration + work});
  return amount;
}

std::optional<double> LeaseTable::claim(Time now, const Settings& settings, const Limit& limit,
                                        std::uint32_t routers, const Claim& claim, const Grant& grant) {
  remove_silent_holders(now, settings);
  Holder* const holder = find_or_add(claim);
  if (holder == nullptr) return std::nullopt;
  update_demand(now, settings, limit, *holder, claim);
  const double used_by_predecessors = retire_predecessors(now, *holder);
  const double pool_now = pool(now, settings, limit, routers);
  if (needs_division_ || now - last_division_ >= settings.period) divide(now, settings, limit, pool_now);
  double amount = holder->share + burst_from_reserve(now, settings, limit, pool_now, *holder);
  if (limit.kind == LimitKind::hard)
    amount = lease_hard(now, settings, *holder, amount - used_by_predecessors, pool_now, grant);
  holder->amount = amount;
  return amount;
}

}  // namespace streampick::leases
