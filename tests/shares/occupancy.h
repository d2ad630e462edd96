// Worst-case use of a hard limit by one router at an instant: the router starts as much work as its allowance
// permits, as late as the allowance permits it, and all work lasts for the maximum duration. In true time.
#pragma once

#include <algorithm>
#include <vector>

#include "shares/lease_holder.h"

namespace streampick::leases::test {

class Occupancy {
 public:
  // Call after each event at the router. `now` is true time; the router's clock reads `clock` and runs at
  // `rate` times the speed of true time.
  void observe(Time now, const Allowance& allowance, Time clock, double rate, Time work) {
    // Work that was permitted until now may have started at any instant until now.
    for (Period& period : periods_)
      if (!period.closed) period.last = std::min(now, period.end);
    std::erase_if(periods_, [&](const Period& period) {
      return period.closed && period.last + true_duration(work, rate) <= now;
    });
    const bool is_unchanged =
        !periods_.empty() && !periods_.back().closed && periods_.back().allowance == allowance;
    if (is_unchanged) return;
    for (Period& period : periods_) period.closed = true;
    const Time remaining = allowance.lease_end - clock;
    const Time end = allowance.usable(clock) <= allowance.guaranteed
                         ? kNever
                         : now + static_cast<Time>(static_cast<double>(remaining) / rate);
    periods_.push_back({.allowance = allowance,
                        .usable = allowance.usable(clock),
                        .guaranteed = allowance.guaranteed,
                        .last = now,
                        .end = end});
  }
  // The end of a process ends its work.
  void process_ended() { periods_.clear(); }
  // Maximum in use at `now`, which must not be before the last observation.
  double max_in_use(Time now, Time work, double rate) const {
    double maximum = 0;
    for (const Period& period : periods_) {
      const Time last = period.closed ? period.last : std::min(now, period.end);
      maximum = std::max(maximum, last + true_duration(work, rate) > now ? period.usable
                                  : period.closed                        ? 0
                                                                         : period.guaranteed);
    }
    return maximum;
  }

 private:
  static Time true_duration(Time work, double rate) {
    return static_cast<Time>(static_cast<double>(work) / rate);
  }
  struct Period {
    Allowance allowance;
    double usable = 0;
    double guaranteed = 0;
    Time last = 0;  // latest instant at which work may have started under this allowance
    Time end = 0;   // end of the lease in true time
    bool closed = false;
  };
  std::vector<Period> periods_;
};

}  // namespace streampick::leases::test
