#include "membership/failure_detector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace streampick::membership {
namespace {

constexpr int kMaxPings = 3;
constexpr std::size_t kMaxIndirectProbes = 64;
// While there are claims to verify, one of this many probes still goes to the next member of the round.
// Otherwise a peer that keeps sending claims could stop this router from probing the other members.
constexpr std::uint32_t kPicksPerRoundProbe = 3;

bool is_live(const Member* member) { return member != nullptr && member->record.state <= State::suspect; }

}  // namespace

void FailureDetector::start_probe(ProtocolContext& context, Time now) {
  if (probe_) {
    return;
  }
  const std::optional<InstanceId> target = pick_target(context);
  if (!target) {
    return;
  }
  const Member& member = *context.table.find(*target);
  std::vector<Record> first;
  const auto claim = context.priority_probes.find(*target);
  if (claim != context.priority_probes.end()) {
    first.push_back(claim->second);
    context.priority_probes.erase(claim);
  }
  const int multiplier = context.health.multiplier();
  probe_ = Probe{.sequence = context.next_sequence(),
                 .target = *target,
                 .address = member.record.address,
                 .repeat_at = now + context.settings.ping_timeout * multiplier,
                 .deadline = now + context.settings.period * multiplier};
  context.send_ping(probe_->sequence, probe_->address, &member, now, std::move(first));
}

std::optional<InstanceId> FailureDetector::pick_target(ProtocolContext& context) {
  auto& claims = context.priority_probes;
  std::erase_if(claims, [&](const auto& claim) {
    const Member* member = context.table.find(claim.first);
    return member == nullptr || member->record.state == State::left;
  });
  // Chosen at random: otherwise all routers that received the same claims would probe the same member at
  // once.
  if (!claims.empty() && ++picks_with_claims_ % kPicksPerRoundProbe != 0) {
    const auto index = static_cast<std::ptrdiff_t>(context.random.below(claims.size()));
    return std::next(claims.begin(), index)->first;
  }
  if (const std::optional<InstanceId> target = next_of_round(context)) {
    return target;
  }
  for (const auto& [instance, member] : context.table.members()) {
    if (is_live(&member)) {
      round_.push_back(instance);
    }
  }
  context.random.shuffle(round_);
  return next_of_round(context);
}

std::optional<InstanceId> FailureDetector::next_of_round(ProtocolContext& context) {
  while (!round_.empty()) {
    const InstanceId target = round_.back();
    round_.pop_back();
    if (is_live(context.table.find(target))) {
      return target;
    }
  }
  return std::nullopt;
}

std::optional<InstanceId> FailureDetector::end_failed_probe(ProtocolContext& context, Time now) {
  if (!probe_ || now < probe_->deadline) {
    return std::nullopt;
  }
  ++context.counters.failed_probes;
  const Probe probe = *std::exchange(probe_, std::nullopt);
  const Member* member = context.table.find(probe.target);
  // Where indirect probers sent no Nack either, the fault may be at this process, unless others suspect the
  // target too.
  const bool is_suspected_only_here = member != nullptr && member->record.state == State::alive;
  if (is_suspected_only_here && (probe.indirect_probers == 0 || probe.nacks < probe.indirect_probers)) {
    context.health.degrade();
  }
  if (!is_live(member)) {
    return std::nullopt;
  }
  return probe.target;
}

void FailureDetector::on_timer(ProtocolContext& context, Time now) {
  if (probe_ && now >= probe_->repeat_at) {
    repeat_probe(context, now);
  }
  end_indirect_probes(context, now);
}

Time FailureDetector::next_timer() const {
  Time next = probe_ ? probe_->repeat_at : kNever;
  for (const auto& [sequence, probe] : indirect_probes_) {
    next = std::min(next, probe.deadline);
  }
  return next;
}

void FailureDetector::repeat_probe(ProtocolContext& context, Time now) {
  const bool is_first_repeat = probe_->pings == 1;
  ++probe_->pings;
  probe_->repeat_at =
      probe_->pings < kMaxPings ? now + context.settings.ping_timeout * context.health.multiplier() : kNever;
  const Member* member = context.table.find(probe_->target);
  if (member == nullptr) {
    return;
  }
  context.send_ping(probe_->sequence, probe_->address, member, now);
  if (is_first_repeat) {
    request_indirect_probes(context, now);
  }
}

void FailureDetector::request_indirect_probes(ProtocolContext& context, Time now) {
  std::vector<Address> candidates;
  for (const auto& [instance, member] : context.table.members()) {
    if (member.record.state == State::alive && instance != probe_->target) {
      candidates.push_back(member.record.address);
    }
  }
  const PingRequest request{
      .sequence = probe_->sequence, .target = probe_->address, .target_instance = probe_->target};
  for (const Address prober :
       context.random.sample(std::move(candidates), context.settings.indirect_probers)) {
    ++probe_->indirect_probers;
    ++context.counters.ping_requests;
    context.send(request, prober, now);
  }
}

void FailureDetector::end_indirect_probes(ProtocolContext& context, Time now) {
  for (auto entry = indirect_probes_.begin(); entry != indirect_probes_.end();) {
    const IndirectProbe& probe = entry->second;
    if (now < probe.deadline) {
      ++entry;
      continue;
    }
    context.send(Nack{.sequence = probe.requester_sequence}, probe.requester, now);
    entry = indirect_probes_.erase(entry);
  }
}

bool FailureDetector::on_ack(ProtocolContext& context, const Message& message, const Ack& ack,
                             Address acknowledged, Time now) {
  if (probe_ && probe_->sequence == ack.sequence && probe_->address == acknowledged) {
    probe_.reset();
    context.health.improve();
    return true;
  }
  const auto found = indirect_probes_.find(ack.sequence);
  const bool is_forwarded = ack.target != 0;
  if (is_forwarded || found == indirect_probes_.end() || found->second.target != acknowledged) {
    return false;
  }
  const IndirectProbe probe = found->second;
  indirect_probes_.erase(found);
  context.send(Ack{.sequence = probe.requester_sequence, .target = acknowledged}, probe.requester, now,
               {message.sender});
  return true;
}

void FailureDetector::on_nack(const Nack& nack) {
  if (probe_ && probe_->sequence == nack.sequence) {
    ++probe_->nacks;
  }
}

void FailureDetector::on_ping_request(ProtocolContext& context, Address from, const PingRequest& request,
                                      Time now) {
  if (indirect_probes_.size() >= kMaxIndirectProbes || request.target == context.self.address) {
    return;
  }
  const std::uint32_t sequence = context.next_sequence();
  indirect_probes_[sequence] = {.requester = from,
                                .requester_sequence = request.sequence,
                                .target = request.target,
                                .deadline = now + context.settings.ping_timeout};
  context.send_ping(sequence, request.target, context.table.find(request.target_instance), now);
}

void FailureDetector::discard_running() {
  probe_.reset();
  indirect_probes_.clear();
}

void FailureDetector::reset() {
  discard_running();
  round_.clear();
}

}  // namespace streampick::membership
