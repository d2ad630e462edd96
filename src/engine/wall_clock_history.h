/// \file
/// Steps of the wall clock observed by this process, for converting Unix times from other machines with the
/// same wall clock to the monotonic scale. No I/O.
///
/// Between two steps the wall clock has a constant offset from the monotonic one. A step forward skips
/// readings; after a step back readings occur twice. The later occurrence is assumed, which makes a server
/// younger and so its slow start longer.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "engine/time.h"

namespace streampick::engine {

class WallClockHistory {
 public:
  /// Smaller steps cannot be distinguished from the duration of reading two clocks.
  static constexpr Time kMinStep = 50'000;
  static constexpr std::size_t kMaxPeriods = 64;

  /// `time` must outlive the history.
  explicit WallClockHistory(TimeSource& time);

  /// Records a step since the last call. The time between the two calls belongs to both offsets.
  void observe();
  /// The latest time, on now()'s scale, at which the wall clock may have read `unix_time`; nothing if it has
  /// not read it yet.
  std::optional<Time> latest_reading(Time unix_time) const;

 private:
  static constexpr Time kBeginning = INT64_MIN;
  // A period with one offset, at most from `first` to `last`.
  struct Period {
    Time offset = 0;  // the wall clock's reading minus now()
    Time first = kBeginning;
    Time last = kNever;
  };

  Time offset_now() const;
  bool may_be_in(const Period& period, Time moment) const;

  TimeSource& time_;
  Time observed_at_;
  // The first period has no beginning: steps before the process's start are unknown.
  std::vector<Period> periods_;
};

}  // namespace streampick::engine
