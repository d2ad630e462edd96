#include "membership/gossip_protocol.h"

#include <algorithm>
#include <variant>

#include "membership/view_updates.h"
#include "membership/wire.h"

namespace streampick::membership {
namespace {

constexpr std::size_t kMaxGossipPerPeriod = 8;
constexpr std::size_t kLeaveMessages = 8;
constexpr std::size_t kRememberedAddresses = 16;
constexpr std::size_t kMaxWaitingPayloads = 256;
// Minimum number of periods between two new instance ids of a process, as records of its old instance with
// the state `left` may keep arriving.
constexpr int kPeriodsBetweenInstances = 10;
constexpr int kExtraSettlePeriods = 4;
// Encoded size in bytes of a payload's protocol number, in addition to the payload itself.
constexpr std::size_t kPayloadOverhead = 3;

}  // namespace

GossipProtocol::GossipProtocol(Settings settings, std::uint64_t seed, Time now, const ProtocolRules& rules)
    : context_(std::move(settings), seed, now, rules), next_period_(now), expected_wakeup_(now) {}

void GossipProtocol::start(Time now) {
  next_period_ = now;
  expected_wakeup_ = now;
}

// ---- Time

bool GossipProtocol::must_restart(Time now) const {
  return !has_left_ && now - expected_wakeup_ >= context_.settings.lifetimes.unreachable / 2;
}

// After a suspension of this process, probes without an Ack say nothing about their targets, and suspected
// members had no chance to refute.
void GossipProtocol::handle_suspension(Time now) {
  const Time late = now - expected_wakeup_;
  if (late <= context_.settings.period / 2 || !context_.rules->detects_suspension()) {
    return;
  }
  const bool too_long = must_restart(now);
  expected_wakeup_ = now;
  context_.changes.add(Change::Kind::suspended, context_.self);
  if (too_long) {
    restart(now);
    return;
  }
  context_.suspicions.extend_all(late);
  failure_detector_.discard_running();
  context_.health.degrade();
  next_period_ = now;
}

Time GossipProtocol::next_wakeup() const {
  if (has_left_) {
    return kNever;
  }
  return std::min({next_period_, failure_detector_.next_timer(), context_.suspicions.next_deadline()});
}

void GossipProtocol::tick(Time now) {
  if (has_left_) {
    return;
  }
  handle_suspension(now);
  failure_detector_.on_timer(context_, now);
  ViewUpdates(context_).end_suspicions(now);
  if (now >= next_period_) {
    start_period(now);
  }
  expected_wakeup_ = std::max(now, next_wakeup());
}

void GossipProtocol::start_period(Time now) {
  ViewUpdates view(context_);
  if (const std::optional<InstanceId> failed = failure_detector_.end_failed_probe(context_, now)) {
    view.suspect(*failed, now);
  }
  view.remove_expired(now);
  name_conflicts_.check(context_.self, context_.table, context_.changes);
  update_settled(now);
  anti_entropy_.on_period();
  failure_detector_.start_probe(context_, now);
  reconnect_prober_.on_period(context_, now);
  send_gossip(now);
  next_period_ = now + context_.settings.period;
}

void GossipProtocol::update_settled(Time now) {
  const bool was_settled = is_settled_;
  is_settled_ = now - context_.last_change >= settle_periods() * context_.settings.period;
  if (is_settled_ && !was_settled) {
    settled_max_live_ = summary(now).max_live;
  }
}

int GossipProtocol::settle_periods() const {
  return 2 * gossip_rounds(context_.live().count) + kExtraSettlePeriods;
}

// Sends messages that carry only updates, while there are more updates than the probes can carry.
void GossipProtocol::send_gossip(Time now) {
  const std::vector<Address>& live = context_.live().addresses;
  for (std::size_t i = 0; i < kMaxGossipPerPeriod && !context_.updates.empty() && live.size() > 1; ++i) {
    const Address to = live[context_.random.below(live.size())];
    context_.send(Gossip{}, to, now);
  }
}

// ---- Messages

void GossipProtocol::receive(Time now, Address from, const Message& message) {
  if (has_left_) {
    return;
  }
  handle_suspension(now);
  const InstanceId sender = message.sender.instance;
  if (sender == context_.self.instance) {
    return;
  }
  if (message.sender.address != from) {
    ++context_.counters.address_mismatches;
    return;
  }
  merge(message.sender, sender, now);
  for (const Record& record : message.updates) {
    merge(record, sender, now);
  }
  verify_accused_sender(sender, now);
  std::visit([&](const auto& body) { handle(body, from, message, now); }, message.body);
  expected_wakeup_ = std::max(now, next_wakeup());
}

// A sender that this process has as suspect or unreachable is alive: probe it soon, so that it can refute
// that.
void GossipProtocol::verify_accused_sender(InstanceId sender, Time now) {
  const Member* member = context_.table.find(sender);
  if (member == nullptr) {
    return;
  }
  const State state = member->record.state;
  if (state == State::suspect || state == State::unreachable) {
    context_.priority_probes.emplace(sender, context_.table.record_to_send(*member, now));
  }
}

void GossipProtocol::handle(const Ping& ping, Address from, const Message& message, Time now) {
  std::vector<Record> first;
  if (const std::optional<Record> accusation = context_.accusation(message.sender.instance, now)) {
    first.push_back(*accusation);
  }
  context_.send(Ack{.sequence = ping.sequence}, from, now, first);
  anti_entropy_.on_digest(context_, from, message, now);
}

void GossipProtocol::handle(const Ack& ack, Address from, const Message& message, Time now) {
  on_ack(ack, from, message, now);
  anti_entropy_.on_digest(context_, from, message, now);
}

void GossipProtocol::on_ack(const Ack& ack, Address from, const Message& message, Time now) {
  const bool is_forwarded = ack.target != 0;
  if (is_forwarded && message.updates.empty()) {
    return;
  }
  const Address acknowledged = is_forwarded ? ack.target : from;
  const Record& responder = is_forwarded ? message.updates.front() : message.sender;
  if (responder.address != acknowledged) {
    return;
  }
  if (failure_detector_.on_ack(context_, message, ack, acknowledged, now)) {
    return;
  }
  if (!reconnect_prober_.on_ack(ack.sequence, acknowledged)) {
    ++context_.counters.unexpected_acks;
  }
}

void GossipProtocol::handle(const PingRequest& request, Address from, const Message& /*message*/, Time now) {
  failure_detector_.on_ping_request(context_, from, request, now);
}

void GossipProtocol::handle(const Nack& nack, Address /*from*/, const Message& /*message*/, Time /*now*/) {
  failure_detector_.on_nack(nack);
}

void GossipProtocol::handle(const CompareDigests& digests, Address from, const Message& message, Time now) {
  anti_entropy_.on_compare(context_, from, message, digests, now);
}

void GossipProtocol::handle(const SyncRange& range, Address from, const Message& message, Time now) {
  anti_entropy_.on_sync_range(context_, from, message, range, now);
}

// receive() has merged the updates already.
void GossipProtocol::handle(const Gossip& /*gossip*/, Address /*from*/, const Message& /*message*/,
                            Time /*now*/) {}

void GossipProtocol::handle(const Payload& payload, Address from, const Message& /*message*/, Time /*now*/) {
  if (payloads_.size() < kMaxWaitingPayloads) {
    payloads_.push_back({.from = from, .protocol = payload.protocol, .bytes = payload.bytes});
  }
}

// ---- Records

void GossipProtocol::merge(const Record& record, InstanceId sender, Time now) {
  if (record.instance == context_.self.instance) {
    merge_record_of_self(record, now);
    return;
  }
  if (ViewUpdates(context_).merge(record, sender, now)) {
    reconnect_prober_.on_recovery();
  }
}

void GossipProtocol::merge_record_of_self(const Record& record, Time now) {
  if (record.state == State::left) {
    const Time interval = kPeriodsBetweenInstances * context_.settings.period;
    if (!new_instance_at_ || now - *new_instance_at_ >= interval) {
      take_new_instance(now);
    }
    return;
  }
  if (context_.rules->refutes_accusations()) {
    refute(record, now);
  }
}

// Only the process itself can refute an accusation, with a higher incarnation than that of the accusation.
void GossipProtocol::refute(const Record& accusation, Time now) {
  Record& self = context_.self;
  if (accusation.incarnation < self.incarnation) {
    return;
  }
  if (accusation.incarnation == self.incarnation && accusation.state == State::alive) {
    return;
  }
  if (accusation.incarnation >= kMaxIncarnation - 1) {
    take_new_instance(now);
    return;
  }
  self.incarnation = context_.rules->refuting_incarnation(self.incarnation, accusation.incarnation);
  ++context_.counters.refutations;
  if (accusation.state == State::suspect) {
    context_.health.degrade();
  }
  context_.last_change = now;
}

// ---- This process

void GossipProtocol::take_new_instance(Time now) {
  Record previous = context_.self;
  new_instance_at_ = now;
  context_.self.instance = context_.random.next() | 1U;
  context_.self.incarnation = 0;
  previous.state = State::left;
  previous.facts.clear();
  context_.table.merge(previous, now);
  context_.updates.add(previous.instance);
  context_.invalidate_live();
  context_.last_change = now;
  context_.changes.add(Change::Kind::new_instance, context_.self);
}

void GossipProtocol::restart(Time now) {
  // The random numbers for the sample below are drawn after the new instance id.
  const std::vector<Address> live = context_.live().addresses;
  context_.table.clear();
  context_.updates.clear();
  context_.suspicions.clear();
  context_.priority_probes.clear();
  failure_detector_.reset();
  next_period_ = now;
  take_new_instance(now);
  reconnect_prober_.remember(context_.random.sample(live, kRememberedAddresses));
}

void GossipProtocol::set_facts(Time now, Facts facts) {
  if (has_left_ || facts == context_.self.facts) {
    return;
  }
  context_.self.facts = std::move(facts);
  ++context_.self.incarnation;
  context_.last_change = now;
}

void GossipProtocol::set_contacts(std::vector<Address> contacts) {
  context_.settings.contacts = std::move(contacts);
}

void GossipProtocol::leave(Time now) {
  if (has_left_) {
    return;
  }
  context_.self.state = State::left;
  context_.self.facts.clear();
  for (const Address to : context_.random.sample(context_.live().addresses, kLeaveMessages)) {
    context_.send(Gossip{}, to, now);
  }
  has_left_ = true;
}

// ---- Payloads

// Payloads carry no updates: they are frequent, and the socket limits them by a separate budget.
void GossipProtocol::send_payload(std::uint32_t protocol, Time now, Address to, std::string bytes) {
  if (has_left_ || bytes.empty() || bytes.size() > max_payload_size()) {
    return;
  }
  Message message = context_.make_message(Payload{.protocol = protocol, .bytes = std::move(bytes)}, now);
  context_.outgoing.push_back({.to = to, .message = std::move(message)});
}

std::size_t GossipProtocol::max_payload_size() const {
  Message message;
  message.sender = context_.self;
  message.sender.state = State::left;
  message.sender.incarnation = kMaxIncarnation;
  message.record_count = UINT32_MAX;
  message.body = Payload{};
  const std::size_t used = max_encoded_size_without_updates(message) + kPayloadOverhead;
  const std::size_t limit = context_.settings.max_datagram_size;
  return used < limit ? limit - used : 0;
}

// ---- The view

ViewSummary GossipProtocol::summary(Time now) const {
  ViewSummary summary = count_members(context_.self, context_.table);
  const double visible = static_cast<double>(summary.alive) / static_cast<double>(settled_max_live_);
  summary.visible_share = std::min(1.0, visible);
  summary.unchanged_since = context_.last_change;
  summary.is_settled = is_settled_;
  const MemberTable::Digest digest = context_.table.digest(context_.self, now);
  summary.digest = digest.value;
  summary.record_count = digest.count;
  return summary;
}

}  // namespace streampick::membership
