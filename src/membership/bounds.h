// What the view promises, as formulas: docs/membership.md derives them, tests and `streampick_fleet` hold the
// program to them. In periods of a probe, for `members` routers, datagrams of `datagram` bytes and a share
// `loss` lost.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "membership/suspicion.h"

namespace streampick::membership {

// A probe may take (1 + worst health) periods.
inline constexpr double kSlowest = 5;

// From the end of all faults until all views are equal and hold exactly those that live, `living` of
// `members`.
inline double settle_periods(std::size_t members, std::size_t datagram, double loss = 0,
                             std::size_t living = 0) {
  const double n = static_cast<double>(std::max<std::size_t>(2, members));
  const SuspicionRule rule;
  const double m = static_cast<double>(living == 0 ? std::max<std::size_t>(1, members / 2) : living);
  // In n / m periods all who live probe as many as there are, drawn: after six such times a share of e^-6 was
  // not probed by anybody. One router alone goes through all in n.
  const double probed = kSlowest * std::min(n, 1 + 6 * n / m);
  const double suspected = rule.most_times * rule.least_factor * std::max(1.0, std::log10(n));
  // News goes through twice: the change, and where it was wrong its refutation.
  const double spread = 2.0 * rounds(members);
  // What gossip has not carried is repaired: each router gets at least half a datagram of records a period.
  const double records = std::max(1.0, (static_cast<double>(datagram) - 100) / 56);
  const double repaired = n / (records / 2);
  const double through = (1 - loss) * (1 - loss);  // a question and its answer
  return probed + suspected + (spread + repaired) / through;
}

// From a death until the first of `members` that live suspects it, on average: SWIM's e / (e - 1), and the
// time in which the probe that finds it fails.
inline double first_suspected_periods() { return std::exp(1.0) / (std::exp(1.0) - 1) + 1; }

// The share of probes of a living router that fail under `loss`: three tries by itself, and `helpers` others.
// Each that fails is a false alarm, which its refutation ends.
inline double false_alarm_share(double loss, std::size_t helpers) {
  const double through = (1 - loss) * (1 - loss);
  return std::pow(1 - through, 3) * std::pow(1 - through * through, static_cast<double>(helpers));
}

// Datagrams that one router sends in a period at most, without what it answers: its probe three times,
// helpers, three tries of the lost, eight of news, and repairs.
inline double most_begun_per_period(std::size_t helpers) {
  return 3 + static_cast<double>(helpers) + 3 + 8 + 8;
}

}  // namespace streampick::membership
