#include "emulator/simulated_network.h"

#include <algorithm>
#include <cmath>

#include "membership/wire.h"
#include "shares/fleet_view.h"
#include "shares/wire.h"

namespace streampick::emulator {

using membership::GossipProtocol;
using membership::InstanceId;
using membership::kMessageKinds;
using membership::kNever;
using membership::Message;
using membership::OutgoingMessage;
using membership::State;

namespace {

// Approximate capacity of a socket's buffer for small datagrams.
constexpr std::size_t kSocketBufferDatagrams = 200;
constexpr int kCountHoldPeriods = 10;

}  // namespace

Time SimulatedClock::at(Time true_time) const {
  return reading_ + static_cast<Time>(static_cast<double>(true_time - set_at_) * rate_);
}

Time SimulatedClock::true_time(Time reading) const {
  if (rate_ == 1) {
    return set_at_ + (reading - reading_);
  }
  return set_at_ + static_cast<Time>(std::ceil(static_cast<double>(reading - reading_) / rate_)) + 1;
}

void SimulatedClock::set_rate(Time true_now, double rate) {
  reading_ = at(true_now);
  set_at_ = true_now;
  rate_ = rate;
}

std::uint64_t SimulatedNetwork::Traffic::all() const {
  std::uint64_t sum = 0;
  for (const std::uint64_t count : datagrams) {
    sum += count;
  }
  return sum;
}

// ---- Nodes

std::size_t SimulatedNetwork::add(const std::vector<std::size_t>& contacts, const std::string& name) {
  const std::size_t number = nodes_.size();
  membership::Settings own = settings;
  own.name = name.empty() ? "n" + std::to_string(number) : name;
  own.address = address(number);
  for (const std::size_t contact : contacts) {
    own.contacts.push_back(address(contact));
  }
  nodes_.emplace_back(std::move(own), now_);
  return number;
}

void SimulatedNetwork::add_many(std::size_t count) {
  std::vector<std::size_t> all(nodes_.size() + count);
  for (std::size_t i = 0; i < all.size(); ++i) {
    all[i] = i;
  }
  for (std::size_t i = 0; i < count; ++i) {
    add(all);
  }
}

void SimulatedNetwork::start(std::size_t number) {
  Node& node = nodes_[number];
  node.gossip = std::make_unique<GossipProtocol>(node.settings, random_(), now(number), *rules);
  node.is_paused = false;
  node.socket_buffer.clear();
  node.share.reset();
  start_shares(number);
  flush(number);
}

void SimulatedNetwork::start_shares(std::size_t number) {
  std::optional<leases::Settings> own = shares(number);
  if (!own) {
    return;
  }
  Node& node = nodes_[number];
  own->self = address(number);
  own->max_items = leases::max_items_in(node.gossip->max_payload_size());
  node.router_count.emplace(own->expected_routers, own->period * kCountHoldPeriods);
  node.view_reported_at = 0;
  node.share = std::make_unique<leases::LeaseProtocol>(*own, random_() | 1U, random_(), now(number));
  node.share->start(now(number));
}

void SimulatedNetwork::kill(std::size_t node) {
  nodes_[node].gossip.reset();
  nodes_[node].share.reset();
  ++nodes_[node].wakeup;
}

void SimulatedNetwork::leave(std::size_t node) {
  if (nodes_[node].share) {
    nodes_[node].share->leave(now(node), true);
  }
  flush(node);
  nodes_[node].gossip->leave(now(node));
  flush(node);
  kill(node);
}

void SimulatedNetwork::pause(std::size_t node) { nodes_[node].is_paused = true; }

void SimulatedNetwork::resume(std::size_t number) {
  Node& node = nodes_[number];
  node.is_paused = false;
  if (!node.gossip) {
    return;
  }
  if (node.gossip->must_restart(now(number))) {
    node.socket_buffer.clear();
  }
  // A resumed event loop runs its timers before it reads its sockets.
  wake(number);
  for (const auto& [from, datagram] : std::exchange(node.socket_buffer, {})) {
    receive(from, number, datagram);
  }
}

void SimulatedNetwork::step_clock(std::size_t node, Time by) {
  nodes_[node].clock.step(by);
  if (is_up(node)) {
    flush(node);
  }
}

void SimulatedNetwork::set_rate(std::size_t node, double rate) {
  nodes_[node].clock.set_rate(now_, rate);
  if (is_up(node)) {
    flush(node);
  }
}

void SimulatedNetwork::inject(std::size_t from, std::size_t to, std::string datagram, Time after) {
  events_.push({.time = now_ + after,
                .order = ++event_count_,
                .node = to,
                .from = from,
                .datagram = std::move(datagram)});
}

// ---- Events

void SimulatedNetwork::handle(Event& event) {
  Node& node = nodes_[event.node];
  if (!node.gossip) {
    return;
  }
  if (event.datagram.empty()) {
    if (event.wakeup == node.wakeup && !node.is_paused) {
      wake(event.node);
    }
    return;
  }
  if (!node.is_paused) {
    receive(event.from, event.node, event.datagram);
    return;
  }
  if (node.socket_buffer.size() < kSocketBufferDatagrams) {
    node.socket_buffer.emplace_back(event.from, std::move(event.datagram));
  }
}

void SimulatedNetwork::wake(std::size_t number) {
  Node& node = nodes_[number];
  const Time time = now(number);
  if (time >= node.gossip->next_wakeup()) {
    node.gossip->tick(time);
  }
  if (node.share && time >= node.share->next_wakeup()) {
    const bool is_view_due = time - node.view_reported_at >= node.share->settings().period;
    if (is_view_due || node.view_reported_at == 0) {
      node.view_reported_at = time;
      node.share->set_view(time, leases::living_peers(*node.gossip),
                           node.router_count->observe(time, node.gossip->summary(time)));
    }
    node.share->tick(time);
  }
  flush(number);
}

void SimulatedNetwork::receive(std::size_t from, std::size_t to, const std::string& datagram) {
  const auto decoded = membership::decode(datagram, "");
  ++nodes_[to].traffic.received;
  if (const auto* message = std::get_if<Message>(&decoded)) {
    nodes_[to].gossip->receive(now(to), address(from), *message);
  } else {
    ++nodes_[to].traffic.undecodable;
  }
  flush(to);
}

void SimulatedNetwork::flush(std::size_t number) {
  Node& node = nodes_[number];
  exchange_payloads(number);
  for (const OutgoingMessage& outgoing : node.gossip->take_outgoing()) {
    transmit(number, outgoing);
  }
  for (const membership::Change& change : node.gossip->take_changes()) {
    on_change(number, change);
  }
  schedule_wakeup(number);
  after_event(number);
}

void SimulatedNetwork::exchange_payloads(std::size_t number) {
  Node& node = nodes_[number];
  for (const membership::ReceivedPayload& payload : node.gossip->take_payloads()) {
    const auto message = leases::decode(payload.bytes);
    if (message && node.share && payload.protocol == membership::kShares) {
      node.share->receive(now(number), payload.from, *message);
    }
  }
  if (!node.share) {
    return;
  }
  for (const leases::OutgoingMessage& send : node.share->take_messages()) {
    node.gossip->send_payload(membership::kShares, now(number), send.to, leases::encode(send.message));
  }
}

void SimulatedNetwork::transmit(std::size_t from, const OutgoingMessage& outgoing) {
  const std::string datagram = membership::encode(outgoing.message, "");
  Traffic& traffic = nodes_[from].traffic;
  ++traffic.datagrams[static_cast<std::size_t>(outgoing.message.kind())];
  traffic.bytes += datagram.size();
  traffic.longest = std::max<std::uint64_t>(traffic.longest, datagram.size());
  const std::size_t to = outgoing.to - 1;
  if (record) {
    recorded.emplace_back(from, to, datagram);
  }
  if (to >= nodes_.size() || is_cut(from, to)) {
    return;
  }
  const int copies = happens(link.duplication) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    transmit_once(from, to, datagram);
  }
}

void SimulatedNetwork::transmit_once(std::size_t from, std::size_t to, std::string datagram) {
  if (happens(link.loss)) {
    return;
  }
  if (happens(link.corruption)) {
    constexpr unsigned kOtherByteValues = 255;
    // The mask must be drawn before the position, as the sequence of random numbers is part of a run.
    const auto mask = static_cast<char>(1 + random_() % kOtherByteValues);
    datagram[random_() % datagram.size()] ^= mask;
  }
  const auto range = static_cast<double>(link.max_delay - link.min_delay);
  const Time delay = link.min_delay + static_cast<Time>(draw() * range);
  events_.push({.time = now_ + delay,
                .order = ++event_count_,
                .node = to,
                .from = from,
                .datagram = std::move(datagram)});
}

void SimulatedNetwork::schedule_wakeup(std::size_t number) {
  Node& node = nodes_[number];
  const Time next = std::min(node.gossip->next_wakeup(), node.share ? node.share->next_wakeup() : kNever);
  if (next == kNever) {
    return;
  }
  events_.push({.time = std::max(now_, node.clock.true_time(next)),
                .order = ++event_count_,
                .node = number,
                .wakeup = ++node.wakeup});
}

// ---- Time

void SimulatedNetwork::run(Time until) {
  run_until([] { return false; }, until - now_);
}

bool SimulatedNetwork::run_until(const std::function<bool()>& done, Time limit) {
  const Time end = now_ + limit;
  while (!done()) {
    if (events_.empty() || events_.top().time > end) {
      now_ = end;
      return done();
    }
    Event event = events_.top();
    events_.pop();
    now_ = event.time;
    handle(event);
  }
  return true;
}

// ---- Observation

bool SimulatedNetwork::settled() const {
  std::vector<InstanceId> up;
  for (const Node& node : nodes_) {
    if (node.gossip) {
      up.push_back(node.gossip->self().instance);
    }
  }
  std::sort(up.begin(), up.end());
  std::optional<std::uint64_t> common_digest;
  for (std::size_t node = 0; node < nodes_.size(); ++node) {
    if (!is_up(node)) {
      continue;
    }
    const std::uint64_t digest = gossip(node).table().digest(gossip(node).self(), now(node)).value;
    if (common_digest.value_or(digest) != digest || !view_is_exact(node, up)) {
      return false;
    }
    common_digest = digest;
  }
  return true;
}

bool SimulatedNetwork::view_is_exact(std::size_t node, const std::vector<InstanceId>& up) const {
  std::size_t alive = 1;
  for (const auto& [instance, member] : gossip(node).table().members()) {
    if (member.record.state >= State::unreachable) {
      continue;
    }
    if (member.record.state != State::alive || !std::binary_search(up.begin(), up.end(), instance)) {
      return false;
    }
    ++alive;
  }
  return alive == up.size();
}

SimulatedNetwork::Traffic SimulatedNetwork::traffic() const {
  Traffic sum;
  for (const Node& node : nodes_) {
    for (std::size_t kind = 0; kind < kMessageKinds; ++kind) {
      sum.datagrams[kind] += node.traffic.datagrams[kind];
    }
    sum.bytes += node.traffic.bytes;
    sum.longest = std::max(sum.longest, node.traffic.longest);
    sum.undecodable += node.traffic.undecodable;
    sum.received += node.traffic.received;
  }
  return sum;
}

}  // namespace streampick::emulator
