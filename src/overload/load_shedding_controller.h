/// \file
/// Adaptive load shedding by event loop lag: decides how many requests are rejected, and which.
#pragma once

#include <cstdint>
#include <functional>

#include "overload/lag_window.h"
#include "overload/settings.h"
#include "streampick/router.h"

namespace streampick::overload {

/// The number of requests in flight does not say whether the CPU is short; the event loop's lag does: the
/// time that a probe spends in the loop's queue behind the work that is ready. Lag and CPU utilization are
/// averaged over windows of 100 ms. In a window that is overloaded the shedding level rises, the faster the
/// further the lag is above its target; in any other it falls slowly, so that the clients return gradually.
///
/// At a level L, a share L of the requests of unprotected classes is rejected, those of the lowest weight
/// first. Requests that could not be answered in time are rejected too. Protected classes are never rejected.
/// No I/O; single-threaded; all times in microseconds.
class LoadSheddingController {
 public:
  /// Reads the CPU time that the process has used so far.
  using CpuClock = std::function<Time()>;

  /// `cores`: the CPU time that the process may use per time passed.
  explicit LoadSheddingController(const Settings& settings = {}, double cores = 1);

  [[nodiscard]] bool is_disabled() const { return target_lag_ <= 0; }

  /// A probe is queued. After a long time without one the level is reset: it says nothing about the load now.
  void on_probe_queued(Time now);
  /// The loop ran a probe `lag` after it was queued. `cpu_clock` is read only where a window begins or ends.
  /// Returns whether a window ended.
  bool on_probe_run(Time now, Time lag, const CpuClock& cpu_clock);

  struct Request {
    double weight = 1;          ///< of its class, as a share of the greatest weight
    Time time_left = 0;         ///< until its client gives up
    bool is_protected = false;  ///< its class is never rejected
    std::uint64_t id = 0;       ///< any number that differs between requests
  };
  /// Whether to reject the request. At one level the answer for a request is always the same.
  [[nodiscard]] bool should_reject(const Request& request) const;

  /// The share of requests that is rejected, from 0 to 0.95.
  [[nodiscard]] double level() const { return level_; }
  /// Mean lag of the last window.
  [[nodiscard]] Time mean_lag() const { return mean_lag_; }
  /// CPU utilization of the last window; 1 is all that the process may use.
  [[nodiscard]] double cpu_utilization() const { return cpu_utilization_; }
  [[nodiscard]] std::uint64_t overloaded_windows() const { return overloaded_windows_; }

 private:
  void adjust_level(const LagWindow::Result& result);

  Time target_lag_;
  double saturated_cpu_;
  double cores_;
  LagWindow window_;
  double level_ = 0;
  Time mean_lag_ = 0;
  double cpu_utilization_ = 0;
  std::uint64_t overloaded_windows_ = 0;
};

/// Maps an id to [0, 1) by Fibonacci hashing (Knuth, TAOCP 6.4). The results are evenly spread even if the
/// ids are those of a counter.
inline double hash_to_unit_interval(std::uint64_t id) {
  constexpr std::uint64_t kGoldenRatio = 0x9e3779b97f4a7c15U;
  constexpr unsigned kBitsBeyondMantissa = 11;
  return static_cast<double>((id * kGoldenRatio) >> kBitsBeyondMantissa) * 0x1.0p-53;
}

}  // namespace streampick::overload
