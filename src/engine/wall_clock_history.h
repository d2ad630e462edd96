// The steps of the wall clock that this process has seen, so that a Unix time told by another machine, which
// reads the same clock, can be brought to the monotonic scale. No I/O.
//
// Between two steps the wall clock runs at a constant offset from the monotonic one. A step forward leaves
// readings out; after a step back readings come a second time, and which of the two was meant nobody can
// tell: the later one is taken, by which a server is younger, so colder.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "engine/time.h"

namespace streampick::engine {

class WallClockHistory {
 public:
  /// Smaller steps are not told from the time that reading two clocks takes.
  static constexpr Time kLeastStep = 50'000;
  static constexpr std::size_t kMaxPeriods = 64;

  /// `time` outlives it.
  explicit WallClockHistory(TimeSource& time);

  /// Notes a step since the last call. What lies between two calls belongs to the offsets of both.
  void observe();
  /// The latest moment, on now()'s scale, at which the wall clock may have read `unix_time`; none: it never
  /// has yet.
  std::optional<Time> latest_reading(Time unix_time) const;

 private:
  static constexpr Time kBeginning = INT64_MIN;
  // A time of one offset, which it may have had from `first` to `last`.
  struct Period {
    Time offset = 0;  // wall clock less now()
    Time first = kBeginning;
    Time last = kNever;
  };

  Time offset_now() const;
  bool may_be_in(const Period& period, Time moment) const;

  TimeSource& time_;
  Time observed_at_;
  // The first reaches back without end: of a step before its start a process can know nothing.
  std::vector<Period> periods_;
};

}  // namespace streampick::engine
