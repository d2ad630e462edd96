#include "membership/dissemination_queue.h"

#include <algorithm>
#include <utility>

#include "membership/wire.h"

namespace streampick::membership {
namespace {

// Transmissions of an update in addition to gossip_rounds().
constexpr int kExtraTransmissions = 2;
// Approximate size of the smallest encoded update.
constexpr std::size_t kSmallUpdateBytes = 16;

// Adds records to a message up to the maximum datagram size.
class UpdateWriter {
 public:
  UpdateWriter(Message& message, std::size_t max_datagram_size)
      : message_(message),
        max_datagram_size_(max_datagram_size),
        size_(max_encoded_size_without_updates(message)) {}

  // Returns false if the record does not fit.
  bool add(const Record& record) {
    const std::size_t record_size = max_encoded_size(record);
    if (size_ + record_size > max_datagram_size_ || message_.updates.size() >= kMaxUpdates) {
      return false;
    }
    size_ += record_size;
    message_.updates.push_back(record);
    return true;
  }
  // Upper bound of the number of further updates that fit.
  std::size_t max_more() const {
    return (max_datagram_size_ - std::min(max_datagram_size_, size_)) / kSmallUpdateBytes + 1;
  }

 private:
  Message& message_;
  std::size_t max_datagram_size_;
  std::size_t size_;
};

}  // namespace

void DisseminationQueue::add(InstanceId member, bool is_new) {
  pending_[member] = {.transmissions = 0, .is_new = is_new};
}

std::vector<InstanceId> DisseminationQueue::least_sent(std::size_t count) const {
  std::vector<std::pair<int, InstanceId>> order;
  order.reserve(pending_.size());
  for (const auto& [member, pending] : pending_) {
    order.emplace_back(pending.transmissions, member);
  }
  const std::size_t taken = std::min(order.size(), count);
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(taken), order.end());
  std::vector<InstanceId> members;
  members.reserve(taken);
  for (std::size_t i = 0; i < taken; ++i) {
    members.push_back(order[i].second);
  }
  return members;
}

void DisseminationQueue::fill(Message& message, const std::vector<Record>& first, const FillInput& input,
                              Time now, RandomSource& random) {
  UpdateWriter writer(message, input.max_datagram_size);
  for (const Record& record : first) {
    if (!writer.add(record)) {
      return;
    }
  }
  // A SyncRange message holds the records of one range only: the receiver replies with its own records that
  // are not among them.
  if (message.kind() == MessageKind::sync_range || pending_.empty()) {
    return;
  }
  const int max_transmissions = gossip_rounds(input.live_members) + kExtraTransmissions;
  for (const InstanceId instance : least_sent(writer.max_more())) {
    const auto pending = pending_.find(instance);
    const Member* member = input.table.find(instance);
    if (member == nullptr) {
      pending_.erase(pending);
      continue;
    }
    Record record = input.table.record_to_send(*member, now, !pending->second.is_new);
    // A record names one accuser. Choose it at random, so that each receiver learns of all accusers over
    // time.
    if (const Suspicion* suspicion = input.suspicions.find(instance)) {
      record.suspected_by = suspicion->accuser(random.below(suspicion->accuser_count()));
    }
    if (!writer.add(record)) {
      return;
    }
    if (++pending->second.transmissions >= max_transmissions) {
      pending_.erase(pending);
    }
  }
}

}  // namespace streampick::membership
