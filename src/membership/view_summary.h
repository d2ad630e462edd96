/// \file
/// What a member table says about the number of routers.
#pragma once

#include <cstddef>
#include <cstdint>

#include "membership/member_table.h"

namespace streampick::membership {

/// Counts of processes include this one.
struct ViewSummary {
  std::size_t alive = 1;
  std::size_t suspect = 0;
  std::size_t unreachable = 0;
  std::size_t left = 0;
  /// Lower bound of the live routers: distinct names that are alive. For counting votes.
  std::size_t min_live = 1;
  /// Upper bound of the live processes: alive, suspected or unreachable. For dividing a total, so that the
  /// parts never sum up to more than it.
  std::size_t max_live = 1;
  double visible_share = 1;  ///< alive processes, as a share of those of the last settled view
  Time unchanged_since = 0;
  bool is_settled = false;   ///< unchanged for so long that all would have heard of a change
  std::uint64_t digest = 0;  ///< equal at routers whose views are equal
  std::uint32_t record_count = 1;
};

/// Fills the counts of processes and the bounds of live ones.
ViewSummary count_members(const Record& self, const MemberTable& table);

}  // namespace streampick::membership
