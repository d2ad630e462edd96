#include "shares/candidate_order.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace streampick::leases {

namespace {

std::uint64_t score(std::uint32_t shard, Address address) {
  return XXH3_64bits_withSeed(&address, sizeof address, shard);
}

}  // namespace

void CandidateOrder::set_living(std::vector<Address> peers) {
  living_ = std::move(peers);
  living_.push_back(self_);
  std::sort(living_.begin(), living_.end());
  living_.erase(std::unique(living_.begin(), living_.end()), living_.end());
}

bool CandidateOrder::is_living(Address address) const {
  return std::binary_search(living_.begin(), living_.end(), address);
}

bool CandidateOrder::precedes_self(std::uint32_t shard, Address address) const {
  return score(shard, address) > score(shard, self_);
}

std::size_t CandidateOrder::rank(std::uint32_t shard) const {
  const auto before = std::count_if(living_.begin(), living_.end(),
                                    [&](Address address) { return precedes_self(shard, address); });
  return static_cast<std::size_t>(before);
}

Address CandidateOrder::at(std::uint32_t shard, std::size_t rank) const {
  std::vector<std::pair<std::uint64_t, Address>> scored;
  for (const Address address : living_) scored.emplace_back(score(shard, address), address);
  rank = std::min(rank, scored.size() - 1);
  const auto wanted = scored.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(scored.begin(), wanted, scored.end(), std::greater<>());
  return wanted->second;
}

}  // namespace streampick::leases
