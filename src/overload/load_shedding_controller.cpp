#include "overload/load_shedding_controller.h"

#include <algorithm>

namespace streampick::overload {

namespace {
/// Time without a probe after which the level is reset.
constexpr Time kResetAfter = 20 * LagWindow::kLength;
constexpr double kMinCores = 0.01;

// Steps of the level for each window.
constexpr double kMaxLevel = 0.95;
constexpr double kBaseIncrease = 0.04;
constexpr double kProportionalIncrease = 0.12;  ///< at a lag of twice the target or more
constexpr double kDecrease = 0.02;

/// A saturated CPU counts as overload only if the lag is at least this share of its target: a loop that keeps
/// up may be busy.
constexpr double kMinLagShareIfSaturated = 0.5;

/// Iterations of the event loop that a request still needs: it is read, forwarded and answered.
constexpr Time kTurnsPerRequest = 3;
/// How much a request's weight decides about its rejection; its id decides the rest.
constexpr double kWeightInfluence = 0.4;
}  // namespace

LoadSheddingController::LoadSheddingController(const Settings& settings, double cores)
    : target_lag_(settings.target_loop_lag),
      saturated_cpu_(settings.saturated_cpu),
      cores_(std::max(kMinCores, cores)) {}

void LoadSheddingController::on_probe_queued(Time now) {
  if (level_ > 0 && window_.age(now) > kResetAfter) {
    level_ = 0;
  }
}

bool LoadSheddingController::on_probe_run(Time now, Time lag, const CpuClock& cpu_clock) {
  if (!window_.has_begun()) {
    window_.begin(now, cpu_clock());
  }
  window_.add(lag);
  if (!window_.is_over(now)) {
    return false;
  }
  const Time cpu_time = cpu_clock();
  adjust_level(window_.result(now, cpu_time, cores_));
  window_.begin(now, cpu_time);
  return true;
}

void LoadSheddingController::adjust_level(const LagWindow::Result& result) {
  mean_lag_ = static_cast<Time>(result.mean_lag);
  cpu_utilization_ = result.cpu_utilization;
  const double relative_excess = result.mean_lag / static_cast<double>(target_lag_) - 1;
  // A loop that uses all of its CPU time is overloaded even below the target: requests wait unread in the
  // sockets.
  const bool is_saturated = cpu_utilization_ > saturated_cpu_ && relative_excess > -kMinLagShareIfSaturated;
  const bool is_overloaded = relative_excess > 0 || is_saturated;
  if (!is_overloaded) {
    level_ = std::max(0.0, level_ - kDecrease * result.lengths);
    return;
  }
  ++overloaded_windows_;
  const double proportional_increase = kProportionalIncrease * std::clamp(relative_excess, 0.0, 1.0);
  level_ = std::min(kMaxLevel, level_ + kBaseIncrease + proportional_increase);
}

bool LoadSheddingController::should_reject(const Request& request) const {
  if (level_ <= 0 || request.is_protected) {
    return false;
  }
  if (request.time_left < kTurnsPerRequest * mean_lag_) {
    return true;
  }
  const double chance = hash_to_unit_interval(request.id);
  const double rank = chance * (1 - kWeightInfluence) + kWeightInfluence * request.weight;
  return rank < level_;
}

}  // namespace streampick::overload
