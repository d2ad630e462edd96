/// \file
/// Mutants of the protocol: each breaks one rule, and a test that is built with it must detect that. The
/// macro STREAMPICK_MEMBERSHIP_MUTANT selects the mutant; without it the standard rules apply.
#pragma once

#include "membership/protocol_rules.h"
#include "membership/settings.h"

#ifndef STREAMPICK_MEMBERSHIP_MUTANT
#define STREAMPICK_MEMBERSHIP_MUTANT none
#endif

namespace streampick::membership::test {

enum class Mutant {
  none,
  refutes_without_incarnation,  // a refutation keeps the accused incarnation
  keeps_no_tombstones,          // records of processes that left are removed at once
  never_refutes,
  believes_unreachable_claims,  // the claim of one other router is enough
  ignores_suspension,
  runs_no_anti_entropy,
};

inline constexpr Mutant kMutant = Mutant::STREAMPICK_MEMBERSHIP_MUTANT;

class MutantRules : public ProtocolRules {
 public:
  [[nodiscard]] bool refutes_accusations() const override { return kMutant != Mutant::never_refutes; }
  [[nodiscard]] std::uint64_t refuting_incarnation(std::uint64_t own, std::uint64_t accused) const override {
    return kMutant == Mutant::refutes_without_incarnation ? own
                                                          : ProtocolRules::refuting_incarnation(own, accused);
  }
  [[nodiscard]] bool believes_unreachable_claims() const override {
    return kMutant == Mutant::believes_unreachable_claims;
  }
  [[nodiscard]] bool detects_suspension() const override { return kMutant != Mutant::ignores_suspension; }
  [[nodiscard]] bool runs_anti_entropy() const override { return kMutant != Mutant::runs_no_anti_entropy; }
};

/// The rules that the tests pass to the protocol.
inline const ProtocolRules& rules_under_test() {
  static const MutantRules kMutantRules;
  return kMutant == Mutant::none ? ProtocolRules::standard() : kMutantRules;
}

/// Changes the settings if the mutant is implemented by a setting.
inline void apply_mutant(Settings& settings) {
  if (kMutant == Mutant::keeps_no_tombstones) {
    settings.lifetimes.left_times = 0;
  }
}

}  // namespace streampick::membership::test
