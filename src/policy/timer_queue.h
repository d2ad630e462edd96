#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <tuple>
#include <vector>

#include "policy/request_table.h"
#include "streampick/router.h"

namespace streampick::policy {

/// The action to take when a timer is due.
enum class TimerKind : std::uint8_t {
  // Timers of one request, dropped once the request is over or its answer is being forwarded.
  hedge,              ///< check the attempts in flight; send a hedged request if needed
  deadline,           ///< the deadline of the request
  retry,              ///< retry a request for which no endpoint was available
  admission_timeout,  ///< leave the admission queue; also dropped once the request has left it
  // Timers of the router.
  poll_discovery,
  tick,
  close_idle,
  drain_queues,  ///< a paused limit resumes
};

struct Timer {
  Time at = 0;
  std::uint64_t sequence = 0;  ///< orders timers that are due at the same time
  RequestRef request;
  TimerKind kind = TimerKind::tick;

  friend bool operator>(const Timer& left, const Timer& right) {
    return std::tie(left.at, left.sequence) > std::tie(right.at, right.sequence);
  }
};

/// Pending timers, in the order in which they are due. Timers are never cancelled; obsolete ones are dropped
/// when they reach the front.
class TimerQueue {
 public:
  explicit TimerQueue(const RequestTable& requests) : requests_(requests) {}

  void add(Time at, TimerKind kind) { add(at, kind, RequestRef{}); }
  void add(Time at, TimerKind kind, RequestRef request) { timers_.push({at, sequence_++, request, kind}); }

  /// Time of the next timer that is still needed; kNever if there is none.
  Time next_due();

  /// Removes and returns the next timer that is due at `now` and still needed; nullopt if there is none.
  std::optional<Timer> pop_due(Time now);

 private:
  [[nodiscard]] bool is_obsolete(const Timer& timer) const;

  const RequestTable& requests_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t sequence_ = 0;
};

}  // namespace streampick::policy
