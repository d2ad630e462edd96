// The granter role for one shard: divides the shard's limits among the holders that claim. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>

#include "shares/election.h"
#include "shares/lease_table.h"
#include "shares/settings.h"

namespace streampick::leases {

/// The lease tables of one term, one for each limit of the shard.
///
/// Invariant: a lease ends within the granter's term. Tests: LeaseModel, LeaseModelMutation `clock_margin`.
class LeaseGranter {
 public:
  struct Answer {
    Message grant;                    // without items: there is nothing to send
    std::uint64_t unknown_items = 0;  // claimed items whose limit this router or this shard does not have
  };

  /// Whether grant numbers remain; if not, a new term must begin.
  bool has_grant_numbers() const { return grants_made_ < kMaxGrants; }
  /// Answers a claim. This process must be the granter according to `election`.
  Answer answer(Time now, const Settings& settings, std::uint32_t routers, const Election& election,
                Address from, const Message& claim);
  /// Removes all leases at the end of the term.
  void clear() { *this = LeaseGranter(); }
  /// Removes the leases of limits that the settings no longer contain.
  void remove_unknown_limits(const Settings& settings);
  /// Null if this limit has not been claimed in this term.
  const LeaseTable* table(LimitId limit) const;

 private:
  static constexpr std::uint32_t kMaxGrants = 1U << 31U;
  std::map<LimitId, LeaseTable> tables_;
  std::uint32_t grants_made_ = 0;
};

}  // namespace streampick::leases
