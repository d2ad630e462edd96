#include "membership/name_conflict_monitor.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

namespace streampick::membership {
namespace {

constexpr int kPeriodsToReport = 5;

// Names of the alive processes that are not draining.
std::vector<std::string_view> sorted_names(const Record& self, const MemberTable& table) {
  std::vector<std::string_view> names;
  const auto add = [&](const Record& record) {
    if (record.state == State::alive && fact(record, kDraining) == 0) {
      names.push_back(record.name);
    }
  };
  add(self);
  for (const auto& [instance, member] : table.members()) {
    add(member.record);
  }
  std::sort(names.begin(), names.end());
  return names;
}

}  // namespace

void NameConflictMonitor::check(const Record& self, const MemberTable& table, ChangeLog& changes) {
  if (checked_changes_ == changes.total() && conflict_periods_.empty()) {
    return;
  }
  checked_changes_ = changes.total();
  const std::vector<std::string_view> names = sorted_names(self, table);
  const std::map<std::string, int> previous = std::exchange(conflict_periods_, {});
  auto name = std::adjacent_find(names.begin(), names.end());
  while (name != names.end()) {
    Record subject;
    subject.name = std::string(*name);
    const auto before = previous.find(subject.name);
    const int periods = before == previous.end() ? 1 : before->second + 1;
    conflict_periods_[subject.name] = periods;
    if (periods == kPeriodsToReport) {
      changes.add(Change::Kind::name_conflict, subject);
    }
    name = std::adjacent_find(std::upper_bound(name, names.end(), *name), names.end());
  }
}

}  // namespace streampick::membership
