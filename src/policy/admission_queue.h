#pragma once

#include <cstddef>
#include <deque>

#include "policy/admission.h"
#include "policy/class_latencies.h"
#include "policy/request_handler.h"
#include "policy/request_rules.h"
#include "policy/request_table.h"
#include "policy/timer_queue.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Requests that wait for capacity at the caches. The order is last in, first out, as in adaptive LIFO: under
/// overload the newest requests can still be answered in time.
///
/// If the queue has not been empty for the maximum wait, the backlog is a standing queue and not a burst (the
/// criterion of CoDel). The wait is then limited to the mean latency of an answer: longer waits would rarely
/// succeed, and each waiting request holds a connection.
class AdmissionQueue {
 public:
  struct Dependencies {
    const RequestRules& rules;
    RequestTable& requests;
    const ClassLatencies& latencies;
    AdmissionControl& admission;
    TimerQueue& timers;
    RequestHandler& handler;
  };
  explicit AdmissionQueue(const Dependencies& deps) : deps_(deps) {}

  /// Adds the request, then starts queued requests while there is capacity.
  void enqueue(RequestState& request, Time now);

  /// Handles the end of the request's maximum wait: removes it from the queue and falls back to the origin.
  void on_timeout(RequestState& request, Time now);

  /// Starts queued requests while there is capacity, the newest first. Inline because it runs after each
  /// event, mostly with an empty queue.
  void drain(Time now) {
    if (!queue_.empty()) {
      start_newest(now);
    }
  }

  [[nodiscard]] bool empty() const { return queue_.empty(); }
  /// Number of entries, including requests that no longer wait but have not been removed yet.
  [[nodiscard]] std::size_t size() const { return queue_.size(); }

 private:
  void start_newest(Time now);
  [[nodiscard]] bool is_waiting(RequestRef ref) const;

  Dependencies deps_;
  std::deque<RequestRef> queue_;  // oldest first
  Time nonempty_since_ = 0;
};

}  // namespace streampick::policy
