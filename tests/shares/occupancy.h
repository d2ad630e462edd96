// What routers may have in use of a hard limit at an instant, at the worst: each begins as much as its part
// allows, at the last moment at which it does, and each piece lasts for as long as work may. In true time.
#pragma once

#include <algorithm>
#include <vector>

#include "shares/core.h"

namespace streampick::leases::test {

class Occupancy {
 public:
  // `clock`: what the router's clock reads at the true time `now`, and it runs at `rate`. To be told after
  // each event at the router; `core` null: its process has ended, and what it had begun with it.
  void see(Time now, const Core* core, LimitId limit, Time clock, double rate, Time work) {
    // Whatever was allowed until now may have begun now.
    for (Span& span : spans_)
      if (!span.closed) span.last = std::min(now, span.end);
    if (core == nullptr) return spans_.clear();
    const Part part = core->part(limit);
    std::erase_if(spans_,
                  [&](const Span& span) { return span.closed && span.last + lasts(work, rate) <= now; });
    const bool same = !spans_.empty() && !spans_.back().closed && spans_.back().part == part;
    if (same) return;
    for (Span& span : spans_) span.closed = true;
    const bool endless = part.usable(std::max(clock, part.until) + 1) > part.floor;  // a rule is missing
    const Time left = part.until - clock;
    const Time end = endless || part.usable(clock) <= part.floor
                         ? kNever
                         : now + static_cast<Time>(static_cast<double>(left) / rate);
    spans_.push_back({part, part.usable(clock), part.floor, now, end, false});
  }
  // In use at most at `now`, which is no earlier than what was seen.
  double most(Time now, Time work, double rate) const {
    double out = 0;
    for (const Span& span : spans_) {
      const Time last = span.closed ? span.last : std::min(now, span.end);
      out = std::max(out, last + lasts(work, rate) > now ? span.usable : span.closed ? 0 : span.floor);
    }
    return out;
  }

 private:
  static Time lasts(Time work, double rate) { return static_cast<Time>(static_cast<double>(work) / rate); }
  struct Span {
    Part part;
    double usable = 0, floor = 0;
    Time last = 0;  // that work may have begun in it
    Time end = 0;   // of its lease
    bool closed = false;
  };
  std::vector<Span> spans_;
};

}  // namespace streampick::leases::test
