#include "engine/transaction_ids.h"

#include <cstddef>

namespace streampick::engine {
namespace {

constexpr Time kRememberEnded = 2'000'000;  // microseconds from a request's end until its id is freed
constexpr std::size_t kMaxEnded = 4096;

}  // namespace

bool TransactionIds::insert(std::uint64_t id, Time now) {
  forget_old(now);
  return ids_.insert(id).second;
}

void TransactionIds::ended(std::uint64_t id, Time now) {
  ended_.push_back({now, id});
  forget_old(now);
}

void TransactionIds::forget_old(Time now) {
  while (!ended_.empty() && (ended_.size() > kMaxEnded || now - ended_.front().at > kRememberEnded)) {
    ids_.erase(ended_.front().id);
    ended_.pop_front();
  }
}

}  // namespace streampick::engine
