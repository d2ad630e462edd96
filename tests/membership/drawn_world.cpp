#include "drawn_world.h"

#include <bit>
#include <cstddef>
#include <random>
#include <string_view>

#include "emulator/simulated_network.h"
#include "membership/wire.h"

namespace streampick::membership {
namespace {

using emulator::SimulatedNetwork;

// FNV-1a hash. Numbers are hashed as eight bytes, least significant first.
class Digest {
 public:
  void add(std::string_view bytes) {
    add(std::uint64_t{bytes.size()});
    for (const char byte : bytes) {
      add_byte(static_cast<std::uint8_t>(byte));
    }
  }
  void add(std::uint64_t number) {
    for (unsigned shift = 0; shift < 64; shift += 8) {
      add_byte(static_cast<std::uint8_t>(number >> shift));
    }
  }
  std::uint64_t value() const { return value_; }

 private:
  void add_byte(std::uint8_t byte) {
    constexpr std::uint64_t kPrime = 1'099'511'628'211U;
    value_ = (value_ ^ byte) * kPrime;
  }
  std::uint64_t value_ = 14'695'981'039'346'656'037U;
};

class RandomScenario {
 public:
  explicit RandomScenario(std::uint64_t seed) : random_(seed), network_(seed) {
    size_ = random_size();
    Settings& settings = network_.settings;
    settings.max_datagram_size = draw(2) == 0 ? 256 : 1'200;
    settings.indirect_probers = draw(5);
    if (draw(2) == 0) {
      settings.lifetimes.unreachable = 20 * kSecond;
    }
    network_.record = true;
    network_.on_change = [this](std::size_t node, const Change& change) { add_change(node, change); };
    network_.add_many(size_);
    for (std::size_t node = 0; node < size_; ++node) {
      network_.start(node);
    }
  }

  ScenarioResult run() {
    const int steps = size_ > 20 ? 6 : 12;
    for (int step = 0; step < steps; ++step) {
      inject_fault();
      run_tenths(draw(size_ > 20 ? 20 : 60));
    }
    heal();
    run_tenths(40);
    return {digest_.value(), summary()};
  }

 private:
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }
  std::size_t random_node() { return draw(size_); }

  // Prefers small fleets: they take less time and exercise as many rules.
  std::size_t random_size() {
    const std::uint64_t kind = draw(20);
    if (kind == 0) {
      return 21 + draw(40);
    }
    return kind < 6 ? 9 + draw(12) : 3 + draw(6);
  }

  void run_tenths(std::uint64_t tenths) {
    for (; tenths > 0; --tenths) {
      network_.run_for(kSecond / 10);
      add_datagrams();
      if (tenths % 10 == 0) {
        add_states();
      }
    }
    add_states();
  }

  void inject_fault() {
    const std::size_t node = random_node();
    switch (draw(16)) {
      case 0:
        if (network_.is_up(node)) {
          network_.kill(node);
        }
        break;
      case 1: network_.start(node); break;
      case 2:
        if (network_.is_up(node)) {
          network_.leave(node);
        }
        break;
      case 3: network_.pause(node); break;
      case 4: network_.resume(node); break;
      case 5: partition(); break;
      case 6: network_.is_cut = [node](std::size_t, std::size_t to) { return to == node; }; break;
      case 7: network_.is_cut = [](std::size_t, std::size_t) { return false; }; break;
      case 8:
      case 9: degrade_link(); break;
      case 10: step_clock(node); break;
      case 11: set_facts(node); break;
      case 12: replay_datagrams(); break;
      case 13: inject_false_record(node); break;
      case 14: send_payload(node); break;
      case 15: set_contacts(node); break;
    }
  }

  void partition() {
    const std::uint64_t groups = draw(~std::uint64_t{0});
    network_.is_cut = [groups](std::size_t from, std::size_t to) {
      return ((groups >> (from % 64)) & 1U) != ((groups >> (to % 64)) & 1U);
    };
  }

  void degrade_link() {
    network_.link = {};
    network_.link.loss = 0.01 * static_cast<double>(draw(60));
    network_.link.duplication = 0.2;
    network_.link.corruption = 0.05;
    network_.link.max_delay = draw(2) == 0 ? 2'000 : 3 * kSecond;
  }

  void step_clock(std::size_t node) {
    const Time step = draw(4) == 0 ? 3'600 * kSecond : static_cast<Time>(draw(30)) * kSecond;
    network_.step_clock(node, step);
  }

  void set_facts(std::size_t node) {
    const std::uint64_t version = draw(100);
    if (network_.is_up(node)) {
      network_.gossip(node).set_facts(network_.now(node), {{kDraining, 1}, {kVersion, version}});
      network_.flush(node);
    }
  }

  void set_contacts(std::size_t node) {
    const std::size_t contact = random_node();
    if (network_.is_up(node)) {
      network_.gossip(node).set_contacts({network_.address(contact)});
    }
  }

  void send_payload(std::size_t node) {
    const std::size_t to = random_node();
    const std::size_t length = draw(300);
    if (network_.is_up(node)) {
      network_.gossip(node).send_payload(7, network_.now(node), network_.address(to),
                                         std::string(length, 'p'));
      network_.flush(node);
    }
  }

  // Sends some of the last datagrams again, as the network or an attacker might.
  void replay_datagrams() {
    const std::size_t count = std::min<std::size_t>(20, replayable_.size());
    for (std::size_t i = 0; i < count; ++i) {
      const auto& [from, to, datagram] = replayable_[draw(replayable_.size())];
      network_.inject(from, to, datagram, static_cast<Time>(i) * 1'000);
    }
  }

  // Sends a well-formed message whose records are false.
  void inject_false_record(std::size_t sender) {
    const std::size_t subject = random_node();
    const std::size_t receiver = random_node();
    const std::uint64_t state = draw(4);
    const std::uint64_t incarnation = draw(8) == 0 ? kMaxIncarnation : draw(3);
    const std::uint64_t kind = draw(8);
    const std::uint64_t depth = draw(17);
    const std::uint64_t number = draw(1'000);
    if (!network_.is_up(sender) || !network_.is_up(subject)) {
      return;
    }
    Message message;
    message.sender = network_.gossip(sender).self();
    message.body = random_body(static_cast<MessageKind>(kind), subject, static_cast<std::uint32_t>(number),
                               static_cast<std::uint32_t>(depth));
    if (message.kind() != MessageKind::payload) {
      message.updates.push_back(network_.gossip(subject).self());
      message.updates.back().state = static_cast<State>(state);
      message.updates.back().incarnation = incarnation;
    }
    network_.inject(sender, receiver, encode(message, ""), 1);
  }

  MessageBody random_body(MessageKind kind, std::size_t subject, std::uint32_t number, std::uint32_t depth) {
    switch (kind) {
      case MessageKind::ping: return Ping{.sequence = number};
      case MessageKind::ack: return Ack{.sequence = number};
      case MessageKind::ping_request:
        return PingRequest{.sequence = number,
                           .target = network_.address(subject),
                           .target_instance = network_.gossip(subject).self().instance};
      case MessageKind::nack: return Nack{.sequence = number};
      case MessageKind::compare_digests: {
        CompareDigests digests{.depth = depth};
        digests.parts.fill(number);
        return digests;
      }
      case MessageKind::sync_range: return SyncRange{.depth = depth};
      case MessageKind::gossip: return Gossip{};
      case MessageKind::payload: return Payload{.protocol = 7, .bytes = "payload"};
    }
    return Gossip{};
  }

  void heal() {
    network_.is_cut = [](std::size_t, std::size_t) { return false; };
    network_.link = {};
    for (std::size_t node = 0; node < size_; ++node) {
      network_.resume(node);
      if (!network_.is_up(node)) {
        network_.start(node);
      }
    }
  }

  void add_datagrams() {
    for (const auto& [from, to, datagram] : network_.recorded) {
      digest_.add(std::uint64_t{from});
      digest_.add(std::uint64_t{to});
      digest_.add(datagram);
    }
    if (!network_.recorded.empty()) {
      replayable_ = std::move(network_.recorded);
    }
    network_.recorded.clear();
  }

  void add_change(std::size_t node, const Change& change) {
    ++changes_;
    digest_.add(static_cast<std::uint64_t>(network_.now()));
    digest_.add(std::uint64_t{node});
    digest_.add(static_cast<std::uint64_t>(change.kind));
    digest_.add(std::string_view(change.name));
    digest_.add(std::uint64_t{change.instance});
    digest_.add(std::uint64_t{change.address});
  }

  void add_states() {
    for (std::size_t node = 0; node < size_; ++node) {
      digest_.add(std::uint64_t{network_.is_up(node)});
      if (network_.is_up(node)) {
        add_state(node);
      }
    }
  }

  void add_state(std::size_t node) {
    const auto& protocol = network_.gossip(node);
    const auto view = protocol.summary(network_.now(node));
    const auto& counters = protocol.counters();
    const std::uint64_t numbers[] = {
        view.alive,
        view.suspect,
        view.unreachable,
        view.left,
        view.min_live,
        view.max_live,
        std::bit_cast<std::uint64_t>(view.visible_share),
        static_cast<std::uint64_t>(view.unchanged_since),
        std::uint64_t{view.is_settled},
        view.digest,
        view.record_count,
        counters.pings,
        counters.failed_probes,
        counters.ping_requests,
        counters.anti_entropy_rounds,
        counters.refutations,
        counters.declared_unreachable,
        counters.unexpected_acks,
        counters.table_full,
        counters.address_mismatches,
        protocol.dropped_changes(),
        static_cast<std::uint64_t>(protocol.next_wakeup()),
        static_cast<std::uint64_t>(protocol.local_health()),
        static_cast<std::uint64_t>(protocol.settle_periods()),
        protocol.max_payload_size(),
        std::uint64_t{protocol.must_restart(network_.now(node))},
    };
    for (const std::uint64_t number : numbers) {
      digest_.add(number);
    }
  }

  std::string summary() {
    const SimulatedNetwork::Traffic sent = network_.traffic();
    std::string text = std::to_string(size_) + " processes, " + std::to_string(changes_) + " changes, " +
                       std::to_string(sent.bytes) + " bytes;";
    for (std::size_t kind = 0; kind < kMessageKinds; ++kind) {
      text += std::string(" ") + kMessageKindNames[kind] + "=" + std::to_string(sent.datagrams[kind]);
    }
    for (std::size_t node = 0; node < size_; ++node) {
      const auto view = network_.gossip(node).summary(network_.now(node));
      text += "\n  node " + std::to_string(node) + ": alive=" + std::to_string(view.alive) +
              " suspect=" + std::to_string(view.suspect) +
              " unreachable=" + std::to_string(view.unreachable) + " left=" + std::to_string(view.left) +
              " probes=" + std::to_string(network_.gossip(node).counters().pings);
    }
    return text;
  }

  std::mt19937_64 random_;
  SimulatedNetwork network_;
  std::size_t size_ = 0;
  Digest digest_;
  std::uint64_t changes_ = 0;
  // The datagrams of the last tenth of a second in which any were sent.
  std::vector<std::tuple<std::size_t, std::size_t, std::string>> replayable_;
};

}  // namespace

ScenarioResult run_random_scenario(std::uint64_t seed) { return RandomScenario(seed).run(); }

}  // namespace streampick::membership
