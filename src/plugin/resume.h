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
// arrival. Only a list that was requested after the suspension was noticed ends the hold: one that waited in
// the old watch's socket is older than the suspension. If no such list can be read within `max_hold` the old
// one is used, as whenever discovery is unreachable.
#pragma once

#include <algorithm>
#include <cstdint>

#include "engine/endpoint_discovery.h"

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
    hold_ = Hold::until_request;
  }
  // The list has been requested anew since the hold began; an answer to this request, or to a later one, ends
  // the hold.
  void await(engine::ListRequestId request) {
    awaited_request_ = request;
    if (hold_ == Hold::until_request) hold_ = Hold::until_answer;
  }
  // A complete list that answers `request` was read.
  void on_list_read(engine::ListRequestId request) {
    if (hold_ == Hold::until_answer && request >= awaited_request_) hold_ = Hold::none;
  }
  // Whether a new attempt may be sent now.
  bool may_send(long long now) {
    if (now >= hold_until_) hold_ = Hold::none;
    return hold_ == Hold::none;
  }
  long long hold_until() const { return hold_ == Hold::none ? 0 : hold_until_; }
  long long suspended_time() const { return suspended_time_; }  // us, the sum of all suspensions
  std::uint64_t suspensions() const { return suspensions_; }

 private:
  enum class Hold : std::uint8_t {
    none,
    until_request,  // the list has not been requested anew yet
    until_answer,   // to awaited_request_
  };

  Settings settings_;
  long long suspended_time_ = 0, hold_until_ = 0;
  std::uint64_t suspensions_ = 0;
  Hold hold_ = Hold::none;
  engine::ListRequestId awaited_request_{};
};

}  // namespace streampick::plugin
