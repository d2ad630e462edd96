// The rules on which the hard limit's invariant rests, in one place.
#pragma once

#include <cstddef>

#include "shares/clock_drift.h"
#include "shares/messages.h"

namespace streampick::leases {

/// Invariant of a hard limit: at every instant the sum of what all processes may use is at most its total.
/// Each function is one rule of the proof in docs/leases.md. Production uses the standard rules; the model
/// check (tests/shares/model_test.cpp) overrides one at a time and requires that the violation is found.
class SafetyRules {
 public:
  SafetyRules() = default;
  virtual ~SafetyRules() = default;
  SafetyRules(const SafetyRules&) = delete;
  SafetyRules& operator=(const SafetyRules&) = delete;

  /// End, by the clock that read `requested` when the request left, of a vote or lease of `duration` by
  /// another clock. The other clock may be the faster one.
  virtual Time expiry(Time requested, Time duration, double max_clock_drift) const {
    return requested + shrink_for_drift(duration, max_clock_drift);
  }
  /// Number of votes that elect a granter: two quorums have a voter in common.
  virtual std::size_t quorum(std::size_t voters) const { return voters / 2 + 1; }
  /// How long a voter that may have forgotten its promises gives none.
  virtual Time silence(Time term, double max_clock_drift) const {
    return stretch_for_drift(term, max_clock_drift);
  }
  /// How long a new granter waits for work that began under its predecessor's leases.
  virtual Time wait_before_granting(Time max_work_duration, double max_clock_drift) const {
    return stretch_for_drift(max_work_duration, max_clock_drift);
  }
  /// Whether messages of `epoch` are void for a process that knows `newer`.
  virtual bool is_fenced(const Epoch& epoch, const Epoch& newer) const { return epoch < newer; }
  /// Whether a claim acknowledges grants of the table's own epoch.
  virtual bool acknowledges(bool same_epoch) const { return same_epoch; }
  /// Whether a grant counts as outstanding until its holder has acknowledged a later one, or it has expired.
  virtual bool keeps_unacknowledged_grants() const { return true; }
};

inline const SafetyRules kStandardSafetyRules{};

}  // namespace streampick::leases
