/// \file
/// Counts of the routers and processes in a member table.
#pragma once

#include <cstddef>
#include <cstdint>

#include "membership/member_table.h"

namespace streampick::membership {

/// The counts include this process.
struct ViewSummary {
  std::size_t alive = 1;
  std::size_t suspect = 0;
  std::size_t unreachable = 0;
  std::size_t left = 0;
  /// Lower bound of the number of live routers: distinct names of alive processes. For counting votes.
  std::size_t min_live = 1;
  /// Upper bound of the number of live processes: alive, suspect or unreachable. For dividing a total among
  /// them, so that the parts never add up to more than the total.
  std::size_t max_live = 1;
  double visible_share = 1;  ///< alive processes as a fraction of max_live in the last settled view
  Time unchanged_since = 0;
  bool is_settled = false;   ///< unchanged for longer than the dissemination of a change takes
  std::uint64_t digest = 0;  ///< equal at routers with equal views
  std::uint32_t record_count = 1;
};

/// Returns a summary with the counts and bounds; the other fields keep their defaults.
ViewSummary count_members(const Record& self, const MemberTable& table);

}  // namespace streampick::membership
