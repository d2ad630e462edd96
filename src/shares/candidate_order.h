// Order in which living processes stand for election, equal at all that have the same view.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "shares/messages.h"

namespace streampick::leases {

/// Rendezvous hashing of the living processes for each shard. Only a hint: safety does not depend on the
/// view.
class CandidateOrder {
 public:
  explicit CandidateOrder(Address self) : self_(self), living_{self} {}

  /// `peers`: the other living processes.
  void set_living(std::vector<Address> peers);
  bool is_living(Address address) const;
  /// Whether `address` stands before this process.
  bool precedes_self(std::uint32_t shard, Address address) const;
  /// Place of this process in the order; 0: first.
  std::size_t rank(std::uint32_t shard) const;
  /// The process at `rank`, or the last one.
  Address at(std::uint32_t shard, std::size_t rank) const;

 private:
  Address self_;
  std::vector<Address> living_;  // with self, sorted
};

}  // namespace streampick::leases
