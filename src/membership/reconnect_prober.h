/// \file
/// Finds the end of a partition, and other processes after a start: each protocol period probes a few of the
/// unreachable members and of the contacts that are not live members.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "membership/protocol_context.h"

namespace streampick::membership {

class ReconnectProber {
 public:
  /// Once a protocol period.
  void on_period(ProtocolContext& context, Time now);
  /// Returns whether a probe of `acknowledged` waited for this sequence number.
  bool on_ack(std::uint32_t sequence, Address acknowledged);
  /// An unreachable member came back, so others may: probe more for some periods.
  void on_recovery();
  /// Addresses to be probed after this process has forgotten its members.
  void remember(std::vector<Address> addresses) { remembered_ = std::move(addresses); }

 private:
  using Probes = std::map<std::uint32_t, Address>;  // by sequence number
  [[nodiscard]] std::vector<Address> candidates(const ProtocolContext& context) const;

  Probes probes_;
  Probes previous_probes_;  // of the last period
  std::vector<Address> remembered_;
  int periods_alone_ = 0;  // without a live member
  int fast_periods_ = 0;   // left
};

}  // namespace streampick::membership
