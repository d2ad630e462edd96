/// \file
/// The rules that the protocol's safety depends on, as virtual functions. The router always uses the standard
/// rules; mutation tests replace one rule at a time and must detect each replacement.
#pragma once

#include <cstdint>

namespace streampick::membership {

class ProtocolRules {
 public:
  ProtocolRules() = default;
  ProtocolRules(const ProtocolRules&) = default;
  ProtocolRules& operator=(const ProtocolRules&) = default;
  virtual ~ProtocolRules() = default;

  /// The rules that the router uses. The object exists until the program ends.
  static const ProtocolRules& standard() {
    static const ProtocolRules rules;
    return rules;
  }

  /// Whether a process refutes records that say that it is suspect or unreachable.
  [[nodiscard]] virtual bool refutes_accusations() const { return true; }
  /// The incarnation of that refutation. `own`: the incarnation of the process; `accused`: that of the
  /// record.
  [[nodiscard]] virtual std::uint64_t refuting_incarnation(std::uint64_t /*own*/,
                                                           std::uint64_t accused) const {
    return accused + 1;
  }
  /// Whether the claim of one other process is enough to change an alive member to `unreachable`.
  [[nodiscard]] virtual bool believes_unreachable_claims() const { return false; }
  /// Whether a process detects that it was suspended, and then discards the timeouts of that time.
  [[nodiscard]] virtual bool detects_suspension() const { return true; }
  /// Whether anti-entropy repairs tables that differ.
  [[nodiscard]] virtual bool runs_anti_entropy() const { return true; }
};

}  // namespace streampick::membership
