// The rules that guarantee the invariant of hard limits.
#pragma once

#include <cstddef>

#include "shares/clock_drift.h"
#include "shares/messages.h"

namespace streampick::leases {

/// Invariant of a hard limit: at every instant the sum of what all processes may use is at most its total.
/// Each function is one rule of the proof in docs/leases.md. Production code uses the standard rules; the
/// model check (tests/shares/model_test.cpp) overrides one rule at a time and must then find a violation.
class SafetyRules {
 public:
  SafetyRules() = default;
  virtual ~SafetyRules() = default;
  SafetyRules(const SafetyRules&) = delete;
  SafetyRules& operator=(const SafetyRules&) = delete;

  /// When a vote or lease ends here that another process gave for `duration` by its clock. `requested`: time
  /// by this process's clock at which it sent the request. The other clock may run faster.
  virtual Time expiry(Time requested, Time duration, double max_clock_drift) const {
    return requested + shrink_for_drift(duration, max_clock_drift);
  }
  /// Number of votes that elect a granter. Any two quorums must have a voter in common.
  virtual std::size_t quorum(std::size_t voters) const { return voters / 2 + 1; }
  /// For how long a voter gives no votes after it may have forgotten earlier ones.
  virtual Time silence(Time term, double max_clock_drift) const {
    return stretch_for_drift(term, max_clock_drift);
  }
  /// How long a new granter waits for the end of work that began under its predecessor's leases.
  virtual Time wait_before_granting(Time max_work_duration, double max_clock_drift) const {
    return stretch_for_drift(max_work_duration, max_clock_drift);
  }
  /// Whether a process that knows epoch `newer` rejects messages of `epoch`.
  virtual bool is_fenced(const Epoch& epoch, const Epoch& newer) const { return epoch < newer; }
  /// Whether a claim may acknowledge grants of a table. `same_epoch`: whether both have the same epoch.
  virtual bool acknowledges(bool same_epoch) const { return same_epoch; }
  /// Whether a grant counts as outstanding until its holder has acknowledged a later one, or it has expired.
  virtual bool keeps_unacknowledged_grants() const { return true; }
};

inline const SafetyRules kStandardSafetyRules{};

}  // namespace streampick::leases
