/// \file
/// Deadlines of open requests and of their attempts, the next one first.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "streampick/router.h"

namespace streampick::engine {

/// A moment at which an attempt times out, or at which the deadline guard of a request acts.
struct Deadline {
  Time at = 0;  ///< microseconds on the host's clock
  RequestId request = 0;
  std::optional<std::uint32_t> attempt;  ///< absent: the request's deadline guard

  /// Order of the queue: by time, then by request, then attempts before the guard.
  [[nodiscard]] bool is_later_than(const Deadline& other) const;
};

/// A binary heap of deadlines with lazy deletion: entries that are no longer pending stay in it until they
/// are first, or until a sweep. A sweep is made whenever the heap has doubled since the last one, so its cost
/// is amortised over the entries added since.
///
/// Single-threaded; no clock, no I/O. The owner decides which entries are still pending.
class DeadlineQueue {
 public:
  /// Returns whether the attempt or request of the deadline has not ended yet.
  using IsPending = std::function<bool(const Deadline&)>;

  explicit DeadlineQueue(IsPending is_pending) : is_pending_(std::move(is_pending)) {}

  void add(const Deadline& deadline);

  /// The time of the next pending deadline; kNever if there is none. Removes ended entries before it.
  Time next_time();

  /// Removes and returns the next pending deadline that is due at `now`, if there is one.
  std::optional<Deadline> pop_due(Time now);

  /// Makes all deadlines `length` microseconds earlier, which keeps their order.
  void advance_all(Time length);

 private:
  void sweep_if_doubled();
  void drop_first();

  IsPending is_pending_;
  std::vector<Deadline> heap_;
  std::size_t sweep_at_size_ = 0;
};

}  // namespace streampick::engine
