/// \file
/// SWIM's suspicion mechanism with Lifeguard's dynamic timeout, which independent confirmations shorten. No
/// I/O, no clock.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "membership/settings.h"

namespace streampick::membership {

/// Number of rounds in which gossip reaches nearly all of `members` processes: ceil(log2(members + 1)).
int gossip_rounds(std::size_t members);

/// The suspicion of one member.
class Suspicion {
 public:
  /// `members`: number of live members in the view, including this process.
  Suspicion(InstanceId accuser, Time now, std::size_t members, Time period, const SuspicionRule& rule);

  /// Returns whether the confirmation is new; it is then to be disseminated.
  bool confirm(InstanceId accuser);
  /// When the member is to be declared unreachable.
  [[nodiscard]] Time deadline() const { return deadline_; }
  /// Moves the deadline by the duration for which this process was suspended and could not receive
  /// refutations.
  void extend(Time suspended);
  [[nodiscard]] std::size_t accuser_count() const { return accusers_.size(); }
  [[nodiscard]] InstanceId accuser(std::size_t index) const;

 private:
  void update_deadline();

  Time started_at_;
  Time min_timeout_ = 0;
  Time max_timeout_ = 0;
  Time deadline_ = 0;
  std::size_t max_confirmations_;
  std::set<InstanceId> accusers_;
};

/// The suspicions of all suspected members.
class Suspicions {
 public:
  /// Does nothing if the member is already suspected.
  void start(InstanceId member, const Suspicion& suspicion) { suspicions_.emplace(member, suspicion); }
  /// Returns whether this is a new confirmation of a running suspicion.
  bool confirm(InstanceId member, InstanceId accuser);
  void erase(InstanceId member) { suspicions_.erase(member); }
  void clear() { suspicions_.clear(); }
  void extend_all(Time suspended);
  /// nullptr if the member is not suspected.
  [[nodiscard]] const Suspicion* find(InstanceId member) const;
  [[nodiscard]] std::vector<InstanceId> expired(Time now) const;
  /// kNever if there are no suspicions.
  [[nodiscard]] Time next_deadline() const;

 private:
  std::map<InstanceId, Suspicion> suspicions_;
};

}  // namespace streampick::membership
