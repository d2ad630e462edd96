#include "engine/wall_clock_history.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace streampick::engine {

WallClockHistory::WallClockHistory(TimeSource& time) : time_(time), observed_at_(time.now()) {
  // now()'s scale begins at the wall clock's reading: a small difference is the time that reading took.
  const Time offset = offset_now();
  periods_.push_back({std::abs(offset) < kMinStep ? 0 : offset});
}

Time WallClockHistory::offset_now() const { return time_.wall_time() - time_.now(); }

void WallClockHistory::observe() {
  const Time now = time_.now();
  const Time before = std::exchange(observed_at_, now);
  const Time offset = offset_now();
  if (std::abs(offset - periods_.back().offset) < kMinStep) return;
  periods_.back().last = now;
  periods_.push_back({offset, before, kNever});
  if (periods_.size() <= kMaxPeriods) return;
  periods_.erase(periods_.begin());
  periods_.front().first = kBeginning;
}

std::optional<Time> WallClockHistory::latest_reading(Time unix_time) const {
  std::optional<Time> latest;
  for (const Period& period : periods_) {
    const Time moment = unix_time - period.offset;
    if (!may_be_in(period, moment)) continue;
    const Time at = std::min(moment, observed_at_);
    latest = std::max(latest.value_or(at), at);
  }
  return latest;
}

// Allows a tolerance of kMinStep: without it, a reading of the present moment might be attributed to an
// earlier period.
bool WallClockHistory::may_be_in(const Period& period, Time moment) const {
  const bool too_early = period.first != kBeginning && moment < period.first - kMinStep;
  return !too_early && moment <= std::min(period.last, observed_at_) + kMinStep;
}

}  // namespace streampick::engine
