// Detects that the host process was suspended: stopped by a signal or a debugger, or asleep with its laptop.
// No I/O.
//
// A suspension shows as a timer that is handled long after it was due, while the loop had nothing else to do.
// During a suspension no server was slow, so it is left out of the engine's time: otherwise all overdue hedge
// timers would send hedges at once, and healthy servers would be ejected. Callers' deadlines are in real time
// and do not move.
//
// After a suspension no new attempt is sent before the endpoint list has been read again, since servers may
// have been told to leave meanwhile; an update that arrived during the suspension takes effect from its
// arrival. If the list cannot be read within `max_hold` the old one is used, as whenever discovery is
// unreachable.
#pragma once

#include <algorithm>
#include <cstdint>

namespace streampick::plugin {

class SuspensionDetector {
 public:
  struct Settings {
    long long min_delay = 150'000;  // us from a timer's due time; above the delays of a busy machine
    long long max_hold = 500'000;   // us that new attempts wait for the endpoint list, at most
  };
  explicit SuspensionDetector(const Settings& settings) : settings_(settings) {}
  SuspensionDetector() : SuspensionDetector(Settings{}) {}

  // The loop woke up at `now`; its earliest timer was due at `due` (0: no timer). Both in us of real time.
  // Returns the length of the suspension in us; 0: there was none.
  long long on_wakeup(long long now, long long due) {
    if (due <= 0 || now - due < settings_.min_delay) return 0;
    const long long length = now - due;
    ++suspensions_;
    suspended_time_ += length;
    hold(now);
    return length;
  }
  // Holds new attempts until the list has been read: after a suspension or an idle period (rest.h).
  void hold(long long now) {
    hold_until_ = now + settings_.max_hold;
    holding_ = true;
  }
  // A complete list was read, or the watch reported its revision again.
  void on_list_read() { holding_ = false; }
  // Whether a new attempt may be sent now.
  bool may_send(long long now) {
    if (holding_ && now >= hold_until_) holding_ = false;
    return !holding_;
  }
  long long hold_until() const { return holding_ ? hold_until_ : 0; }
  long long suspended_time() const { return suspended_time_; }  // us, the sum of all suspensions
  std::uint64_t suspensions() const { return suspensions_; }

 private:
  Settings settings_;
  long long suspended_time_ = 0, hold_until_ = 0;
  std::uint64_t suspensions_ = 0;
  bool holding_ = false;
};

}  // namespace streampick::plugin
