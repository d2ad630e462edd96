#include "membership/view_updates.h"

namespace streampick::membership {
namespace {

// Average number of members that verify a new suspicion with their next probe, so that it is confirmed or
// refuted sooner than by the regular rounds of probes.
constexpr std::uint64_t kImmediateVerifiers = 4;

bool is_live(State state) { return state <= State::suspect; }

}  // namespace

bool ViewUpdates::merge(const Record& received, InstanceId sender, Time now) {
  Record record = received;
  // Only one process runs at an address. An instance other than this one at its address has ended.
  if (record.address == context_.self.address && record.state != State::left) {
    record.state = State::left;
    record.age = 0;
  }
  const Member* known = context_.table.find(record.instance);
  const bool is_new = known == nullptr;
  const State previous = is_new ? State::alive : known->record.state;
  MemberTable::Effect effect = context_.table.merge(record, now);
  if (effect == MemberTable::Effect::disputed && context_.rules->believes_unreachable_claims()) {
    context_.table.set_state(record.instance, State::unreachable, 0, now);
    effect = MemberTable::Effect::applied;
  }
  switch (effect) {
    case MemberTable::Effect::unchanged: return false;
    case MemberTable::Effect::table_full: ++context_.counters.table_full; return false;
    case MemberTable::Effect::confirmed: confirm(record, sender); return false;
    case MemberTable::Effect::disputed: dispute(record); return false;
    case MemberTable::Effect::applied: break;
  }
  const Record& current = context_.table.find(record.instance)->record;
  on_applied(current, previous, is_new, sender, now);
  return current.state == State::alive && previous == State::unreachable;
}

void ViewUpdates::confirm(const Record& record, InstanceId sender) {
  const bool names_accuser = record.state == State::suspect && record.suspected_by != 0;
  if (context_.suspicions.confirm(record.instance, names_accuser ? record.suspected_by : sender)) {
    context_.updates.add(record.instance);
  }
}

void ViewUpdates::dispute(const Record& record) {
  if (context_.priority_probes.size() < MemberTable::kMaxRecords) {
    context_.priority_probes[record.instance] = record;
  }
}

void ViewUpdates::on_applied(const Record& current, State previous, bool is_new, InstanceId sender,
                             Time now) {
  context_.suspicions.erase(current.instance);
  if (current.state != State::suspect) {
    context_.priority_probes.erase(current.instance);
  }
  context_.updates.add(current.instance, is_new);
  if (is_new || is_live(previous) != is_live(current.state)) {
    context_.invalidate_live();
  }
  switch (current.state) {
    case State::alive:
      if (is_new) {
        report(Change::Kind::joined, current);
      } else if (previous == State::suspect) {
        report(Change::Kind::refuted, current);
      } else if (previous == State::unreachable) {
        report(Change::Kind::recovered, current);
      }
      break;
    case State::suspect: on_suspected(current, is_new, sender, now); break;
    case State::unreachable:
      if (previous != State::unreachable) {
        report(Change::Kind::unreachable, current);
      }
      break;
    case State::left: report(Change::Kind::left, current); break;
  }
  context_.last_change = now;
}

void ViewUpdates::on_suspected(const Record& current, bool is_new, InstanceId sender, Time now) {
  const InstanceId accuser = current.suspected_by != 0 ? current.suspected_by : sender;
  const std::size_t live_members = context_.live().count;
  context_.suspicions.start(current.instance, Suspicion(accuser, now, live_members, context_.settings.period,
                                                        context_.settings.suspicion));
  if (context_.random.below(live_members) < kImmediateVerifiers) {
    const Member& member = *context_.table.find(current.instance);
    context_.priority_probes.emplace(current.instance, context_.table.record_to_send(member, now, true));
  }
  if (is_new) {
    report(Change::Kind::joined, current);
  }
  report(Change::Kind::suspected, current);
}

void ViewUpdates::suspect(InstanceId instance, Time now) {
  const Member& member = *context_.table.find(instance);
  if (member.record.state == State::suspect) {
    if (context_.suspicions.confirm(instance, context_.self.instance)) {
      context_.updates.add(instance);
    }
    return;
  }
  context_.suspicions.start(instance, Suspicion(context_.self.instance, now, context_.live().count,
                                                context_.settings.period, context_.settings.suspicion));
  context_.table.set_state(instance, State::suspect, context_.self.instance, now);
  context_.updates.add(instance);
  context_.last_change = now;
  report(Change::Kind::suspected, member.record);
}

void ViewUpdates::end_suspicions(Time now) {
  for (const InstanceId instance : context_.suspicions.expired(now)) {
    declare_unreachable(instance, now);
  }
}

void ViewUpdates::declare_unreachable(InstanceId instance, Time now) {
  context_.suspicions.erase(instance);
  context_.priority_probes.erase(instance);
  const Member* member = context_.table.find(instance);
  if (member == nullptr) {
    return;
  }
  ++context_.counters.declared_unreachable;
  context_.table.set_state(instance, State::unreachable, 0, now);
  context_.updates.add(instance);
  context_.invalidate_live();
  context_.last_change = now;
  report(Change::Kind::unreachable, member->record);
}

void ViewUpdates::remove_expired(Time now) {
  for (const Record& record : context_.table.remove_expired(now)) {
    context_.updates.erase(record.instance);
    context_.priority_probes.erase(record.instance);
    if (record.state == State::unreachable) {
      context_.last_change = now;
      report(Change::Kind::expired, record);
    }
  }
}

}  // namespace streampick::membership
