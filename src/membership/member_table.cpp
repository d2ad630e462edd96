#include "membership/member_table.h"

#include <algorithm>

namespace streampick::membership {
namespace {

constexpr std::uint32_t kBitsPerDigit = 4;
constexpr std::uint32_t kInstanceBits = 64;
constexpr std::uint64_t kDigitMask = kRangeParts - 1;

// The finalizer of SplitMix64.
std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15U;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

// Excludes accusers and ages, which may differ between tables that count as equal.
std::uint64_t hash(const Record& record) {
  const std::uint64_t incarnation = record.state == State::left ? 0 : record.incarnation;
  return mix(record.instance ^ mix(incarnation * 4 + static_cast<std::uint64_t>(record.state)));
}

}  // namespace

MemberTable::Effect MemberTable::merge(const Record& record, Time now) {
  const auto found = members_.find(record.instance);
  if (found == members_.end()) {
    return add(record, now);
  }
  return merge_known(found->second, record, now);
}

MemberTable::Effect MemberTable::add(const Record& record, Time now) {
  if (record.is_brief()) {
    return Effect::unchanged;
  }
  // A record near the end of its lifetime is not added again: otherwise it could circulate forever.
  const Time lifetime = lifetimes_.of(record.state);
  if (lifetime != kNever && record.age > lifetime / 4 * 3) {
    return Effect::unchanged;
  }
  if (members_.size() >= kMaxRecords) {
    return Effect::table_full;
  }
  cached_digest_.reset();
  Member& member = members_[record.instance];
  member.record = record;
  member.since = now - record.age;
  return Effect::applied;
}

MemberTable::Effect MemberTable::merge_known(Member& known, const Record& record, Time now) {
  if (!supersedes(record, known.record)) {
    return merge_older(known, record, now);
  }
  if (record.state == State::unreachable && known.record.state < State::unreachable) {
    if (record.incarnation == known.record.incarnation) {
      return known.record.state == State::suspect ? Effect::confirmed : Effect::disputed;
    }
    // The claim has an incarnation that is new here: it starts a suspicion at this process.
    replace(known, record, now);
    known.record.state = State::suspect;
    known.record.suspected_by = record.instance;
    return Effect::applied;
  }
  replace(known, record, now - record.age);
  return Effect::applied;
}

MemberTable::Effect MemberTable::merge_older(Member& known, const Record& record, Time now) const {
  const bool same = record.incarnation == known.record.incarnation && record.state == known.record.state;
  // Keep the greatest age, so that all tables expire the record at about the same time.
  if (same && lifetimes_.of(record.state) != kNever) {
    known.since = std::min(known.since, now - record.age);
  }
  return same && record.state == State::suspect ? Effect::confirmed : Effect::unchanged;
}

// The name and address of an instance never change.
void MemberTable::replace(Member& known, const Record& record, Time since) {
  cached_digest_.reset();
  known.record.incarnation = record.incarnation;
  known.record.state = record.state;
  known.record.suspected_by = record.suspected_by;
  known.record.facts = record.facts;
  known.since = since;
}

void MemberTable::set_state(InstanceId instance, State state, InstanceId suspected_by, Time now) {
  Member& member = members_.at(instance);
  if (member.record.state == State::left) {
    return;
  }
  cached_digest_.reset();
  member.record.state = state;
  member.record.suspected_by = state == State::suspect ? suspected_by : 0;
  member.since = now;
}

const Member* MemberTable::find(InstanceId instance) const {
  const auto found = members_.find(instance);
  return found == members_.end() ? nullptr : &found->second;
}

const Member* MemberTable::find_by_address(Address address) const {
  const Member* best = nullptr;
  for (const auto& [instance, member] : members_) {
    if (member.record.address != address || member.record.state == State::left) {
      continue;
    }
    if (best == nullptr || member.record.state < best->record.state) {
      best = &member;
    }
  }
  return best;
}

Record MemberTable::record_to_send(const Member& member, Time now, bool brief) const {
  Record record = member.record;
  if (brief) {
    record.name.clear();
    record.address = 0;
  }
  record.age = lifetimes_.of(record.state) == kNever ? 0 : std::max<Time>(0, now - member.since);
  if (record.state == State::left) {
    record.facts.clear();
  }
  return record;
}

std::vector<Record> MemberTable::remove_expired(Time now) {
  std::vector<Record> expired;
  cached_digest_.reset();
  for (const auto& [instance, member] : members_) {
    const Time lifetime = lifetimes_.of(member.record.state);
    if (lifetime != kNever && now - member.since >= lifetime) {
      expired.push_back(member.record);
    }
  }
  for (const Record& record : expired) {
    members_.erase(record.instance);
  }
  return expired;
}

void MemberTable::clear() {
  members_.clear();
  cached_digest_.reset();
}

bool MemberTable::is_digested(const Member& member, Time now) const {
  const Time lifetime = lifetimes_.of(member.record.state);
  return lifetime == kNever || now - member.since < lifetime / 2;
}

MemberTable::Digest MemberTable::digest(const Record& self, Time now) const {
  if (!cached_digest_) {
    Digest digest;
    for (const auto& [instance, member] : members_) {
      if (is_digested(member, now)) {
        digest.value ^= hash(member.record);
        ++digest.count;
      }
    }
    cached_digest_ = digest;
  }
  return {.value = cached_digest_->value ^ hash(self), .count = cached_digest_->count + 1};
}

template <typename Visit>
void MemberTable::visit_range(std::uint32_t depth, std::uint64_t prefix, const Record& self, Time now,
                              Visit visit) const {
  const std::uint32_t shift = kInstanceBits - kBitsPerDigit * depth;
  const auto in_range = [&](InstanceId instance) { return depth == 0 || instance >> shift == prefix; };
  const InstanceId first = depth == 0 ? 0 : prefix << shift;
  for (auto member = members_.lower_bound(first); member != members_.end() && in_range(member->first);
       ++member) {
    if (is_digested(member->second, now)) {
      visit(member->second.record, &member->second);
    }
  }
  if (in_range(self.instance)) {
    visit(self, nullptr);
  }
}

PartDigests MemberTable::part_digests(std::uint32_t depth, std::uint64_t prefix, const Record& self,
                                      Time now) const {
  PartDigests parts = {};
  if (depth >= kMaxRangeDepth) {
    return parts;
  }
  const std::uint32_t shift = kInstanceBits - kBitsPerDigit * (depth + 1);
  visit_range(depth, prefix, self, now, [&](const Record& record, const Member*) {
    parts[(record.instance >> shift) & kDigitMask] ^= static_cast<std::uint32_t>(hash(record));
  });
  return parts;
}

std::vector<Record> MemberTable::range(std::uint32_t depth, std::uint64_t prefix, const Record& self,
                                       Time now) const {
  std::vector<Record> records;
  visit_range(depth, prefix, self, now, [&](const Record& record, const Member* member) {
    records.push_back(member == nullptr ? record : record_to_send(*member, now));
  });
  return records;
}

}  // namespace streampick::membership
