// What a router's view is set by: plain values, without a codec, a socket or a core.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <string>
#include <vector>

#include "membership/record.h"

namespace streampick::membership {

struct SuspicionRule {
  double least_factor = 4;        // of log10(members) periods, at least one of them
  double most_times = 6;          // the least, where nobody confirms
  std::size_t confirmations = 3;  // after so many it is the least
};

// What an installation's times for records that are over must hold to (docs/membership.md, "Tombstones").
struct Lifetimes {
  Time unreachable = 600 * kSecond;
  int left_times = 2;  // as long are those kept that have left
  Time left() const { return left_times * unreachable; }
  Time of(State state) const {
    return state == State::unreachable ? unreachable : state == State::left ? left() : kNever;
  }
};

struct Settings {
  std::string name;
  Address self = 0;
  std::vector<Address> contacts;  // who may be there: peers, or seeds; this one may be among them
  Time period = kSecond;          // between two probes of this router
  Time answer_within = 300'000;   // of a probe, before others are asked to try; less than half a period
  std::size_t helpers = 3;
  std::size_t datagram = 1'200;  // bytes at most
  SuspicionRule suspicion;
  Lifetimes lifetimes;
  Facts facts;
};

struct BudgetLimits {
  double datagrams = 200, bytes = 64 * 1024;  // a second; as much may come at once
};

struct UdpSettings {
  boost::asio::ip::udp::endpoint listen;
  std::string fleet;  // its name; others' datagrams are not read
  std::vector<boost::asio::ip::udp::endpoint>
      peers;                // by number, this router among them; empty: addresses are told
  bool listed_only = true;  // whether only contacts are peers
  BudgetLimits budget;
  BudgetLimits guests = {200, 32 * 1024};  // of other parts of the program
};

}  // namespace streampick::membership
