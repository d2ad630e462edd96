// Bounds of the lease protocol as formulas: docs/leases.md derives them; tests and `streampick_fleet` check
// them.
#pragma once

#include <algorithm>

#include "shares/clock_drift.h"
#include "shares/settings.h"

namespace streampick::leases {

inline double seconds(Time time) { return static_cast<double>(time) / kSecond; }

/// Probability that a request and its answer both arrive when each datagram is lost with `loss`.
inline double round_trip_probability(double loss) { return (1 - loss) * (1 - loss); }

/// From the end of all faults, or the loss of a granter, until all demanded capacity is leased again:
/// restarted voters are silent, or a vote for a lost granter expires, twice where votes were split;
/// candidates retry; the new granter waits for earlier work and leases; three claims.
inline double recovery_bound_seconds(const Settings& settings, double loss = 0) {
  constexpr double kElections = 3;
  constexpr double kPeriodsPerElection = 2 + 3;  // without a majority, and the longest backoff
  constexpr double kClaims = 3;
  const double answered = round_trip_probability(loss);
  const double period = seconds(settings.period);
  const double drift = settings.max_clock_drift;
  const double votes = 2 * seconds(stretch_for_drift(settings.term, drift));
  const double elections = kElections * kPeriodsPerElection * period;
  const double earlier_work = seconds(stretch_for_drift(settings.max_work_duration, drift));
  const double leases =
      seconds(stretch_for_drift(settings.lease_duration + settings.max_work_duration, drift));
  return votes + elections / answered + earlier_work + leases + kClaims * period / answered;
}

/// From when demand of a soft limit moves to another router until that router has its fair share: claims at a
/// fifth of a period each grow by a tenth of the total and a factor of two, one more period for the former
/// holder.
inline double demand_shift_bound_seconds(const Settings& settings, double loss = 0) {
  constexpr double kGrowthSteps = 4;  // 0.1, 0.3, 0.7, 1.5 of the total
  constexpr double kUrgentClaimsPerPeriod = 5;
  const double period = seconds(settings.period);
  return (kGrowthSteps / kUrgentClaimsPerPeriod + 2) * period / round_trip_probability(loss);
}

/// For how long a soft limit's sum may exceed its total after demand has moved: the former holder's lease.
inline double soft_overshoot_bound_seconds(const Settings& settings) {
  return seconds(settings.lease_duration);
}

}  // namespace streampick::leases
