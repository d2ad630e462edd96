/// \file
/// A simulated datagram network with one gossip protocol per node, in virtual time: a discrete-event
/// simulation that produces the same events for the same seed. Datagrams may be lost, delayed, duplicated,
/// corrupted or blocked by a partition; they are encoded and decoded as on a socket. A node may also run the
/// lease protocol for shared limits.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "fleet/router_count.h"
#include "membership/gossip_protocol.h"
#include "shares/lease_protocol.h"

namespace streampick::emulator {

using membership::Time;

/// Faults of the links between all nodes.
struct LinkFaults {
  double loss = 0;         ///< fraction of datagrams
  double duplication = 0;  ///< fraction of datagrams
  double corruption = 0;   ///< fraction of datagrams
  Time min_delay = 500;    ///< microseconds
  Time max_delay = 2'000;  ///< microseconds; a large difference to min_delay reorders datagrams
};

/// A node's clock, which may have an offset from the simulation's time and run at another rate.
class SimulatedClock {
 public:
  explicit SimulatedClock(Time now) : reading_(now), set_at_(now) {}

  [[nodiscard]] Time at(Time true_time) const;
  /// The earliest simulation time at which the clock reads `reading` or later.
  [[nodiscard]] Time true_time(Time reading) const;
  void step(Time by) { reading_ += by; }
  void set_rate(Time true_now, double rate);

 private:
  Time reading_;  // at the simulation time `set_at_`
  Time set_at_;
  double rate_ = 1;
};

class SimulatedNetwork {
 public:
  struct Traffic {
    std::array<std::uint64_t, membership::kMessageKinds> datagrams{};  ///< sent, by kind
    std::uint64_t bytes = 0;                                           ///< sent
    std::uint64_t longest = 0;                                         ///< size of the largest sent, in bytes
    std::uint64_t undecodable = 0;                                     ///< received, but not decoded
    std::uint64_t received = 0;

    [[nodiscard]] std::uint64_t all() const;
  };
  /// Sender, receiver and bytes.
  using Datagram = std::tuple<std::size_t, std::size_t, std::string>;

  explicit SimulatedNetwork(std::uint64_t seed) : random_(seed) {}

  // ---- Configuration. May change at any time; `settings` applies to nodes that are added afterwards.

  /// Settings of all nodes. add() fills in name, address and contacts.
  membership::Settings settings;
  const membership::ProtocolRules* rules = &membership::ProtocolRules::standard();
  LinkFaults link;
  /// Whether datagrams from one node to the other are dropped.
  std::function<bool(std::size_t from, std::size_t to)> is_cut = [](std::size_t, std::size_t) {
    return false;
  };
  std::function<void(std::size_t node)> after_event = [](std::size_t) {};
  std::function<void(std::size_t node, const membership::Change&)> on_change =
      [](std::size_t, const membership::Change&) {};
  /// Settings of the lease protocol that a node runs when it starts, without its address; nullopt: the node
  /// does not run it.
  std::function<std::optional<leases::Settings>(std::size_t node)> shares = [](std::size_t) {
    return std::nullopt;
  };
  /// Whether sent datagrams are appended to `recorded`.
  bool record = false;
  std::vector<Datagram> recorded;

  // ---- Nodes

  /// Adds a node that is down, and returns its number. If `name` is empty, the node is called "n" and its
  /// number.
  std::size_t add(const std::vector<std::size_t>& contacts, const std::string& name = {});
  /// Adds nodes that each have all nodes as contacts.
  void add_many(std::size_t count);
  /// Starts a new process instance without any state. Replaces a running one.
  void start(std::size_t node);
  /// Ends the process without notice to the others.
  void kill(std::size_t node);
  /// The process announces that it leaves, and ends.
  void leave(std::size_t node);
  /// Suspends the process; its socket's buffer keeps arriving datagrams.
  void pause(std::size_t node);
  void resume(std::size_t node);
  void step_clock(std::size_t node, Time by);
  /// From now on the node's clock runs at `rate` times the speed of the simulation's time.
  void set_rate(std::size_t node, double rate);
  /// Delivers a datagram of the test after the delay `after`, as if `from` had sent it.
  void inject(std::size_t from, std::size_t to, std::string datagram, Time after);
  /// To be called after each call of a node's protocols: sends what they queued and schedules the next
  /// wake-up.
  void flush(std::size_t node);

  // ---- Time

  void run(Time until);
  void run_for(Time time) { run(now_ + time); }
  /// Runs until `done` returns true, but at most for `limit`. Evaluates `done` after each event. Returns its
  /// last result.
  bool run_until(const std::function<bool()>& done, Time limit);
  [[nodiscard]] Time now() const { return now_; }
  /// The time by the node's own clock.
  [[nodiscard]] Time now(std::size_t node) const { return nodes_[node].clock.at(now_); }

  // ---- Observation

  /// Whether the view of each node that is up has exactly the nodes that are up as alive, and all views are
  /// equal.
  [[nodiscard]] bool settled() const;
  [[nodiscard]] std::size_t size() const { return nodes_.size(); }
  [[nodiscard]] bool is_up(std::size_t node) const { return nodes_[node].gossip != nullptr; }
  [[nodiscard]] bool is_paused(std::size_t node) const { return nodes_[node].is_paused; }
  [[nodiscard]] membership::GossipProtocol& gossip(std::size_t node) { return *nodes_[node].gossip; }
  [[nodiscard]] const membership::GossipProtocol& gossip(std::size_t node) const {
    return *nodes_[node].gossip;
  }
  [[nodiscard]] leases::LeaseProtocol& share(std::size_t node) { return *nodes_[node].share; }
  [[nodiscard]] const leases::LeaseProtocol& share(std::size_t node) const { return *nodes_[node].share; }
  [[nodiscard]] static membership::Address address(std::size_t node) {
    return membership::numbered(static_cast<std::uint32_t>(node));
  }
  [[nodiscard]] const Traffic& traffic(std::size_t node) const { return nodes_[node].traffic; }
  /// The sum of all nodes.
  [[nodiscard]] Traffic traffic() const;

 private:
  struct Node {
    Node(membership::Settings own_settings, Time now) : settings(std::move(own_settings)), clock(now) {}

    membership::Settings settings;
    SimulatedClock clock;
    std::unique_ptr<membership::GossipProtocol> gossip;  // nullptr: the node is down
    std::unique_ptr<leases::LeaseProtocol> share;
    std::optional<fleet::RouterCount> router_count;
    Time view_reported_at = 0;  // when the lease protocol got the view last
    std::uint64_t wakeup = 0;   // number of the latest scheduled wake-up; earlier ones are ignored
    bool is_paused = false;
    std::deque<std::pair<std::size_t, std::string>> socket_buffer;  // sender and datagram
    Traffic traffic;
  };
  struct Event {
    Time time = 0;
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::size_t from = 0;
    std::uint64_t wakeup = 0;
    std::string datagram = {};  // empty: a wake-up

    bool operator>(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  void start_shares(std::size_t node);
  void handle(Event& event);
  void wake(std::size_t node);
  void receive(std::size_t from, std::size_t to, const std::string& datagram);
  void exchange_payloads(std::size_t node);
  void transmit(std::size_t from, const membership::OutgoingMessage& outgoing);
  void transmit_once(std::size_t from, std::size_t to, std::string datagram);
  void schedule_wakeup(std::size_t node);
  [[nodiscard]] bool view_is_exact(std::size_t node, const std::vector<membership::InstanceId>& up) const;
  bool happens(double probability) { return probability > 0 && draw() < probability; }
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t event_count_ = 0;
  Time now_ = 1'000 * membership::kSecond;
};

}  // namespace streampick::emulator
