#include "shares/lease_granter.h"

#include <algorithm>

namespace streampick::leases {

LeaseGranter::Answer LeaseGranter::answer(Time now, const Settings& settings, std::uint32_t routers,
                                          const Election& election, Address from, const Message& claim) {
  Answer answer;
  Message& message = answer.grant;
  message.kind = Message::Kind::grant;
  message.shard = claim.shard;
  message.epoch = election.epoch();
  message.sequence = claim.sequence;
  // The holder measures the duration from when it sent the claim, so the lease ends no later than the term.
  message.duration = std::min(settings.lease_duration, election.term_end() - now);
  message.grant_number = ++grants_made_;
  message.holder = claim.sender;
  const LeaseTable::Grant grant{.number = message.grant_number, .duration = message.duration};
  for (const LimitItem& item : claim.items) {
    const Limit* const limit = find_limit(settings, item.limit);
    if (limit == nullptr || shard_of(settings, item.limit) != claim.shard) {
      ++answer.unknown_items;
      continue;
    }
    const LeaseTable::Claim entry{.holder = claim.sender,
                                  .from = from,
                                  .sequence = claim.sequence,
                                  .item = item,
                                  .weight = claim.weight,
                                  .same_epoch = claim.epoch == election.epoch()};
    const auto amount = tables_[item.limit].claim(now, settings, *limit, routers, entry, grant);
    if (amount) message.items.push_back({.limit = item.limit, .amount = *amount});
  }
  return answer;
}

void LeaseGranter::remove_unknown_limits(const Settings& settings) {
  std::erase_if(tables_, [&](const auto& entry) { return find_limit(settings, entry.first) == nullptr; });
}

const LeaseTable* LeaseGranter::table(LimitId limit) const {
  const auto found = tables_.find(limit);
  return found == tables_.end() ? nullptr : &found->second;
}

}  // namespace streampick::leases
