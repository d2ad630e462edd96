/// \file
/// A fleet on the simulated network for tests of the protocol, with counts of the changes that its nodes
/// report.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "emulator/simulated_network.h"
#include "membership/bounds.h"
#include "membership/wire.h"
#include "mutants.h"

namespace streampick::membership::test {

inline double to_periods(Time time) { return static_cast<double>(time) / static_cast<double>(kSecond); }

/// settle_periods() as a time, for a protocol period of one second.
inline Time settle_time(std::size_t members, std::size_t datagram_size, double loss = 0,
                        std::size_t live = 0) {
  return static_cast<Time>(settle_periods(members, datagram_size, loss, live) * static_cast<double>(kSecond));
}

class GossipFleet {
 public:
  /// Starts all nodes, each with the addresses of all nodes as contacts.
  GossipFleet(std::size_t size, std::size_t datagram_size, std::uint64_t seed,
              const std::function<void(Settings&)>& adjust = {})
      : network(seed), datagram_size_(datagram_size) {
    network.settings.max_datagram_size = datagram_size;
    network.rules = &rules_under_test();
    apply_mutant(network.settings);
    if (adjust) {
      adjust(network.settings);
    }
    network.on_change = [this](std::size_t node, const Change& change) { on_change(node, change); };
    network.add_many(size);
    for (std::size_t node = 0; node < size; ++node) {
      network.start(node);
    }
  }

  /// Runs until all views are equal and exact, but at most for `limit`. Returns whether they are.
  bool settles_within(Time limit) {
    const Time from = network.now();
    const bool is_settled = wait_until([&] { return network.settled(); }, limit);
    settle_duration = to_periods(network.now() - from);
    return is_settled;
  }
  /// The same, with the bound of membership/bounds.h as the limit.
  bool settles() {
    std::size_t live = 0;
    for (std::size_t node = 0; node < network.size(); ++node) {
      live += network.is_up(node) ? 1 : 0;
    }
    return settles_within(settle_time(network.size(), datagram_size_, 0, live));
  }
  /// Runs until the condition holds, but at most for `limit`. Evaluates it after each event, in fleets of
  /// more than 50 nodes once in 20 events per node. Returns whether it holds.
  bool wait_until(const std::function<bool()>& condition, Time limit) {
    constexpr std::size_t kLargeFleet = 50;
    const std::size_t interval = network.size() > kLargeFleet ? 20 * network.size() : 1;
    std::size_t events = 0;
    return network.run_until([&] { return ++events % interval == 0 && condition(); }, limit);
  }
  /// Blocks datagrams between nodes of different groups.
  void partition(std::function<int(std::size_t node)> group) {
    network.is_cut = [group = std::move(group)](std::size_t from, std::size_t to) {
      return group(from) != group(to);
    };
  }
  void heal() {
    network.is_cut = [](std::size_t, std::size_t) { return false; };
  }
  void run(double seconds) { network.run_for(static_cast<Time>(seconds * static_cast<double>(kSecond))); }
  ViewSummary summary(std::size_t node) const { return network.gossip(node).summary(network.now(node)); }
  InstanceId instance(std::size_t node) const { return network.gossip(node).self().instance; }
  bool is_running(InstanceId instance) const {
    for (std::size_t node = 0; node < network.size(); ++node) {
      if (network.is_up(node) && this->instance(node) == instance) {
        return true;
      }
    }
    return false;
  }
  /// Sends a message of the test from one node to another at once.
  void inject(std::size_t from, std::size_t to, const Message& message) {
    network.inject(from, to, encode(message, ""), 1);
  }
  /// A Gossip message with the node's record as its sender, without updates.
  Message gossip_of(std::size_t node) const {
    Message message;
    message.sender = network.gossip(node).self();
    message.body = Gossip{};
    return message;
  }

  emulator::SimulatedNetwork network;
  double settle_duration = 0;  ///< duration of the last settles_within() in seconds
  std::map<Change::Kind, int> changes;
  int running_declared_unreachable = 0;
  int running_reported_left = 0;
  /// By running instance: the nodes that declared it unreachable.
  std::map<InstanceId, std::set<std::size_t>> declared_by;

 private:
  void on_change(std::size_t node, const Change& change) {
    ++changes[change.kind];
    if (!is_running(change.instance)) {
      return;
    }
    if (change.kind == Change::Kind::unreachable) {
      ++running_declared_unreachable;
      declared_by[change.instance].insert(node);
    }
    if (change.kind == Change::Kind::left) {
      ++running_reported_left;
    }
  }

  std::size_t datagram_size_;
};

}  // namespace streampick::membership::test
