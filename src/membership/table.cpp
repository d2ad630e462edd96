#include "membership/table.h"

#include <utility>

namespace streampick::membership {
namespace {

std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15U;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

// What two tables must have alike to be equal. Who suspects, and for how long it has been so, may differ.
std::uint64_t hash(const Record& record) {
  const std::uint64_t incarnation = record.state == State::left ? 0 : record.incarnation;
  return mix(record.boot ^ mix(incarnation * 4 + static_cast<std::uint64_t>(record.state)));
}

}  // namespace

Table::Effect Table::hear(const Record& record, Time now) {
  const auto found = members_.find(record.boot);
  if (found == members_.end()) {
    if (record.brief()) return Effect::none;
    // What will be forgotten soon is not learned anew: it could go round for good.
    const Time most = lifetimes_.of(record.state);
    if (most != kNever && record.age > most / 4 * 3) return Effect::none;
    if (members_.size() >= kMost) return Effect::no_room;
    digest_.reset();
    Member& made = members_[record.boot];
    made.record = record;
    made.since = now - record.age;
    return Effect::raised;
  }
  Member& known = found->second;
  if (!above(record, known.record)) {
    const bool same = record.incarnation == known.record.incarnation && record.state == known.record.state;
    // The oldest age counts, so that all forget at one time.
    if (same && lifetimes_.of(record.state) != kNever) known.since = std::min(known.since, now - record.age);
    return same && record.state == State::suspect ? Effect::confirmed : Effect::none;
  }
  if (record.state == State::unreachable && known.record.state < State::unreachable) {
    if (record.incarnation == known.record.incarnation)
      return known.record.state == State::suspect ? Effect::confirmed : Effect::doubtful;
    // A later incarnation that we had not heard of: it stands, but as a suspicion of our own.
    take(known, record, now);
    known.record.state = State::suspect;
    known.record.by = record.boot;
    return Effect::raised;
  }
  take(known, record, now - record.age);
  return Effect::raised;
}

// Name and address are of the boot, and stay.
void Table::take(Member& known, const Record& record, Time since) {
  digest_.reset();
  known.record.incarnation = record.incarnation;
  known.record.state = record.state;
  known.record.by = record.by;
  known.record.facts = record.facts;
  known.since = since;
}

void Table::set_state(Boot boot, State state, Boot by, Time now) {
  Member& member = members_.at(boot);
  if (member.record.state == State::left) return;
  digest_.reset();
  member.record.state = state;
  member.record.by = state == State::suspect ? by : 0;
  member.since = now;
}

const Member* Table::at(Address address) const {
  const Member* out = nullptr;
  for (const auto& [boot, member] : members_)
    if (member.record.address == address && member.record.state != State::left &&
        (out == nullptr || member.record.state < out->record.state))
      out = &member;
  return out;
}

Record Table::told(const Member& member, Time now, bool brief) const {
  Record out = member.record;
  if (brief) {
    out.name.clear();
    out.address = 0;
  }
  out.age = lifetimes_.of(out.state) == kNever ? 0 : std::max<Time>(0, now - member.since);
  if (out.state == State::left) out.facts.clear();
  return out;
}

std::vector<Record> Table::forget(Time now) {
  std::vector<Record> out;
  digest_.reset();
  for (const auto& [boot, member] : members_) {
    const Time most = lifetimes_.of(member.record.state);
    if (most != kNever && now - member.since >= most) out.push_back(member.record);
  }
  for (const Record& record : out) members_.erase(record.boot);
  return out;
}

bool Table::digested(const Member& member, Time now) const {
  const Time most = lifetimes_.of(member.record.state);
  return most == kNever || now - member.since < most / 2;
}

Table::Digest Table::digest(const Record& self, Time now) const {
  if (!digest_) {
    digest_.emplace();
    for (const auto& [boot, member] : members_) {
      if (!digested(member, now)) continue;
      digest_->value ^= hash(member.record);
      ++digest_->count;
    }
  }
  return {digest_->value ^ hash(self), digest_->count + 1};
}

template <typename Visit>
void Table::each_in(std::uint32_t depth, std::uint64_t prefix, const Record& self, Time now,
                    Visit visit) const {
  const auto within = [&](Boot boot) { return depth == 0 || boot >> (64 - 4 * depth) == prefix; };
  const Boot first = depth == 0 ? 0 : prefix << (64 - 4 * depth);
  for (auto at = members_.lower_bound(first); at != members_.end() && within(at->first); ++at)
    if (digested(at->second, now)) visit(at->second.record, &at->second);
  if (within(self.boot)) visit(self, nullptr);
}

std::vector<std::uint32_t> Table::parts(std::uint32_t depth, std::uint64_t prefix, const Record& self,
                                        Time now) const {
  std::vector<std::uint32_t> out(kParts);
  if (depth >= 16) return out;
  each_in(depth, prefix, self, now, [&](const Record& record, const Member*) {
    out[(record.boot >> (60 - 4 * depth)) & 15U] ^= static_cast<std::uint32_t>(hash(record));
  });
  return out;
}

std::vector<Record> Table::range(std::uint32_t depth, std::uint64_t prefix, const Record& self,
                                 Time now) const {
  std::vector<Record> out;
  each_in(depth, prefix, self, now, [&](const Record& record, const Member* member) {
    out.push_back(member == nullptr ? record : told(*member, now));
  });
  return out;
}

}  // namespace streampick::membership
