#include "overload/lag_window.h"

namespace streampick::overload {

void LagWindow::begin(Time now, Time cpu_time) {
  start_ = now;
  cpu_time_at_start_ = cpu_time;
  lag_sum_ = 0;
  samples_ = 0;
}

void LagWindow::add(Time lag) {
  lag_sum_ += static_cast<double>(lag);
  ++samples_;
}

LagWindow::Result LagWindow::result(Time now, Time cpu_time, double cores) const {
  const auto passed = static_cast<double>(age(now));
  const auto cpu_used = static_cast<double>(cpu_time - cpu_time_at_start_);
  return {.mean_lag = lag_sum_ / static_cast<double>(samples_),
          .cpu_utilization = cpu_used / (passed * cores),
          .lengths = passed / static_cast<double>(kLength)};
}

}  // namespace streampick::overload
