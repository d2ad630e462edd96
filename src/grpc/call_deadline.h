// The deadline of a gRPC call. gRPC states it as a time of the wall clock; at the start of the call it is
// converted to monotonic time, so that a step of the wall clock does not move it.
#pragma once

#include <chrono>
#include <optional>

namespace streampick::rpc {

/// The clocks that a call reads; tests replace them. May be used from any thread.
class CallClock {
 public:
  virtual ~CallClock() = default;
  virtual std::chrono::system_clock::time_point wall() const { return std::chrono::system_clock::now(); }
  virtual std::chrono::steady_clock::time_point monotonic() const { return std::chrono::steady_clock::now(); }
};

class CallDeadline {
 public:
  /// `deadline`: the ClientContext's; time_point::max(): none. `clock` must outlive the CallDeadline.
  CallDeadline(std::chrono::system_clock::time_point deadline, const CallClock& clock) : clock_(&clock) {
    if (deadline == std::chrono::system_clock::time_point::max()) return;
    left_ = std::chrono::floor<std::chrono::microseconds>(deadline - clock.wall());
    end_ = clock.monotonic() + *left_;
  }
  /// The time from the start of the call to the deadline, zero or less if it had passed; none: no deadline.
  std::optional<std::chrono::microseconds> left() const { return left_; }
  bool is_over() const { return end_ && clock_->monotonic() >= *end_; }

 private:
  const CallClock* clock_;
  std::optional<std::chrono::microseconds> left_;
  std::optional<std::chrono::steady_clock::time_point> end_;
};

}  // namespace streampick::rpc
