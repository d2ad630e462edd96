/// \file
/// Event loop lag and CPU utilization over one measuring window.
#pragma once

#include <cstddef>

#include "streampick/router.h"

namespace streampick::overload {

/// Collects samples until its owner ends the window and begins the next. All times are in microseconds. `now`
/// is on any monotonic scale, and is never 0.
class LagWindow {
 public:
  static constexpr Time kLength = 100'000;  ///< microseconds

  struct Result {
    double mean_lag = 0;
    double cpu_utilization = 0;  ///< CPU time per time passed and core
    /// Duration in units of kLength: above 1 if the first sample after its end came late.
    double lengths = 0;
  };

  /// Begins a window; `cpu_time` is what the process has used so far.
  void begin(Time now, Time cpu_time);
  [[nodiscard]] bool has_begun() const { return start_ != 0; }
  [[nodiscard]] Time age(Time now) const { return now - start_; }
  [[nodiscard]] bool is_over(Time now) const { return age(now) >= kLength; }

  void add(Time lag);
  /// Requires at least one sample.
  [[nodiscard]] Result result(Time now, Time cpu_time, double cores) const;

 private:
  Time start_ = 0;
  Time cpu_time_at_start_ = 0;
  double lag_sum_ = 0;
  std::size_t samples_ = 0;
};

}  // namespace streampick::overload
