// Upper bounds on the reaction times of the lease protocol. docs/leases.md derives them; tests and
// `streampick_fleet` check them.
#pragma once

#include <algorithm>

#include "shares/clock_drift.h"
#include "shares/settings.h"

namespace streampick::leases {

inline double seconds(Time time) { return static_cast<double>(time) / kSecond; }

/// Probability that a request and its answer both arrive if each datagram is lost with probability `loss`.
inline double round_trip_probability(double loss) { return (1 - loss) * (1 - loss); }

/// Maximum time from the end of all faults, or from the loss of a granter, until all demanded capacity is
/// leased again. The sum of: the silence of restarted voters or the rest of a vote for a lost granter,
/// counted twice because votes may be split; three elections; the new granter's wait for work and leases of
/// earlier terms; and three claims.
inline double recovery_bound_seconds(const Settings& settings, double loss = 0) {
  constexpr double kElections = 3;
  constexpr double kPeriodsPerElection = 2 + 3;  // election timeout plus maximum backoff
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

/// Maximum time from when demand of a soft limit moves to another router until that router has its fair
/// share. The router sends up to five claims per period, and each may demand twice as much as the claim
/// before plus a tenth of the total. In addition, the former holder takes one period to claim less.
inline double demand_shift_bound_seconds(const Settings& settings, double loss = 0) {
  constexpr double kGrowthSteps = 4;  // demands of 0.1, 0.3, 0.7 and 1.5 times the total
  constexpr double kUrgentClaimsPerPeriod = 5;
  const double period = seconds(settings.period);
  return (kGrowthSteps / kUrgentClaimsPerPeriod + 2) * period / round_trip_probability(loss);
}

/// Maximum time for which the sum of a soft limit may exceed its total after demand has moved: until the
/// former holder's lease expires.
inline double soft_overshoot_bound_seconds(const Settings& settings) {
  return seconds(settings.lease_duration);
}

}  // namespace streampick::leases
