/// \file
/// SWIM's suspicion with Lifeguard's dynamic timeout: independent confirmations shorten it. No I/O, no clock.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "membership/settings.h"

namespace streampick::membership {

/// Rounds in which gossip reaches about all of `members`: ceil(log2(members + 1)).
int gossip_rounds(std::size_t members);

/// One suspected member.
class Suspicion {
 public:
  /// `members` counts the live members of the view, this process among them.
  Suspicion(InstanceId accuser, Time now, std::size_t members, Time period, const SuspicionRule& rule);

  /// Returns whether this is a new confirmation, which is then to be disseminated.
  bool confirm(InstanceId accuser);
  /// When the member is to be declared unreachable.
  [[nodiscard]] Time deadline() const { return deadline_; }
  /// The process was suspended for so long and could not hear a refutation.
  void extend(Time suspended);
  [[nodiscard]] std::size_t accuser_count() const { return accusers_.size(); }
  [[nodiscard]] InstanceId accuser(std::size_t index) const;

 private:
  void update_deadline();

  Time started_at_;
  Time min_timeout_ = 0;
  Time max_timeout_ = 0;
  Time deadline_ = 0;
  std::size_t wanted_confirmations_;
  std::set<InstanceId> accusers_;
};

/// All suspected members.
class Suspicions {
 public:
  /// Does nothing if the member is suspected already.
  void start(InstanceId member, const Suspicion& suspicion) { suspicions_.emplace(member, suspicion); }
  /// Returns whether this is a new confirmation of a running suspicion.
  bool confirm(InstanceId member, InstanceId accuser);
  void erase(InstanceId member) { suspicions_.erase(member); }
  void clear() { suspicions_.clear(); }
  void extend_all(Time suspended);
  /// nullptr if the member is not suspected.
  [[nodiscard]] const Suspicion* find(InstanceId member) const;
  [[nodiscard]] std::vector<InstanceId> expired(Time now) const;
  /// kNever without suspicions.
  [[nodiscard]] Time next_deadline() const;

 private:
  std::map<InstanceId, Suspicion> suspicions_;
};

}  // namespace streampick::membership
