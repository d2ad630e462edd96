#include "policy/admission_queue.h"

#include <algorithm>

namespace streampick::policy {
namespace {

// Maximum time in the queue, as a share of the latency objective.
constexpr double kMaxWaitPerObjective = 0.2;

}  // namespace

void AdmissionQueue::enqueue(RequestState& request, Time now) {
  if (queue_.empty()) {
    nonempty_since_ = now;
  }
  Time max_wait = scaled(deps_.rules.class_of(request).latency_objective, kMaxWaitPerObjective);
  if (now - nonempty_since_ > max_wait) {
    const auto mean_latency = static_cast<Time>(deps_.latencies.mean(request.request));
    max_wait = std::min(max_wait, mean_latency);
  }
  request.is_queued = true;
  queue_.push_back(request.self);
  deps_.timers.add(now + max_wait, TimerKind::admission_timeout, request.self);
  drain(now);
}

void AdmissionQueue::on_timeout(RequestState& request, Time now) {
  request.is_queued = false;
  // Removes entries from the old end that no longer wait. Under sustained overload drain() never reaches
  // them.
  while (!queue_.empty() && !is_waiting(queue_.front())) {
    queue_.pop_front();
  }
  deps_.handler.fall_back_to_origin(request, now);
}

void AdmissionQueue::start_newest(Time now) {
  while (!queue_.empty()) {
    const RequestRef ref = queue_.back();
    if (!is_waiting(ref)) {
      queue_.pop_back();
      continue;
    }
    RequestState& request = deps_.requests.at(ref.slot);
    if (!deps_.admission.admits(request.request, QuotaState::within, now)) {
      return;
    }
    queue_.pop_back();
    request.is_queued = false;
    deps_.handler.start(request, now);
  }
}

bool AdmissionQueue::is_waiting(RequestRef ref) const {
  return deps_.requests.is_active(ref) && deps_.requests.at(ref.slot).is_queued;
}

}  // namespace streampick::policy
