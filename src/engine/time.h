/// \file
/// Clock and timers that a host provides, so that the same engine runs on an event loop, inside a host
/// process and on virtual time.
///
/// Durations (deadlines, windows, grace periods, ejections) are measured on now(), which is monotonic.
/// wall_time() is only for times that are sent or stored as Unix time; server_starts.h converts such times to
/// now()'s scale.
#pragma once

#include <functional>
#include <memory>

#include "streampick/router.h"

namespace streampick::engine {

/// Calls its function at the time that it was set to, never from within set().
class Timer {
 public:
  virtual ~Timer() = default;
  /// Replaces the time set before.
  virtual void set(Time at) = 0;
  virtual void cancel() = 0;
};

class TimeSource {
 public:
  virtual ~TimeSource() = default;
  /// Monotonic time in microseconds, starting from the wall clock's reading when the source was created. All
  /// events of one batch happen at the same time.
  virtual Time now() = 0;
  /// The system's wall clock at now(): Unix time in microseconds. It may step forward or back.
  virtual Time wall_time() = 0;
  /// now() without batching. For deadlines that are sent to others, and for checks right before a write.
  virtual Time fresh() { return now(); }
  virtual std::unique_ptr<Timer> timer(std::function<void()> due) = 0;
};

}  // namespace streampick::engine
