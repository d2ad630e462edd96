// The granter's side of one shard: divides its limits among the holders that claim. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>

#include "shares/election.h"
#include "shares/lease_table.h"
#include "shares/settings.h"

namespace streampick::leases {

/// The lease tables of one term.
///
/// Invariant: a lease ends within the granter's term. Tests: LeaseModel, LeaseModelMutation `clock_margin`.
class LeaseGranter {
 public:
  struct Answer {
    Message grant;                    // no items: nothing to send
    std::uint64_t unknown_items = 0;  // of limits that this router or this shard lacks
  };

  /// Whether the next grant has a number; otherwise a new term has to begin.
  bool has_grant_numbers() const { return grants_made_ < kMaxGrants; }
  /// Answers a claim. This process is the granter by `election`.
  Answer answer(Time now, const Settings& settings, std::uint32_t routers, const Election& election,
                Address from, const Message& claim);
  /// Forgets all leases: the term has ended.
  void clear() { *this = LeaseGranter(); }
  /// Forgets the leases of limits that are not in the settings any more.
  void remove_unknown_limits(const Settings& settings);
  /// Null: nobody has claimed of this limit in this term.
  const LeaseTable* table(LimitId limit) const;

 private:
  static constexpr std::uint32_t kMaxGrants = 1U << 31U;
  std::map<LimitId, LeaseTable> tables_;
  std::uint32_t grants_made_ = 0;
};

}  // namespace streampick::leases
