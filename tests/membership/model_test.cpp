// Model checking: a search over all orders of events in a fleet of three routers. A datagram arrives, is lost
// or is duplicated; the time of a router advances; a router changes its facts, leaves, is killed, or a new
// process starts in its place. After each step the invariants are checked on the real protocol. From one in
// 20 states all faults end, and the views must settle.
//
// The test is also built with each mutant of the protocol (mutants.h); the search must then find a violation.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "membership/bounds.h"
#include "membership/gossip_protocol.h"
#include "model_search.h"
#include "mutants.h"

namespace streampick::membership {
namespace {

using test::kMutant;
using test::Mutant;

constexpr std::size_t kRouters = 3;
constexpr std::size_t kMaxInTransit = 3;
constexpr int kDepth = kMutant == Mutant::none ? 7 : 9;
constexpr std::uint64_t kFirstSeed = 90;

class ModelState {
 public:
  ModelState() {
    for (std::size_t router = 0; router < kRouters; ++router) {
      protocols_.emplace_back(settings(router), kFirstSeed + router, clocks_[router],
                              test::rules_under_test());
      after_step(router);
    }
  }

  // Steps

  void tick(std::size_t router, bool lossless = false) {
    clocks_[router] = std::max(clocks_[router], protocols_[router].next_wakeup());
    protocols_[router].tick(clocks_[router]);
    after_step(router, lossless);
  }
  void deliver(std::size_t position, bool keep, bool lossless = false) {
    const Datagram datagram = network_[position];
    if (!keep) {
      lose(position);
    }
    if (!up_[datagram.to]) {
      return;
    }
    protocols_[datagram.to].receive(clocks_[datagram.to], address(datagram.from), datagram.message);
    after_step(datagram.to, lossless);
  }
  void deliver_twice(std::size_t position) {
    --duplications_;
    deliver(position, true);
  }
  void lose(std::size_t position) {
    network_.erase(network_.begin() + static_cast<std::ptrdiff_t>(position));
  }
  void start(std::size_t router) {
    --starts_;
    const std::uint64_t seed = kFirstSeed + router + 7 * ended_.size();
    protocols_[router] = GossipProtocol(settings(router), seed, clocks_[router], test::rules_under_test());
    previous_[router].clear();
    up_[router] = true;
    after_step(router);
  }
  void kill(std::size_t router) {
    --kills_;
    end(router);
  }
  // The messages that announce the departure are in transit.
  void leave(std::size_t router) {
    --leaves_;
    protocols_[router].leave(clocks_[router]);
    transmit(router);
    drop_excess();
    end(router);
  }
  void set_facts(std::size_t router) {
    --fact_changes_;
    protocols_[router].set_facts(clocks_[router], {{kDraining, 1}});
    after_step(router);
  }

  // Possible next steps

  bool is_up(std::size_t router) const { return up_[router]; }
  bool may_kill(std::size_t router) const { return up_[router] && kills_ > 0; }
  bool may_start(std::size_t router) const { return !up_[router] && starts_ > 0; }
  bool may_leave(std::size_t router) const { return up_[router] && leaves_ > 0; }
  bool may_set_facts(std::size_t router) const { return up_[router] && fact_changes_ > 0; }
  bool may_duplicate() const { return duplications_ > 0; }
  std::size_t in_transit() const { return network_.size(); }

  // Runs without faults: datagrams arrive at once, and the router with the earliest wake-up runs next.
  bool settles(double periods) {
    for (int round = 0; round < 10 * static_cast<int>(periods) && broken.empty(); ++round) {
      while (!network_.empty() && broken.empty()) {
        deliver(0, false, true);
      }
      if (is_settled()) {
        return true;
      }
      const std::size_t next = next_router();
      if (next == kRouters) {
        return true;
      }
      const Time elapsed = std::max<Time>(0, time_to_wakeup(next));
      for (Time& clock : clocks_) {
        clock += elapsed;
      }
      tick(next, true);
    }
    return is_settled();
  }

  std::uint64_t fingerprint() const {
    std::uint64_t hash = 14695981039346656037U;
    const auto add = [&](std::uint64_t value) { hash = (hash ^ value) * 1099511628211U + (hash >> 29U); };
    for (std::size_t router = 0; router < kRouters; ++router) {
      add(up_[router]);
      if (!up_[router]) {
        continue;
      }
      const GossipProtocol& protocol = protocols_[router];
      add(protocol.self().instance + protocol.self().incarnation);
      add(static_cast<std::uint64_t>(time_to_wakeup(router)));
      add(static_cast<std::uint64_t>(protocol.local_health()));
      for (const auto& [instance, member] : protocol.table().members()) {
        add(fingerprint(member.record));
      }
    }
    for (const Datagram& datagram : network_) {
      add(datagram.from * 8 + datagram.to * 64 + datagram.message.body.index());
      add(datagram.message.sender.incarnation);
      for (const Record& update : datagram.message.updates) {
        add(fingerprint(update));
      }
    }
    add(static_cast<std::uint64_t>(kills_ * 16 + starts_ * 8 + duplications_ * 4 + leaves_ * 2 +
                                   fact_changes_));
    return hash;
  }

  std::string broken;  // the first violated invariant; ModelSearch reads it

 private:
  struct Datagram {
    std::size_t from;
    std::size_t to;
    Message message;
  };

  static Address address(std::size_t router) { return numbered(static_cast<std::uint32_t>(router)); }
  static Settings settings(std::size_t router) {
    Settings settings;
    settings.name = "n" + std::to_string(router);
    settings.address = address(router);
    for (std::size_t contact = 0; contact < kRouters; ++contact) {
      settings.contacts.push_back(address(contact));
    }
    settings.indirect_probers = 1;
    // Short suspicions, so that a member can be declared unreachable within a few steps.
    settings.suspicion = {.min_factor = 1, .max_multiple = 1, .confirmations = 1};
    test::apply_mutant(settings);
    return settings;
  }
  static std::uint64_t fingerprint(const Record& record) {
    return record.instance + record.incarnation * 4 + static_cast<std::uint64_t>(record.state);
  }

  bool is_running(InstanceId instance) const {
    for (std::size_t router = 0; router < kRouters; ++router) {
      if (up_[router] && protocols_[router].self().instance == instance) {
        return true;
      }
    }
    return false;
  }
  Time time_to_wakeup(std::size_t router) const { return protocols_[router].next_wakeup() - clocks_[router]; }
  std::size_t next_router() const {
    std::size_t next = kRouters;
    for (std::size_t router = 0; router < kRouters; ++router) {
      if (up_[router] && (next == kRouters || time_to_wakeup(router) < time_to_wakeup(next))) {
        next = router;
      }
    }
    return next;
  }
  void end(std::size_t router) {
    up_[router] = false;
    ended_.insert(protocols_[router].self().instance);
    std::erase_if(network_, [&](const Datagram& datagram) { return datagram.to == router; });
  }
  void transmit(std::size_t router) {
    for (OutgoingMessage& outgoing : protocols_[router].take_outgoing()) {
      const std::size_t to = outgoing.to - 1;
      if (up_[to]) {
        network_.push_back({.from = router, .to = to, .message = std::move(outgoing.message)});
      }
    }
  }
  // Drops the oldest datagrams.
  void drop_excess() {
    while (network_.size() > kMaxInTransit) {
      lose(0);
    }
  }
  void after_step(std::size_t router, bool lossless = false) {
    transmit(router);
    if (!lossless) {
      drop_excess();
    }
    check(router);
  }

  void check(std::size_t router) {
    for (const auto& [instance, member] : protocols_[router].table().members()) {
      const Record& current = member.record;
      const auto previous = previous_[router].find(instance);
      if (previous != previous_[router].end()) {
        check_transition(router, previous->second, current);
      }
      if (current.state == State::left && is_running(instance)) {
        violate("a running process has the state left", router, instance);
      }
      check_incarnation(router, current);
      previous_[router][instance] = current;
    }
  }
  void check_transition(std::size_t router, const Record& previous, const Record& current) {
    const InstanceId instance = current.instance;
    if (previous.state == State::left && current.state != State::left) {
      violate("a process that left is in another state again", router, instance);
    }
    if (current.state != State::left && current.incarnation < previous.incarnation) {
      violate("an incarnation decreased", router, instance);
    }
    if (current.incarnation == previous.incarnation && current.state < previous.state) {
      violate("a refuted claim was accepted again", router, instance);
    }
    if (previous.state == State::alive && current.state == State::unreachable) {
      violate("an alive member was declared unreachable without a suspicion", router, instance);
    }
  }
  void check_incarnation(std::size_t router, const Record& current) {
    for (std::size_t owner = 0; owner < kRouters; ++owner) {
      const Record& self = protocols_[owner].self();
      if (up_[owner] && self.instance == current.instance && current.incarnation > self.incarnation) {
        violate("an incarnation is higher than its owner's", router, current.instance);
      }
    }
  }
  void violate(const char* invariant, std::size_t router, InstanceId instance) {
    if (broken.empty()) {
      broken = std::string(invariant) + " (router " + std::to_string(router) + ", instance " +
               std::to_string(instance) + ")";
    }
  }

  bool is_settled() const {
    std::set<InstanceId> running;
    for (std::size_t router = 0; router < kRouters; ++router) {
      if (up_[router]) {
        running.insert(protocols_[router].self().instance);
      }
    }
    std::set<std::uint64_t> digests;
    for (std::size_t router = 0; router < kRouters; ++router) {
      if (!up_[router]) {
        continue;
      }
      if (!view_is_exact(router, running)) {
        return false;
      }
      const GossipProtocol& protocol = protocols_[router];
      digests.insert(protocol.table().digest(protocol.self(), clocks_[router]).value);
    }
    return digests.size() <= 1;
  }
  bool view_is_exact(std::size_t router, const std::set<InstanceId>& running) const {
    std::size_t alive = 1;
    for (const auto& [instance, member] : protocols_[router].table().members()) {
      if (member.record.state == State::alive && running.contains(instance)) {
        ++alive;
      }
      if (member.record.state <= State::suspect && !running.contains(instance)) {
        return false;
      }
    }
    return alive == running.size();
  }

  std::vector<GossipProtocol> protocols_;
  std::vector<bool> up_ = std::vector<bool>(kRouters, true);
  std::vector<Time> clocks_ = std::vector<Time>(kRouters, 1'000 * kSecond);
  std::vector<Datagram> network_;
  std::set<InstanceId> ended_;
  // By router: the records in its table after its last step.
  std::vector<std::map<InstanceId, Record>> previous_ = std::vector<std::map<InstanceId, Record>>(kRouters);
  // Remaining number of events of each kind.
  int kills_ = 1;
  int starts_ = 1;
  int duplications_ = 1;
  int leaves_ = 1;
  int fact_changes_ = 1;
};

using Search = ::streampick::test::ModelSearch<ModelState>;

void next_steps(const ModelState& model, const Search::Take& take) {
  for (std::size_t router = 0; router < kRouters; ++router) {
    if (model.is_up(router)) {
      take([=](ModelState& next) { next.tick(router); });
    }
    if (model.may_kill(router)) {
      take([=](ModelState& next) { next.kill(router); });
    }
    if (model.may_start(router)) {
      take([=](ModelState& next) { next.start(router); });
    }
  }
  for (std::size_t router = 0; router < kRouters; ++router) {
    if (model.may_leave(router)) {
      take([=](ModelState& next) { next.leave(router); });
    }
    if (model.may_set_facts(router)) {
      take([=](ModelState& next) { next.set_facts(router); });
    }
  }
  for (std::size_t position = 0; position < model.in_transit(); ++position) {
    take([=](ModelState& next) { next.deliver(position, false); });
    take([=](ModelState& next) { next.lose(position); });
    if (model.may_duplicate()) {
      take([=](ModelState& next) { next.deliver_twice(position); });
    }
  }
}

TEST(MembershipModel, EveryOrderOfEvents_KeepsTheInvariantsAndSettles) {
  Search search;
  search.steps = next_steps;
  search.faults_end = [](ModelState model) {
    if (!model.settles(2 * settle_periods(kRouters, 1'200))) {
      return std::string("the views did not settle");
    }
    return model.broken;
  };
  ModelState settled;
  ASSERT_TRUE(settled.settles(100));
  search.run(settled, kDepth);
  std::printf("%zu states within %d steps; faults ended from %zu of them\n", search.states, kDepth,
              search.ended);
  if (kMutant == Mutant::none) {
    EXPECT_EQ(search.broken, "");
    EXPECT_GE(search.states, 1'000U);
  } else {
    EXPECT_NE(search.broken, "") << "the search did not detect the mutant";
    std::printf("detected: %s\n", search.broken.c_str());
  }
}

}  // namespace
}  // namespace streampick::membership
