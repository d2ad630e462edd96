#include "engine/transaction_ids.h"

namespace streampick::engine {

bool TransactionIds::insert(std::uint64_t id, Time now) {
  forget_old(now);
  return ids_.insert(id).second;
}

void TransactionIds::ended(std::uint64_t id, Effect effect, Time now) {
  EndedIds& ended = effect == Effect::possible ? with_effect_ : without_effect_;
  ended.ids.push_back({now, id});
  forget_old(now);
}

void TransactionIds::forget_old(Time now) {
  forget_old(without_effect_, now);
  forget_old(with_effect_, now);
}

void TransactionIds::forget_old(EndedIds& ended, Time now) {
  std::deque<Ended>& ids = ended.ids;
  while (!ids.empty() && (ids.size() > ended.max || now - ids.front().at > ended.remembered_for)) {
    ids_.erase(ids.front().id);
    ids.pop_front();
  }
}

}  // namespace streampick::engine
