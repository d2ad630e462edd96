// Settings of the lease protocol, and values that depend only on them.
#pragma once

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "shares/messages.h"
#include "shares/safety_rules.h"

namespace streampick::leases {

enum class LimitKind : std::uint8_t {
  hard,  // capacity for work in flight: the sum over all routers never exceeds the total
  soft,  // a rate: its sum may exceed the total for soft_overshoot_bound_seconds() after demand moves
};

struct Limit {
  std::string name;
  LimitId id = 0;
  LimitKind kind = LimitKind::soft;
  double total = 0;  // hard: whole units; soft: requests per second
};

struct Settings {
  Address self = 0;
  std::vector<Address> voters;           // the same at all routers; a majority elects a granter
  std::uint32_t shards = 1;              // limits are spread over this many granters
  std::uint32_t expected_routers = 1;    // maximum number of processes in the fleet
  double weight = 1;                     // of this router when limits are divided
  Time period = kSecond;                 // between claims, and between extensions of a term
  Time term = 4 * kSecond;               // of a granter
  Time lease_duration = 3 * kSecond;     // a lease ends no later than its granter's term
  double max_clock_drift = 0.1;          // clocks differ in speed by a factor of 1 + this at most
  Time max_work_duration = 4 * kSecond;  // work that began under a hard lease has ended after this
  double guaranteed_share = 0.25;  // part of a hard total that all routers together may use without leases
  double reserve_share = 0.05;     // part of the leasable total for bursts, first come, first served
  std::size_t max_items = 8;       // in a datagram
  std::vector<Limit> limits;
  const SafetyRules* safety_rules = &kStandardSafetyRules;  // never null
};

/// What all routers together may use of a hard limit without leases; each may use the same whole number.
inline double guaranteed_total(const Limit& limit, const Settings& settings) {
  const double routers = std::max(1U, settings.expected_routers);
  return std::floor(std::floor(limit.total * settings.guaranteed_share) / routers) * routers;
}
/// What one router may use without a lease if the fleet has `routers` processes. For a hard limit, the sum
/// over all routers stays within guaranteed_total() even if `routers` is too low. For a soft limit, it is an
/// even share.
inline double guaranteed_minimum(const Limit& limit, const Settings& settings, std::uint32_t routers) {
  if (limit.kind == LimitKind::soft) return limit.total / std::max(1U, routers);
  return std::floor(guaranteed_total(limit, settings) / std::max({1U, routers, settings.expected_routers}));
}
/// What a granter may lease of a hard limit in total.
inline double leasable_total(const Limit& limit, const Settings& settings) {
  return limit.total - guaranteed_total(limit, settings);
}

/// Returns the shard that a limit belongs to.
inline std::uint32_t shard_of(const Settings& settings, LimitId limit) { return limit % settings.shards; }

/// Returns null if the settings have no such limit, and the last one if several limits have this id.
inline const Limit* find_limit(const Settings& settings, LimitId id) {
  const auto found = std::find_if(settings.limits.rbegin(), settings.limits.rend(),
                                  [&](const Limit& limit) { return limit.id == id; });
  return found == settings.limits.rend() ? nullptr : &*found;
}

}  // namespace streampick::leases
