/// \file
/// Reports names that several running processes have, of which none is draining. During an upgrade that is
/// normal for a short time; a lasting conflict is a configuration error.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "membership/change_log.h"
#include "membership/member_table.h"

namespace streampick::membership {

class NameConflictMonitor {
 public:
  /// To be called once per protocol period. Reports each conflict once.
  void check(const Record& self, const MemberTable& table, ChangeLog& changes);

 private:
  std::map<std::string, int> conflict_periods_;  // by name: number of periods that the conflict has lasted
  std::optional<std::uint64_t> checked_changes_;
};

}  // namespace streampick::membership
