// The order in which live processes stand for election. It is the same at all processes with the same view.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "shares/messages.h"

namespace streampick::leases {

/// Orders the live processes of each shard by rendezvous hashing. The order only reduces the number of
/// competing candidates; safety does not depend on it, so views may differ.
class CandidateOrder {
 public:
  explicit CandidateOrder(Address self) : self_(self), living_{self} {}

  /// `peers`: the other live processes.
  void set_living(std::vector<Address> peers);
  bool is_living(Address address) const;
  /// Whether `address` comes before this process in the order.
  bool precedes_self(std::uint32_t shard, Address address) const;
  /// Position of this process in the order, from 0.
  std::size_t rank(std::uint32_t shard) const;
  /// The process at position `rank`, or the last process if there are fewer.
  Address at(std::uint32_t shard, std::size_t rank) const;

 private:
  Address self_;
  std::vector<Address> living_;  // with self, sorted
};

}  // namespace streampick::leases
