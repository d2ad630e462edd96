#include "membership/protocol_context.h"

#include <algorithm>
#include <utility>

namespace streampick::membership {

ProtocolContext::ProtocolContext(Settings initial_settings, std::uint64_t seed, Time now,
                                 const ProtocolRules& protocol_rules)
    : settings(std::move(initial_settings)),
      rules(&protocol_rules),
      random(seed),
      table(settings.lifetimes),
      last_change(now) {
  self.name = settings.name;
  self.address = settings.address;
  self.facts = settings.facts;
  self.instance = random.next() | 1U;
}

const LiveMembers& ProtocolContext::live() const {
  if (cached_live) {
    return *cached_live;
  }
  LiveMembers live;
  for (const auto& [instance, member] : table.members()) {
    if (member.record.state > State::suspect) {
      continue;
    }
    ++live.count;
    live.addresses.push_back(member.record.address);
  }
  std::sort(live.addresses.begin(), live.addresses.end());
  return cached_live.emplace(std::move(live));
}

Message ProtocolContext::make_message(MessageBody body, Time now) const {
  const MemberTable::Digest digest = table.digest(self, now);
  Message message;
  message.sender = self;
  message.digest = digest.value;
  message.record_count = digest.count;
  message.body = std::move(body);
  return message;
}

void ProtocolContext::send(Message message, Address to, Time now, const std::vector<Record>& first) {
  const DisseminationQueue::FillInput input{.table = table,
                                            .suspicions = suspicions,
                                            .live_members = live().count,
                                            .max_datagram_size = settings.max_datagram_size};
  updates.fill(message, first, input, now, random);
  outgoing.push_back({.to = to, .message = std::move(message)});
}

void ProtocolContext::send(MessageBody body, Address to, Time now, const std::vector<Record>& first) {
  send(make_message(std::move(body), now), to, now, first);
}

void ProtocolContext::send_ping(std::uint32_t sequence, Address to, const Member* target, Time now,
                                std::vector<Record> first) {
  if (target != nullptr) {
    if (const std::optional<Record> claim = accusation(target->record.instance, now)) {
      first.push_back(*claim);
    }
  }
  ++counters.pings;
  send(Ping{.sequence = sequence}, to, now, first);
}

std::optional<Record> ProtocolContext::accusation(InstanceId instance, Time now) const {
  const Member* member = table.find(instance);
  if (member == nullptr || member->record.state == State::alive) {
    return std::nullopt;
  }
  return table.record_to_send(*member, now);
}

}  // namespace streampick::membership
