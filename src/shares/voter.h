// The acceptor role of PaxosLease for one shard. No I/O, no clock.
#pragma once

#include <algorithm>

#include "shares/safety_rules.h"
#include "shares/settings.h"

namespace streampick::leases {

/// Gives its vote to one epoch at a time, for the duration of a term. A term has no value besides its epoch,
/// so the second round of PaxosLease is not necessary.
///
/// Invariants: until a vote has expired or is released, no other epoch gets a vote; no vote is given to a
/// lower epoch than the highest known. Tests: LeaseModel, LeaseModelMutation `quorum` and `silence`.
class Voter {
 public:
  /// A new process does not know its predecessor's votes, so it gives no votes until they have expired.
  Voter(const Settings& settings, Time now) { lose_memory(settings, now); }

  /// Call after a restart or a suspension: the voter gives no votes until all earlier votes have expired.
  void lose_memory(const Settings& settings, Time now) {
    const Time silence = settings.safety_rules->silence(settings.term, settings.max_clock_drift);
    silent_until_ = std::max(silent_until_, now + silence);
  }

  /// Returns for how long from now `candidate` has the vote for `epoch`, or 0 if the request is rejected.
  Time request_vote(const Settings& settings, Time now, Epoch epoch, Address candidate) {
    const bool promised_to_another = now < vote_end_ && epoch != highest_epoch_;
    if (now < silent_until_ || epoch < highest_epoch_ || promised_to_another) return 0;
    highest_epoch_ = epoch;
    candidate_ = candidate;
    vote_end_ = std::max(vote_end_, now + settings.term);
    return settings.term;
  }

  /// Ends a vote early, because the candidate will not use `epoch` any more.
  void release(Time now, Epoch epoch) {
    if (epoch == highest_epoch_) vote_end_ = std::min(vote_end_, now);
  }

  Epoch highest_epoch() const { return highest_epoch_; }
  /// Address of the process that has the vote now, or 0.
  Address voted_for(Time now) const { return now < vote_end_ ? candidate_ : 0; }

 private:
  Epoch highest_epoch_;
  Address candidate_ = 0;
  Time vote_end_ = 0;
  Time silent_until_ = 0;
};

}  // namespace streampick::leases
