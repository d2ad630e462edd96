// What shared limits promise, as formulas: docs/shares.md derives them, tests and `streampick_fleet` hold the
// program to them.
#pragma once

#include <algorithm>

#include "shares/settings.h"

namespace streampick::leases {

inline double seconds(Time time) { return static_cast<double>(time) / kSecond; }

// From the end of all faults, or the loss of a home in a fleet that has no others, until all that is wanted
// of a total is leased again: voters that have just started are silent, or a promise to one that has gone
// runs out; candidates that split the votes step back, twice; the new home waits for work that was begun
// before it; three claims each. `loss`: of datagrams, on each way.
inline double back_seconds(const Settings& settings, double loss = 0) {
  const double through = (1 - loss) * (1 - loss), period = seconds(settings.period);
  const double promised = 2 * seconds(no_shorter(settings.term, settings.drift));
  const double tries = 3 * (2 + 3) * period;  // each: no majority for two periods, and a pause of up to three
  const double before = seconds(no_shorter(settings.work, settings.drift));
  const double leases = seconds(no_shorter(settings.lease + settings.work, settings.drift));
  return promised + tries / through + before + leases + 3 * period / through;
}

// After demand has moved from one router to another, until the other has what it may have of a rate: its
// claim grows by a tenth of the total and twofold each fifth of a period, and one more claim of a period
// tells the first to have less.
inline double moved_seconds(const Settings& settings, double loss = 0) {
  const double through = (1 - loss) * (1 - loss), period = seconds(settings.period);
  constexpr double kSteps = 4;  // 0.1, 0.3, 0.7, 1.5 of the total
  return (kSteps / 5 + 2) * period / through;
}

// By how much the sum of a rate's parts may be over its total, as a share of it, and for how long: where a
// part has moved and its former holder has not heard. It ends with its lease, whatever is lost.
inline double over_seconds(const Settings& settings) { return seconds(settings.lease); }

}  // namespace streampick::leases
