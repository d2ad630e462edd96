// Acceptor of PaxosLease for one shard. No I/O, no clock.
#pragma once

#include <algorithm>

#include "shares/safety_rules.h"
#include "shares/settings.h"

namespace streampick::leases {

/// Votes for one epoch at a time, for a term. A term carries no value besides its epoch, so PaxosLease's
/// second round is left out.
///
/// Invariant: until a vote has expired or is released, no other epoch gets one; a vote for a lower epoch than
/// the highest known is never given. Tests: LeaseModel, LeaseModelMutation `quorum` and `silence`.
class Voter {
 public:
  /// A new process does not know its predecessor's votes and stays silent until they have expired.
  Voter(const Settings& settings, Time now) { lose_memory(settings, now); }

  /// After a restart or a suspension: gives no vote until every earlier one has expired.
  void lose_memory(const Settings& settings, Time now) {
    const Time silence = settings.safety_rules->silence(settings.term, settings.max_clock_drift);
    silent_until_ = std::max(silent_until_, now + silence);
  }

  /// Returns for how long from now `candidate` has the vote for `epoch`; 0: it is rejected.
  Time request_vote(const Settings& settings, Time now, Epoch epoch, Address candidate) {
    const bool promised_to_another = now < vote_end_ && epoch != highest_epoch_;
    if (now < silent_until_ || epoch < highest_epoch_ || promised_to_another) return 0;
    highest_epoch_ = epoch;
    candidate_ = candidate;
    vote_end_ = std::max(vote_end_, now + settings.term);
    return settings.term;
  }

  /// The candidate will not use `epoch` any more.
  void release(Time now, Epoch epoch) {
    if (epoch == highest_epoch_) vote_end_ = std::min(vote_end_, now);
  }

  Epoch highest_epoch() const { return highest_epoch_; }
  /// Who has the vote; 0: nobody.
  Address voted_for(Time now) const { return now < vote_end_ ? candidate_ : 0; }

 private:
  Epoch highest_epoch_;
  Address candidate_ = 0;
  Time vote_end_ = 0;
  Time silent_until_ = 0;
};

}  // namespace streampick::leases
