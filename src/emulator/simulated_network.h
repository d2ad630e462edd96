/// \file
/// A simulated datagram network with one gossip protocol per node, on virtual time: a discrete-event
/// simulation that gives the same history for the same seed. Datagrams may be lost, delayed, duplicated,
/// corrupted or cut off; they are encoded and decoded as on a socket. A node may also run the protocol of
/// shared limits.
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

/// Faults of all paths between nodes.
struct LinkFaults {
  double loss = 0;         ///< share of datagrams
  double duplication = 0;  ///< share of datagrams
  double corruption = 0;   ///< share of datagrams
  Time min_delay = 500;    ///< microseconds
  Time max_delay = 2'000;  ///< a wide range reorders datagrams
};

/// A node's clock, which may be set apart from true time and run at another rate.
class SimulatedClock {
 public:
  explicit SimulatedClock(Time now) : reading_(now), set_at_(now) {}

  [[nodiscard]] Time at(Time true_time) const;
  /// The first true time at which the clock shows `reading` or later.
  [[nodiscard]] Time true_time(Time reading) const;
  void step(Time by) { reading_ += by; }
  void set_rate(Time true_now, double rate);

 private:
  Time reading_;  // at the true time `set_at_`
  Time set_at_;
  double rate_ = 1;
};

class SimulatedNetwork {
 public:
  struct Traffic {
    std::array<std::uint64_t, membership::kMessageKinds> datagrams{};  ///< sent, by kind
    std::uint64_t bytes = 0;                                           ///< sent
    std::uint64_t longest = 0;                                         ///< sent datagram, in bytes
    std::uint64_t undecodable = 0;                                     ///< received
    std::uint64_t received = 0;

    [[nodiscard]] std::uint64_t all() const;
  };
  /// Sender, receiver and bytes.
  using Datagram = std::tuple<std::size_t, std::size_t, std::string>;

  explicit SimulatedNetwork(std::uint64_t seed) : random_(seed) {}

  // ---- Configuration; may change at any time, settings apply to nodes that are added later.

  /// Of all nodes. Name, address and contacts are filled in.
  membership::Settings settings;
  const membership::ProtocolRules* rules = &membership::ProtocolRules::standard();
  LinkFaults link;
  /// Whether no datagram gets from one node to the other.
  std::function<bool(std::size_t from, std::size_t to)> is_cut = [](std::size_t, std::size_t) {
    return false;
  };
  std::function<void(std::size_t node)> after_event = [](std::size_t) {};
  std::function<void(std::size_t node, const membership::Change&)> on_change =
      [](std::size_t, const membership::Change&) {};
  /// Settings of the shared limits of a node that is started, without its address; none: it has none.
  std::function<std::optional<leases::Settings>(std::size_t node)> shares = [](std::size_t) {
    return std::nullopt;
  };
  /// Whether sent datagrams are kept in `recorded`.
  bool record = false;
  std::vector<Datagram> recorded;

  // ---- Nodes

  /// Adds a node that is down, and returns its number. An empty name stands for one of its own.
  std::size_t add(const std::vector<std::size_t>& contacts, const std::string& name = {});
  /// Adds nodes of which each has all as its contacts.
  void add_many(std::size_t count);
  /// Starts a new process instance that knows nothing, also in the place of a running one.
  void start(std::size_t node);
  /// The process ends without a word.
  void kill(std::size_t node);
  /// The process tells others, and ends.
  void leave(std::size_t node);
  /// Suspends the process; datagrams wait in its socket's buffer.
  void pause(std::size_t node);
  void resume(std::size_t node);
  void step_clock(std::size_t node, Time by);
  /// From now on the node's clock runs at `rate` times the true speed.
  void set_rate(std::size_t node, double rate);
  /// Delivers a made-up datagram, as if `from` had sent it, after some time.
  void inject(std::size_t from, std::size_t to, std::string datagram, Time after);
  /// To be called after a call of the node's protocols: sends what they queued and sets the next wake-up.
  void flush(std::size_t node);

  // ---- Time

  void run(Time until);
  void run_for(Time time) { run(now_ + time); }
  /// Runs until `done`, which is evaluated after each event, or for `limit`. Returns whether it is done.
  bool run_until(const std::function<bool()>& done, Time limit);
  [[nodiscard]] Time now() const { return now_; }
  /// By the node's own clock.
  [[nodiscard]] Time now(std::size_t node) const { return nodes_[node].clock.at(now_); }

  // ---- Observation

  /// Whether each node that is up holds exactly those that are up as alive, and all views are equal.
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
  /// Of all nodes.
  [[nodiscard]] Traffic traffic() const;

 private:
  struct Node {
    Node(membership::Settings own_settings, Time now) : settings(std::move(own_settings)), clock(now) {}

    membership::Settings settings;
    SimulatedClock clock;
    std::unique_ptr<membership::GossipProtocol> gossip;  // nullptr: the node is down
    std::unique_ptr<leases::LeaseProtocol> share;
    std::optional<fleet::RouterCount> router_count;
    Time view_reported_at = 0;  // to the shared limits
    std::uint64_t wakeup = 0;   // number of the wake-up that is valid
    bool is_paused = false;
    std::deque<std::pair<std::size_t, std::string>> waiting;  // sender and datagram
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
  bool chance(double share) { return share > 0 && draw() < share; }
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t event_count_ = 0;
  Time now_ = 1'000 * membership::kSecond;
};

}  // namespace streampick::emulator
