// Many cores of the fleet's view in one process, and a network of datagrams between them that loses, delays,
// doubles, damages and cuts, on virtual time: the same every time it is drawn from the same seed. What
// crosses it is encoded and decoded as on a socket. Where it is asked for, each has a core of shared limits
// beside it.
#pragma once

#include <array>
#include <cmath>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/router_count.h"
#include "membership/core.h"
#include "shares/lease_protocol.h"

namespace streampick::emulator {

using membership::Time;

struct Link {
  double loss = 0, twice = 0, damaged = 0;  // shares of all datagrams
  Time least = 500, most = 2'000;           // us on the way; a wide range reorders
};

class Datagrams {
 public:
  struct Sent {
    std::array<std::uint64_t, membership::kKinds> datagrams{};
    std::uint64_t bytes = 0, longest = 0, unreadable = 0, received = 0;
    std::uint64_t all() const {
      std::uint64_t out = 0;
      for (const std::uint64_t kind : datagrams) out += kind;
      return out;
    }
  };
  explicit Datagrams(std::uint64_t seed) : random_(seed) {}

  // What all nodes have alike: the period, the datagrams' size and so on. Name, address and contacts are
  // made.
  membership::Settings settings;
  Link link;
  // Whether nothing gets from one to the other; it may change at any time.
  std::function<bool(std::size_t from, std::size_t to)> cut = [](std::size_t, std::size_t) { return false; };
  std::function<void(std::size_t node)> after_event = [](std::size_t) {};
  std::function<void(std::size_t node, const membership::Change&)> changed = [](std::size_t,
                                                                                const membership::Change&) {};

  // The shared limits of a node that is started; its address is made. None: it has none.
  std::function<std::optional<leases::Settings>(std::size_t node)> shares = [](std::size_t) {
    return std::nullopt;
  };

  // A node that is down; `name`: empty for one of its own. Its contacts are `contacts` of the others, by
  // number.
  std::size_t add(std::vector<std::size_t> contacts, const std::string& name = {});
  void add_many(std::size_t count);  // each with all as its contacts
  void start(std::size_t node);      // as another process: with a new boot and nothing known
  void kill(std::size_t node);
  void leave(std::size_t node);  // it says so, and is down
  void pause(std::size_t node);
  void resume(std::size_t node);  // hears all that came meanwhile
  // Datagrams that are made up: as if `from` had sent them.
  void inject(std::size_t from, std::size_t to, std::string datagram, Time after);

  void run(Time until);
  void run_for(Time time) { run(now_ + time); }
  // Runs until `done`, looked at after each event, or for `longest`; returns whether it is.
  bool run_until(const std::function<bool()>& done, Time longest);
  // Each node that is up holds exactly those that are up as alive, and all hold the same.
  bool settled() const;

  Time now() const { return now_; }
  // By a node's own clock, which may be set apart from the others', and stepped while it runs.
  Time now(std::size_t node) const { return nodes_[node].clock(now_); }
  void step_clock(std::size_t node, Time by);
  // From now on this node's clock runs at `rate` times the true speed.
  void set_rate(std::size_t node, double rate);
  std::size_t size() const { return nodes_.size(); }
  bool up(std::size_t node) const { return nodes_[node].core != nullptr; }
  membership::Core& core(std::size_t node) { return *nodes_[node].core; }
  const membership::Core& core(std::size_t node) const { return *nodes_[node].core; }
  leases::LeaseProtocol& share(std::size_t node) { return *nodes_[node].share; }
  const leases::LeaseProtocol& share(std::size_t node) const { return *nodes_[node].share; }
  bool paused(std::size_t node) const { return nodes_[node].paused; }
  // What the node's host does after it has told its core something.
  void after(std::size_t node);
  membership::Address address(std::size_t node) const {
    return membership::numbered(static_cast<std::uint32_t>(node));
  }
  const Sent& sent(std::size_t node) const { return nodes_[node].sent; }
  Sent sent() const;
  // The last datagrams of all, for a test that plays them again; kept when it is asked for.
  bool record = false;
  std::vector<std::tuple<std::size_t, std::size_t, std::string>> recorded;

 private:
  struct Node {
    std::unique_ptr<membership::Core> core;
    std::unique_ptr<leases::LeaseProtocol> share;
    std::optional<fleet::RouterCount> count;
    Time told = 0;  // when the view was last told
    membership::Settings settings;
    std::uint64_t tick = 0;  // the number of the wake-up that counts
    // A clock that reads `set` at the true time `since`.
    Time set = 0, since = 0;
    double rate = 1;
    Time clock(Time at) const { return set + static_cast<Time>(static_cast<double>(at - since) * rate); }
    Time true_time(Time at) const {
      if (rate == 1) return since + (at - set);
      return since + static_cast<Time>(std::ceil(static_cast<double>(at - set) / rate)) + 1;
    }
    bool paused = false;
    std::deque<std::pair<std::size_t, std::string>> waiting;
    Sent sent;
  };
  struct Event {
    Time time = 0;
    std::uint64_t order = 0;
    std::size_t node = 0, from = 0;
    std::uint64_t tick = 0;     // of a wake-up
    std::string datagram = {};  // empty: a wake-up
    bool operator>(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };
  void play(Event& event);
  void deliver(std::size_t from, std::size_t to, const std::string& datagram);
  void tick(std::size_t node);
  double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  std::mt19937_64 random_;
  std::vector<Node> nodes_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
  Time now_ = 1'000 * membership::kSecond;
};

}  // namespace streampick::emulator
