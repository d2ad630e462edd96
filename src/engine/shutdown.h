/// \file
/// The phases of a graceful shutdown and when each of them ends.
#pragma once

#include <cstdint>

#include "streampick/router.h"

namespace streampick::engine {

enum class ShutdownPhase : std::uint8_t {
  running,      ///< not told to stop
  accepting,    ///< new connections are still accepted: clients learn of the stop a little later
  answering,    ///< nothing new is accepted; what was taken is answered
  last_writes,  ///< all requests have their answer; the last ones are being written
  over,         ///< the process ends, whatever is open
};

/// Decides how long a shutdown takes. The process is killed no sooner than the longest deadline of its
/// classes (of which 3 s count at most) and 0.7 s after the signal to stop: what is open fails before that,
/// with time left for the last writes.
///
/// No clock and no timer: the owner calls next_phase() at phase_end().
class Shutdown {
 public:
  [[nodiscard]] ShutdownPhase phase() const { return phase_; }
  [[nodiscard]] bool started() const { return phase_ != ShutdownPhase::running; }

  /// Begins the shutdown. `longest_deadline`: of all classes that may still be asked for, microseconds.
  void start(Time now, Time longest_deadline);

  /// Enters the phase after the present one at `now`.
  void next_phase(Time now);

  /// When the present phase is over.
  [[nodiscard]] Time phase_end() const { return phase_end_; }

  /// The time by which every request must have its final answer; kNever while running.
  [[nodiscard]] Time answer_by() const { return answer_by_; }

  /// Whether the process may end once nothing is open: not while new connections may still come. Not by the
  /// time alone: another timer of the same turn may come before the one that ends accepting.
  [[nodiscard]] bool may_finish() const { return started() && phase_ != ShutdownPhase::accepting; }

 private:
  ShutdownPhase phase_ = ShutdownPhase::running;
  Time phase_end_ = kNever;
  Time answer_by_ = kNever;
};

}  // namespace streampick::engine
