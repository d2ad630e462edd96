/// \file
/// Settings of the gossip protocol: plain values, without codec or socket.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "membership/record.h"

namespace streampick::membership {

/// How long a suspicion lasts (Lifeguard's dynamic suspicion timeout).
struct SuspicionRule {
  double min_factor = 4;          ///< shortest timeout: times max(1, log10(members)) protocol periods
  double max_multiple = 6;        ///< longest timeout, without a confirmation: times the shortest
  std::size_t confirmations = 3;  ///< independent confirmations after which the shortest timeout applies
};

/// How long records of ended processes are kept (docs/membership.md, "Tombstones").
struct Lifetimes {
  Time unreachable = 600 * kSecond;
  int left_times = 2;  ///< records of processes that left are kept for so many times `unreachable`

  [[nodiscard]] Time left() const { return left_times * unreachable; }
  /// kNever for the states of running processes.
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
  std::vector<Address>
      contacts;           ///< where other processes may be: peers or seeds, this one's may be among them
  Time period = kSecond;  ///< protocol period: one direct probe each
  Time ping_timeout = 300'000;  ///< until indirect probes start; less than half a period
  std::size_t indirect_probers = 3;
  std::size_t max_datagram_size = 1'200;  ///< bytes
  SuspicionRule suspicion;
  Lifetimes lifetimes;
  Facts facts;
};

}  // namespace streampick::membership
