// One seat's voter: who may be the home of the limits on that seat, and for how long. It promises itself to
// one epoch at a time. A majority of promises makes a home, so that at no moment there are two (PaxosLease,
// as published, without its second round: a term carries no value but its own epoch). No I/O, no clock.
#pragma once

#include <algorithm>

#include "shares/settings.h"
#include "shares/without.h"

namespace streampick::leases {

class Voter {
 public:
  // It does not know what a process before it has promised, and waits that out.
  Voter(const Settings& settings, Time now) { forget(settings, now); }
  void forget(const Settings& settings, Time now) {
    if (kWithout != kSilence)
      silent_until_ = std::max(silent_until_, now + no_shorter(settings.term, settings.drift));
  }

  // For how long `epoch` is promised from now on; 0: it is not.
  Time ask(const Settings& settings, Time now, Epoch epoch, Address who) {
    if (now < silent_until_ || epoch < highest_ || (now < until_ && epoch != highest_)) return 0;
    highest_ = epoch;
    home_ = who;
    until_ = std::max(until_, now + settings.term);
    return settings.term;
  }
  // Nothing was granted under it, or all that was has ended.
  void release(Time now, Epoch epoch) {
    if (epoch == highest_) until_ = std::min(until_, now);
  }
  Epoch highest() const { return highest_; }
  // To whom it is promised; 0: to nobody.
  Address home(Time now) const { return now < until_ ? home_ : 0; }

 private:
  Epoch highest_;
  Address home_ = 0;
  Time until_ = 0, silent_until_ = 0;
};

}  // namespace streampick::leases
