// The holder role: claims what this router demands and keeps the granted leases. No I/O, no clock.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "shares/settings.h"

namespace streampick::leases {

/// What this router may use of a limit. Call usable() at the moment of use, because the lease may have
/// expired.
struct Allowance {
  LimitKind kind = LimitKind::hard;
  double guaranteed = 0;  // without a lease
  double leased = 0;
  Time lease_end = 0;
  double usable(Time now) const {
    const bool lease_is_valid = now < lease_end;
    if (kind == LimitKind::soft) return lease_is_valid ? leased : guaranteed;
    return guaranteed + (lease_is_valid ? leased : 0);
  }
  friend bool operator==(const Allowance&, const Allowance&) = default;
};

/// The leases of this process for all limits.
///
/// Invariants: a lease ends here before it ends at its granter; a grant with an older epoch than that of a
/// grant already applied has no effect. Tests: LeaseModel.GrantForAnotherIncarnation_IsNotApplied,
/// LeaseModelMutation `clock_margin` and `use_after_expiry`, LeaseModelMutationOfFence.
class LeaseHolder {
 public:
  enum class ClaimPurpose { renew, return_all };
  struct GrantResult {
    bool is_stale = false;          // nothing was applied
    std::uint64_t applied = 0;      // leases
    bool must_claim_again = false;  // to return a part soon, or to ask for more
  };

  LeaseHolder(const Settings& settings, Incarnation self);

  /// Before start(), nothing of a hard limit is usable.
  void start();
  /// Gives up all leases. `process_ends`: also gives up the guaranteed minima, which pass to the successor
  /// process.
  void leave(bool process_ends);
  void set_routers(std::uint32_t routers);
  /// Leases of limits that remain in the settings are kept until they end.
  void set_limits(const std::vector<Limit>& limits);
  /// Returns whether demand has grown beyond the allowance.
  bool set_demand(Time now, const Settings& settings, LimitId limit, double demand, double in_use);

  /// Returns the claims for one shard, each for at most max_items limits.
  std::vector<Message> make_claims(Time now, const Settings& settings, std::uint32_t shard,
                                   ClaimPurpose purpose);
  GrantResult apply_grant(Time now, const Settings& settings, const Message& grant);

  bool has_limit(LimitId limit) const { return holdings_.contains(limit); }
  Allowance allowance(const Settings& settings, LimitId limit) const;
  double demand(LimitId limit) const;
  /// Epoch of the last applied grant. Grants of older epochs are rejected.
  const Epoch& fence(std::uint32_t shard) const { return fences_[shard]; }
  std::uint32_t routers() const { return routers_; }
  /// Whether an allowance has changed since the last call.
  bool take_changed() { return std::exchange(changed_, false); }

 private:
  struct Holding {
    Limit limit;
    double amount = 0;
    double demand = 0;
    double in_use = 0;
    Time lease_end = 0;
    std::uint32_t last_grant = 0;  // number of the last applied grant of the fence's epoch
  };
  struct PendingClaim {
    std::uint32_t sequence = 0;
    Time sent = 0;
  };
  // Enough for the claims of four periods with one limit in each claim.
  static constexpr std::size_t kPendingClaims = 4 * kMaxLimits;

  LimitItem claim_item(Time now, const Settings& settings, Holding& holding, ClaimPurpose purpose);
  bool apply_item(Time now, const Settings& settings, const Message& grant, const LimitItem& item,
                  Holding& holding, Time claim_sent);
  void raise_fence(const Settings& settings, std::uint32_t shard, const Epoch& epoch);
  double guaranteed(const Settings& settings, const Holding& holding) const;
  Allowance allowance_of(const Settings& settings, const Holding& holding) const;

  Incarnation self_;
  std::vector<Epoch> fences_;  // by shard
  std::map<LimitId, Holding> holdings_;
  std::array<PendingClaim, kPendingClaims> pending_claims_{};  // ring buffer, indexed by sequence
  std::uint32_t last_sequence_ = 0;
  std::uint32_t routers_;
  bool has_started_ = false;
  bool has_left_ = false;
  bool process_ends_ = false;
  bool changed_ = true;
};

}  // namespace streampick::leases
