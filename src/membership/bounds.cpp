#include "membership/bounds.h"

#include <algorithm>
#include <cmath>

#include "membership/suspicion.h"

namespace streampick::membership {
namespace {

constexpr double kMaxProbePeriods = 5;  // 1 + LocalHealth::kWorst
// Live processes choose their probe targets at random: after 6 * (members / live processes) periods, a
// fraction of e^-6 of the members has not been probed by any of them.
constexpr double kProbeRounds = 6;
constexpr double kMessageOverhead = 100;  // bytes
constexpr double kRecordSize = 56;        // bytes
constexpr double kDirectPings = 3;
constexpr double kReconnectPings = 3;
constexpr double kGossipMessages = 8;
constexpr double kComparisons = 8;

// Fraction of messages whose reply arrives: neither of the two datagrams is lost.
double round_trip_share(double loss) { return (1 - loss) * (1 - loss); }

}  // namespace

double settle_periods(std::size_t members, std::size_t datagram_size, double loss, std::size_t live) {
  const double n = static_cast<double>(std::max<std::size_t>(2, members));
  const SuspicionRule rule;
  const std::size_t live_members = live == 0 ? std::max<std::size_t>(1, members / 2) : live;
  const double probed =
      kMaxProbePeriods * std::min(n, 1 + kProbeRounds * n / static_cast<double>(live_members));
  const double suspected = rule.max_multiple * rule.min_factor * std::max(1.0, std::log10(n));
  // Two disseminations: a change, and its refutation.
  const double disseminated = 2.0 * gossip_rounds(members);
  // Anti-entropy transfers at least half a datagram of records per period.
  const double records = std::max(1.0, (static_cast<double>(datagram_size) - kMessageOverhead) / kRecordSize);
  const double repaired = n / (records / 2);
  return probed + suspected + (disseminated + repaired) / round_trip_share(loss);
}

double first_suspected_periods() {
  const double e = std::exp(1.0);
  return e / (e - 1) + 1;
}

double false_alarm_share(double loss, std::size_t indirect_probers) {
  const double success = round_trip_share(loss);
  const double direct_failure = std::pow(1 - success, kDirectPings);
  return direct_failure * std::pow(1 - success * success, static_cast<double>(indirect_probers));
}

double max_sends_per_period(std::size_t indirect_probers) {
  return kDirectPings + static_cast<double>(indirect_probers) + kReconnectPings + kGossipMessages +
         kComparisons;
}

}  // namespace streampick::membership
