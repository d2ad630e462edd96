/// \file
/// SWIM's dissemination component: changes are piggybacked on messages as updates. Each update is sent a
/// limited number of times, and those sent least often go first.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "membership/member_table.h"
#include "membership/message.h"
#include "membership/random_source.h"
#include "membership/suspicion.h"

namespace streampick::membership {

class DisseminationQueue {
 public:
  /// The state that fill() reads.
  struct FillInput {
    const MemberTable& table;
    const Suspicions& suspicions;
    std::size_t live_members;
    std::size_t max_datagram_size;
  };

  /// Starts to disseminate the member's record. `is_new`: receivers may not know the instance yet, so the
  /// record is sent with its name and address.
  void add(InstanceId member, bool is_new = false);
  void erase(InstanceId member) { pending_.erase(member); }
  void clear() { pending_.clear(); }
  [[nodiscard]] bool empty() const { return pending_.empty(); }
  [[nodiscard]] std::size_t size() const { return pending_.size(); }

  /// Adds `first`, then as many pending updates as fit into a datagram. A SyncRange message gets no pending
  /// updates.
  void fill(Message& message, const std::vector<Record>& first, const FillInput& input, Time now,
            RandomSource& random);

 private:
  struct Pending {
    int transmissions = 0;
    bool is_new = false;
  };
  [[nodiscard]] std::vector<InstanceId> least_sent(std::size_t count) const;

  std::map<InstanceId, Pending> pending_;
};

}  // namespace streampick::membership
