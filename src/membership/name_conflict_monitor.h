/// \file
/// Reports names that two processes have, neither of which is draining. During an upgrade that is normal for
/// a moment; when it lasts it is a configuration error.
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
  /// Once a protocol period. Reports each conflict once.
  void check(const Record& self, const MemberTable& table, ChangeLog& changes);

 private:
  std::map<std::string, int> conflict_periods_;  // by name: for so many periods
  std::optional<std::uint64_t> checked_changes_;
};

}  // namespace streampick::membership
