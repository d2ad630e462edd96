// The time as the engine knows it: a clock and timers that a host provides. The same engine runs on an
// event loop, inside a host process and on a hand-driven clock.
//
// Spans of time (deadlines, windows, waits, graces, ejections) are counted on now(), which no step of the
// system's wall clock moves. wall_time() is for what is told or stored as Unix time; server_starts.h says how
// such a time is brought to now()'s scale.
#pragma once

#include <functional>
#include <memory>

#include "streampick/router.h"

namespace streampick::engine {

// Calls its function once the time that it was set to has come, never from within set().
class Timer {
 public:
  virtual ~Timer() = default;
  virtual void set(Time at) = 0;  // replaces the time set before
  virtual void cancel() = 0;
};

class TimeSource {
 public:
  virtual ~TimeSource() = default;
  /// Monotonic time: microseconds that never go back or jump. Its scale begins at the wall clock's reading
  /// when the source was made. All of one batch of events happens at one time.
  virtual Time now() = 0;
  /// Unix time in microseconds, as the system's wall clock has it at now(). It may step, forward or back.
  virtual Time wall_time() = 0;
  /// The same clock, read anew: now() may be as old as the batch has taken so far. For deadlines that are
  /// told to others, and for checks right before a write.
  virtual Time fresh() { return now(); }
  virtual std::unique_ptr<Timer> timer(std::function<void()> due) = 0;
};

}  // namespace streampick::engine
