// What routers may have in use of a hard limit at an instant, at the worst: each begins as much as its
// allowance allows, at the last moment at which it does, and each piece lasts for as long as work may. In
// true time.
#pragma once

#include <algorithm>
#include <vector>

#include "shares/lease_holder.h"

namespace streampick::leases::test {

class Occupancy {
 public:
  // To be called after each event at the router, at the true time `now`; its clock reads `clock` and runs at
  // `rate`.
  void see(Time now, const Allowance& allowance, Time clock, double rate, Time work) {
    // Whatever was allowed until now may have begun now.
    for (Span& span : spans_)
      if (!span.closed) span.last = std::min(now, span.end);
    std::erase_if(spans_,
                  [&](const Span& span) { return span.closed && span.last + lasts(work, rate) <= now; });
    const bool same = !spans_.empty() && !spans_.back().closed && spans_.back().allowance == allowance;
    if (same) return;
    for (Span& span : spans_) span.closed = true;
    const Time left = allowance.lease_end - clock;
    const Time end = allowance.usable(clock) <= allowance.guaranteed
                         ? kNever
                         : now + static_cast<Time>(static_cast<double>(left) / rate);
    spans_.push_back({.allowance = allowance,
                      .usable = allowance.usable(clock),
                      .guaranteed = allowance.guaranteed,
                      .last = now,
                      .end = end});
  }
  // What a process had begun ends with it.
  void process_ended() { spans_.clear(); }
  // In use at most at `now`, which is no earlier than what was seen.
  double most(Time now, Time work, double rate) const {
    double out = 0;
    for (const Span& span : spans_) {
      const Time last = span.closed ? span.last : std::min(now, span.end);
      out = std::max(out, last + lasts(work, rate) > now ? span.usable : span.closed ? 0 : span.guaranteed);
    }
    return out;
  }

 private:
  static Time lasts(Time work, double rate) { return static_cast<Time>(static_cast<double>(work) / rate); }
  struct Span {
    Allowance allowance;
    double usable = 0;
    double guaranteed = 0;
    Time last = 0;  // that work may have begun in it
    Time end = 0;   // of its lease
    bool closed = false;
  };
  std::vector<Span> spans_;
};

}  // namespace streampick::leases::test
