// A granter's table of the leases of one limit in one epoch. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "shares/settings.h"

namespace streampick::leases {

/// The holders of one limit with their demands, and what may be in use under this granter's leases.
///
/// Invariant of a hard limit: outstanding(now) is at most leasable_total() at every instant, because a grant
/// replaces an earlier one only when its holder has acknowledged it, or when the earlier one has expired.
/// Tests: LeaseTable.RandomClaims_KeepOutstandingWithinPool, LeaseModelMutationOfFence, LeaseModelMutation
/// `unacknowledged_grants`.
class LeaseTable {
 public:
  static constexpr std::size_t kMaxHolders = 2'048;
  static constexpr std::size_t kMaxHoldersPerAddress = 4;

  struct Claim {
    Incarnation holder = 0;
    Address from = 0;
    std::uint32_t sequence = 0;  // claims of a holder are applied in this order; late claims are ignored
    LimitItem item;
    double weight = 1;
    bool same_epoch = false;  // whether the acknowledged grant has this table's epoch
  };
  struct Grant {
    std::uint32_t number = 0;
    Time duration = 0;  // from when the claim is processed
  };

  /// Applies a claim and returns the amount leased by `grant`, or nothing if the claim is late or there is no
  /// room for its holder. `routers`: maximum number of processes in the fleet.
  std::optional<double> claim(Time now, const Settings& settings, const Limit& limit, std::uint32_t routers,
                              const Claim& claim, const Grant& grant);

  /// Maximum amount that may be in use under this table's leases.
  double outstanding(Time now) const;
  double total_demand() const;
  std::size_t holder_count() const { return holders_.size(); }

 private:
  struct OutstandingGrant {
    std::uint32_t number = 0;
    double amount = 0;
    Time end = 0;  // when all work that began under the grant has ended
  };
  struct Holder {
    Address address = 0;
    bool replaced = false;  // a later process has claimed from its address
    std::uint32_t last_sequence = 0;
    Time last_claim = 0;
    double demand = 0;
    double weight = 1;
    double shortfall = 0;  // accumulated in integral divisions
    double share = 0;      // of the last division
    double amount = 0;     // of the last grant
    double in_use = 0;     // beyond the guaranteed minimum, as last reported
    Time in_use_end = 0;
    Time above_share_since = 0;                 // 0: the demand is within the share
    std::vector<OutstandingGrant> outstanding;  // by increasing number and decreasing amount
    double exposure(Time now) const;
  };

  Holder* find_or_add(const Claim& claim);
  void acknowledge(Time now, const Settings& settings, Holder& holder, const Claim& claim);
  void update_demand(Time now, const Settings& settings, const Limit& limit, Holder& holder,
                     const Claim& claim);
  double retire_predecessors(Time now, const Holder& holder);
  void remove_silent_holders(Time now, const Settings& settings);
  double pool(Time now, const Settings& settings, const Limit& limit, std::uint32_t routers) const;
  void divide(Time now, const Settings& settings, const Limit& limit, double pool);
  double burst_from_reserve(Time now, const Settings& settings, const Limit& limit, double pool,
                            Holder& holder) const;
  double lease_hard(Time now, const Settings& settings, Holder& holder, double amount, double pool,
                    const Grant& grant) const;

  std::map<Incarnation, Holder> holders_;
  Time last_division_ = 0;
  Time last_shortfall_update_ = 0;
  bool needs_division_ = false;
};

}  // namespace streampick::leases
