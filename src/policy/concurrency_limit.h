#pragma once

#include <algorithm>

#include "policy/durations.h"

namespace streampick::policy {

/// A limit on the number of operations in flight. A limit below one acts as a rate: one operation at a time
/// with a pause after each.
class ConcurrencyLimit {
 public:
  [[nodiscard]] double value() const { return value_; }
  void set_value(double value) { value_ = value; }

  [[nodiscard]] bool has_capacity(Time now, double in_flight) const {
    return in_flight < value_ && now >= resumes_at_;
  }

  /// Call when an operation ends that took `duration` microseconds. If the limit is below one, pauses so that
  /// operations run for that share of the time. The pause is at most `max_pause` microseconds.
  void pause_after(Time now, double duration, Time max_pause) {
    if (value_ < 1) {
      resumes_at_ = now + std::min(max_pause, static_cast<Time>(duration * (1 / value_ - 1)));
    }
  }

  /// End of the last pause.
  [[nodiscard]] Time resumes_at() const { return resumes_at_; }

 private:
  double value_ = 0;
  Time resumes_at_ = 0;
};

}  // namespace streampick::policy
