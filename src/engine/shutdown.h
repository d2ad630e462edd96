/// \file
/// The phases of a graceful shutdown and when each of them ends.
#pragma once

#include <cstdint>

#include "streampick/router.h"

namespace streampick::engine {

enum class ShutdownPhase : std::uint8_t {
  running,      ///< no signal yet
  accepting,    ///< new connections are accepted, since clients learn of the shutdown a little later
  answering,    ///< no new connection is accepted; open requests are answered
  last_writes,  ///< all requests have their response; the last ones are being written
  over,         ///< the process exits, even if connections are open
};

/// Computes the phases of a shutdown. The platform kills the process 0.7 s after the longest deadline of its
/// classes (at most 3 s) has passed since the signal: open requests fail before that, with time left for the
/// last writes.
///
/// No clock and no timer: the owner calls next_phase() at phase_end().
class Shutdown {
 public:
  [[nodiscard]] ShutdownPhase phase() const { return phase_; }
  [[nodiscard]] bool started() const { return phase_ != ShutdownPhase::running; }

  /// Begins the shutdown. `longest_deadline`: of all classes in use, in microseconds.
  void start(Time now, Time longest_deadline);

  /// Enters the next phase at `now`.
  void next_phase(Time now);

  /// End of the current phase.
  [[nodiscard]] Time phase_end() const { return phase_end_; }

  /// The time by which every request must have its final answer; kNever while running.
  [[nodiscard]] Time answer_by() const { return answer_by_; }

  /// Whether the process may exit once nothing is open. Not while connections are accepted, and not by
  /// comparing times: another timer of the same event loop turn may run before the one that ends accepting.
  [[nodiscard]] bool may_finish() const { return started() && phase_ != ShutdownPhase::accepting; }

 private:
  ShutdownPhase phase_ = ShutdownPhase::running;
  Time phase_end_ = kNever;
  Time answer_by_ = kNever;
};

}  // namespace streampick::engine
