// Simulates a fleet of lease protocols on virtual time with random faults, and computes a digest of
// everything that can be observed. Equal seeds give equal runs: the driver uses only its own random
// generator, and processes events in the order of their time and number.
#pragma once

#include <bit>
#include <cinttypes>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "shares/lease_protocol.h"
#include "shares/wire.h"

namespace streampick::leases::test {

// FNV-1a over 64-bit words. With `print`, also writes each value to standard output, so that the output of
// two versions can be compared line by line.
class Digest {
 public:
  explicit Digest(bool print) : print_(print) {}

  std::uint64_t value() const { return value_; }
  void line(const char* name) {
    if (print_) std::printf("\n%s", name);
  }
  void add(std::uint64_t word) {
    value_ = (value_ ^ word) * kPrime;
    value_ ^= value_ >> 29U;
    if (print_) std::printf(" %" PRIu64, word);
  }
  void add(double number) {
    value_ = (value_ ^ std::bit_cast<std::uint64_t>(number)) * kPrime;
    value_ ^= value_ >> 29U;
    if (print_) std::printf(" %.17g", number);
  }
  void add(const std::string& bytes) {
    add(std::uint64_t{bytes.size()});
    for (const char byte : bytes) value_ = (value_ ^ static_cast<unsigned char>(byte)) * kPrime;
    if (!print_) return;
    std::printf(" ");
    for (const char byte : bytes)
      std::printf("%02x", static_cast<unsigned>(static_cast<unsigned char>(byte)));
  }

 private:
  static constexpr std::uint64_t kPrime = 1099511628211U;
  std::uint64_t value_ = 14695981039346656037U;
  bool print_;
};

// 3 to 60 processes, two hard limits and two soft limits on one to three shards. Datagrams are lost, delayed,
// duplicated or cut off; processes are killed, restarted, suspended, resumed, or leave; views are wrong;
// clocks differ in speed and jump; totals change.
class DrawnWorld {
 public:
  explicit DrawnWorld(std::uint64_t seed, bool print = false) : random_(seed), digest_(print) {
    const std::uint64_t sizes[] = {3, 4, 5, 7, 9, 12};
    size_ = seed % 30 == 0 ? 60 : seed % 15 == 7 ? 25 : sizes[draw(6)];
    settings_.expected_routers = static_cast<std::uint32_t>(size_ - draw(2));
    settings_.shards = static_cast<std::uint32_t>(1 + draw(3));
    const std::size_t voters = size_ < 5 ? (draw(4) == 0 ? 1 : 3) : 5;
    for (std::size_t i = 0; i < voters; ++i) settings_.voters.push_back(address(i * size_ / voters));
    settings_.max_work_duration = static_cast<Time>(draw(5)) * kSecond / 2;
    settings_.max_items = 1 + draw(8);
    settings_.limits = random_limits();
    nodes_.resize(size_);
    for (Node& node : nodes_) node.rate = 1 + 0.05 * static_cast<double>(draw(3));
  }

  std::uint64_t run() {
    for (std::size_t node = 0; node < size_; ++node) start(node);
    run_for(8 * kSecond);
    for (int fault = 0; fault < kFaults; ++fault) {
      cause_fault();
      run_for(static_cast<Time>(draw(4 * kSecond)));
    }
    end_faults();
    run_for(12 * kSecond);
    for (std::size_t node = 0; node < size_; ++node) observe_final_state(node);
    return digest_.value();
  }

 private:
  static constexpr int kFaults = 10;
  static constexpr std::size_t kMaxQueued = 200;  // datagrams in the socket buffer of a suspended process
  static constexpr LimitId kFirstLimit = 6, kLimits = 4;

  struct Node {
    std::unique_ptr<LeaseProtocol> core;
    double rate = 1;
    Time clock_offset = 0;
    bool is_paused = false;
    std::uint64_t wake_up = 0;  // number of the latest wake-up; earlier ones are ignored
    Time last_view = 0;
    std::deque<std::pair<std::size_t, std::string>> queue;
  };
  struct Event {
    Time time = 0;
    std::uint64_t order = 0;
    std::size_t to = 0;
    std::size_t from = 0;
    std::uint64_t wake_up = 0;
    std::string datagram;  // empty: the event is a wake-up
    bool operator>(const Event& other) const {
      return time != other.time ? time > other.time : order > other.order;
    }
  };

  static Address address(std::size_t node) { return membership::numbered(static_cast<std::uint32_t>(node)); }
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  bool draw_percent(std::uint64_t percent) { return percent > 0 && draw(100) < percent; }
  Time clock(std::size_t node) const {
    return static_cast<Time>(static_cast<double>(now_) * nodes_[node].rate) + nodes_[node].clock_offset;
  }
  bool is_up(std::size_t node) const { return nodes_[node].core != nullptr; }

  std::vector<Limit> random_limits() {
    std::vector<Limit> limits;
    for (LimitId i = 0; i < kLimits; ++i) {
      const bool hard = i % 2 == 0;
      const auto total = static_cast<double>(1 + draw(hard ? 4 * size_ : 900));
      limits.push_back({.name = "limit" + std::to_string(i),
                        .id = kFirstLimit + i,
                        .kind = hard ? LimitKind::hard : LimitKind::soft,
                        .total = total});
    }
    return limits;
  }

  void start(std::size_t node) {
    Settings node_settings = settings_;
    node_settings.self = address(node);
    node_settings.weight = 1 + static_cast<double>(draw(4)) / 2;
    const Incarnation incarnation = random_() | 1U;
    const std::uint64_t seed = random_();
    Node& started = nodes_[node];
    started.core = std::make_unique<LeaseProtocol>(node_settings, incarnation, seed, clock(node));
    started.is_paused = false;
    started.last_view = 0;
    started.queue.clear();
    if (draw(4) != 0) started.core->start(clock(node));
    set_random_demand(node);
    after_event(node);
    started.core->start(clock(node));
    after_event(node);
  }
  void kill(std::size_t node) {
    nodes_[node].core.reset();
    ++nodes_[node].wake_up;
  }
  void leave(std::size_t node, bool process_ends) {
    nodes_[node].core->leave(clock(node), process_ends);
    after_event(node);
    nodes_[node].core->leave(clock(node), true);
    after_event(node);
    kill(node);
  }
  void set_random_demand(std::size_t node) {
    for (LimitId i = 0; i < kLimits; ++i) {
      const auto max_demand = static_cast<std::uint64_t>(settings_.limits[i].total) + 2;
      const auto demand = static_cast<double>(draw(3) == 0 ? 0 : draw(max_demand));
      const auto in_use = static_cast<double>(draw(1 + static_cast<std::uint64_t>(demand)));
      nodes_[node].core->set_demand(clock(node), kFirstLimit + i, demand, in_use);
    }
  }
  void update_view(std::size_t node) {
    std::vector<Address> living;
    std::uint32_t count = 0;
    for (std::size_t other = 0; other < size_; ++other) {
      const bool wrong = draw_percent(wrong_views_);
      if (is_up(other) == wrong) continue;
      ++count;
      if (other != node) living.push_back(address(other));
    }
    nodes_[node].core->set_view(clock(node), std::move(living), count + static_cast<std::uint32_t>(draw(2)));
  }

  void cause_fault() {
    const std::size_t node = draw(size_);
    const std::size_t other = draw(size_);
    switch (draw(13)) {
      case 0: loss_ = 30; break;
      case 1: duplication_ = 20; break;
      case 2: max_delay_ = 3 * kSecond; break;
      case 3:
        loss_ = duplication_ = wrong_views_ = 0;
        max_delay_ = kDefaultMaxDelay;
        cut_low_ = cut_high_ = 0;
        break;
      case 4:
        if (is_up(node)) kill(node);
        break;
      case 5:
        for (std::size_t i = 0; i < size_; ++i)
          if (!is_up(i) || draw(size_) == 0) start(i);
        break;
      case 6:
        if (is_up(node)) nodes_[node].is_paused = true;
        break;
      case 7:
        for (std::size_t i = 0; i < size_; ++i) resume(i);
        break;
      case 8:
        cut_low_ = std::min(node, other);
        cut_high_ = std::max(node, other);
        one_way_ = draw(2) == 0;
        break;
      case 9: wrong_views_ = 10; break;
      case 10:
        nodes_[node].clock_offset += static_cast<Time>(draw(10)) * kSecond;
        if (is_up(node)) after_event(node);
        break;
      case 11: {
        settings_.limits = random_limits();
        for (std::size_t i = 0; i < size_; ++i) {
          if (!is_up(i) || draw(8) == 0) continue;
          nodes_[i].core->set_limits(clock(i), settings_.limits);
          after_event(i);
        }
        break;
      }
      default:
        if (is_up(node) && !nodes_[node].is_paused) leave(node, draw(2) == 0);
    }
  }
  void end_faults() {
    loss_ = duplication_ = wrong_views_ = 0;
    max_delay_ = kDefaultMaxDelay;
    cut_low_ = cut_high_ = 0;
    for (std::size_t i = 0; i < size_; ++i) {
      if (!is_up(i)) start(i);
      resume(i);
    }
  }
  void resume(std::size_t node) {
    if (!is_up(node) || !nodes_[node].is_paused) return;
    nodes_[node].is_paused = false;
    tick(node);
    for (const auto& [from, datagram] : std::exchange(nodes_[node].queue, {})) receive(from, node, datagram);
  }

  bool is_cut(std::size_t from, std::size_t to) const {
    const bool from_inside = from >= cut_low_ && from < cut_high_;
    const bool to_inside = to >= cut_low_ && to < cut_high_;
    return one_way_ ? from_inside && !to_inside : from_inside != to_inside;
  }
  void transmit(std::size_t from, std::size_t to, const std::string& datagram) {
    if (to >= size_ || is_cut(from, to)) return;
    const int copies = draw_percent(duplication_) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (draw_percent(loss_)) continue;
      const Time delay = kMinDelay + static_cast<Time>(draw(static_cast<std::uint64_t>(max_delay_)));
      events_.push({now_ + delay, ++last_order_, to, from, 0, datagram});
    }
  }
  // Adds the process's output to the digest, transmits its messages and schedules its next wake-up.
  void after_event(std::size_t node) {
    LeaseProtocol& core = *nodes_[node].core;
    for (const OutgoingMessage& send : core.take_messages()) {
      const std::string datagram = encode(send.message);
      digest_.line("send");
      digest_.add(std::uint64_t{node});
      digest_.add(std::uint64_t{send.to});
      digest_.add(datagram);
      transmit(node, send.to - 1, datagram);
    }
    if (core.take_changed()) observe_allowances(node);
    const Time next = core.next_wakeup();
    digest_.line("next");
    digest_.add(static_cast<std::uint64_t>(next));
    if (next == kNever) return;
    const Node& state = nodes_[node];
    const auto due = static_cast<Time>(static_cast<double>(next - state.clock_offset) / state.rate) + 1;
    events_.push({std::max(now_, due), ++last_order_, node, 0, ++nodes_[node].wake_up, {}});
  }
  void observe_allowances(std::size_t node) {
    digest_.line("parts");
    digest_.add(static_cast<std::uint64_t>(now_));
    digest_.add(std::uint64_t{node});
    for (LimitId id = kFirstLimit; id < kFirstLimit + kLimits; ++id) {
      const Allowance allowance = nodes_[node].core->allowance(id);
      digest_.add(static_cast<std::uint64_t>(allowance.kind));
      digest_.add(allowance.guaranteed);
      digest_.add(allowance.leased);
      digest_.add(static_cast<std::uint64_t>(allowance.lease_end));
      digest_.add(allowance.usable(clock(node)));
    }
  }
  void observe_final_state(std::size_t node) {
    observe_allowances(node);
    const LeaseProtocol& core = *nodes_[node].core;
    const Counters& counters = core.counters();
    digest_.line("figures");
    for (const std::uint64_t counter : {counters.claims_sent, counters.grants_sent, counters.leases_applied,
                                        counters.stale_grants, counters.elections_won, counters.terms_lost,
                                        counters.votes_rejected, counters.unknown_ids, counters.suspensions})
      digest_.add(counter);
    digest_.add(std::uint64_t{core.routers()});
    for (std::uint32_t shard = 0; shard < settings_.shards; ++shard) {
      digest_.line("seat");
      digest_.add(std::uint64_t{core.is_granter(shard, clock(node))});
      digest_.add(std::uint64_t{core.is_granting(shard, clock(node))});
      digest_.add(std::uint64_t{core.known_granter(shard)});
      digest_.add(core.epoch(shard).number);
      digest_.add(core.epoch(shard).incarnation);
    }
    for (LimitId id = kFirstLimit; id < kFirstLimit + kLimits; ++id) {
      digest_.line("ledger");
      digest_.add(core.demand(id));
      const LeaseTable* table = core.lease_table(id);
      if (table == nullptr) continue;
      digest_.add(table->outstanding(clock(node)));
      digest_.add(table->total_demand());
      digest_.add(std::uint64_t{table->holder_count()});
    }
  }

  void tick(std::size_t node) {
    Node& state = nodes_[node];
    const Time time = clock(node);
    if (time - state.last_view >= settings_.period) {
      state.last_view = time;
      update_view(node);
      if (draw(4) == 0) set_random_demand(node);
    }
    state.core->tick(time);
    after_event(node);
  }
  void receive(std::size_t from, std::size_t to, const std::string& datagram) {
    const auto message = decode(datagram);
    if (!message) return;
    nodes_[to].core->receive(clock(to), address(from), *message);
    after_event(to);
  }
  void process_event(const Event& event) {
    Node& node = nodes_[event.to];
    if (!node.core) return;
    if (event.datagram.empty()) {
      if (event.wake_up == node.wake_up && !node.is_paused) tick(event.to);
    } else if (!node.is_paused) {
      receive(event.from, event.to, event.datagram);
    } else if (node.queue.size() < kMaxQueued) {
      node.queue.emplace_back(event.from, event.datagram);
    }
  }
  void run_for(Time time) {
    const Time end = now_ + time;
    while (!events_.empty() && events_.top().time <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time;
      process_event(event);
    }
    now_ = end;
  }

  static constexpr Time kMinDelay = 500;           // us
  static constexpr Time kDefaultMaxDelay = 1'500;  // us
  std::mt19937_64 random_;
  Digest digest_;
  std::size_t size_ = 0;
  Settings settings_;
  std::vector<Node> nodes_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t last_order_ = 0;
  Time now_ = 1'000 * kSecond;
  std::uint64_t loss_ = 0, duplication_ = 0, wrong_views_ = 0;  // in percent
  Time max_delay_ = kDefaultMaxDelay;
  std::size_t cut_low_ = 0, cut_high_ = 0;
  bool one_way_ = false;
};

}  // namespace streampick::leases::test
