/// \file
/// Detects the end of a partition, and finds other processes after a start: in each protocol period it probes
/// some of the unreachable members and of the contacts that are not live members.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "membership/protocol_context.h"

namespace streampick::membership {

class ReconnectProber {
 public:
  /// To be called once per protocol period.
  void on_period(ProtocolContext& context, Time now);
  /// Returns whether a probe of the address `acknowledged` with this sequence number was waiting.
  bool on_ack(std::uint32_t sequence, Address acknowledged);
  /// To be called when an unreachable member is alive again. Others may be too, so more are probed for some
  /// periods.
  void on_recovery();
  /// Addresses to be probed in addition, after this process has cleared its member table.
  void remember(std::vector<Address> addresses) { remembered_ = std::move(addresses); }

 private:
  using Probes = std::map<std::uint32_t, Address>;  // by sequence number
  [[nodiscard]] std::vector<Address> candidates(const ProtocolContext& context) const;

  Probes probes_;
  Probes previous_probes_;  // of the previous period
  std::vector<Address> remembered_;
  int periods_alone_ = 0;  // consecutive periods without another live member
  int fast_periods_ = 0;   // remaining periods with more probes after a recovery
};

}  // namespace streampick::membership
