#include "engine/deadline_queue.h"

#include <algorithm>
#include <tuple>

namespace streampick::engine {
namespace {

constexpr std::size_t kMinSweepSize = 1024;

bool is_later(const Deadline& left, const Deadline& right) { return left.is_later_than(right); }

}  // namespace

bool Deadline::is_later_than(const Deadline& other) const {
  // An absent attempt counts as the highest number.
  return std::tuple(at, request, attempt.value_or(kNone)) >
         std::tuple(other.at, other.request, other.attempt.value_or(kNone));
}

void DeadlineQueue::add(const Deadline& deadline) {
  sweep_if_doubled();
  heap_.push_back(deadline);
  std::push_heap(heap_.begin(), heap_.end(), is_later);
}

void DeadlineQueue::sweep_if_doubled() {
  if (heap_.size() < sweep_at_size_) return;
  std::erase_if(heap_, [this](const Deadline& deadline) { return !is_pending_(deadline); });
  std::make_heap(heap_.begin(), heap_.end(), is_later);
  sweep_at_size_ = std::max(kMinSweepSize, 2 * heap_.size());
}

void DeadlineQueue::drop_first() {
  std::pop_heap(heap_.begin(), heap_.end(), is_later);
  heap_.pop_back();
}

Time DeadlineQueue::next_time() {
  while (!heap_.empty() && !is_pending_(heap_.front())) drop_first();
  return heap_.empty() ? kNever : heap_.front().at;
}

std::optional<Deadline> DeadlineQueue::pop_due(Time now) {
  if (next_time() > now || heap_.empty()) return std::nullopt;
  const Deadline due = heap_.front();
  drop_first();
  return due;
}

void DeadlineQueue::advance_all(Time length) {
  for (Deadline& deadline : heap_) deadline.at -= length;
}

}  // namespace streampick::engine
