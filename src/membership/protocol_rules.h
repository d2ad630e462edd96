/// \file
/// The rules that the protocol's safety rests on, as replaceable decisions. The router always uses the
/// standard ones; mutation tests inject others and must notice each.
#pragma once

#include <cstdint>

namespace streampick::membership {

class ProtocolRules {
 public:
  ProtocolRules() = default;
  ProtocolRules(const ProtocolRules&) = default;
  ProtocolRules& operator=(const ProtocolRules&) = default;
  virtual ~ProtocolRules() = default;

  /// The rules of the router. The object lives as long as the program.
  static const ProtocolRules& standard() {
    static const ProtocolRules rules;
    return rules;
  }

  /// Whether a process refutes that it is suspected or unreachable.
  [[nodiscard]] virtual bool refutes_accusations() const { return true; }
  /// The incarnation in which it does so.
  [[nodiscard]] virtual std::uint64_t refuting_incarnation(std::uint64_t /*own*/,
                                                           std::uint64_t accused) const {
    return accused + 1;
  }
  /// Whether a claim of another process is enough to take an alive member for unreachable.
  [[nodiscard]] virtual bool believes_unreachable_claims() const { return false; }
  /// Whether a process notices that it was suspended, and discards the timeouts that ran meanwhile.
  [[nodiscard]] virtual bool detects_suspension() const { return true; }
  /// Whether tables that differ are repaired.
  [[nodiscard]] virtual bool runs_anti_entropy() const { return true; }
};

}  // namespace streampick::membership
