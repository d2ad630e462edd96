/// \file
/// Settings of the gossip protocol.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "membership/record.h"

namespace streampick::membership {

/// How long a suspicion lasts (Lifeguard's dynamic suspicion timeout).
struct SuspicionRule {
  double min_factor = 4;          ///< minimum timeout: this times max(1, log10(members)) protocol periods
  double max_multiple = 6;        ///< timeout without confirmations: this times the minimum timeout
  std::size_t confirmations = 3;  ///< independent confirmations that reduce the timeout to its minimum
};

/// How long records of processes that have ended are kept (docs/membership.md, "Tombstones").
struct Lifetimes {
  Time unreachable = 600 * kSecond;
  int left_times = 2;  ///< records in the state `left` are kept for this times `unreachable`

  [[nodiscard]] Time left() const { return left_times * unreachable; }
  /// How long a record is kept in the state; kNever for states without a limit.
  [[nodiscard]] Time of(State state) const {
    switch (state) {
      case State::unreachable: return unreachable;
      case State::left: return left();
      default: return kNever;
    }
  }
};

struct Settings {
  std::string name;
  Address address = 0;
  /// Addresses of peers or seeds where other processes may run. May include this process's own address.
  std::vector<Address> contacts;
  Time period = kSecond;        ///< protocol period: one member is probed in each
  Time ping_timeout = 300'000;  ///< from a ping to the indirect probes; less than half a period
  std::size_t indirect_probers = 3;
  std::size_t max_datagram_size = 1'200;  ///< bytes
  SuspicionRule suspicion;
  Lifetimes lifetimes;
  Facts facts;
};

}  // namespace streampick::membership
