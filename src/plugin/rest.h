// Decides when a seldom used client becomes idle: it then closes its connections and its discovery watch, so
// that it schedules no wake-ups. No I/O.
//
// An idle period begins once no call has been open for `idle_after`. The next call ends it, and may be sent
// only after the endpoint list has been read again: without a watch the client did not learn which servers
// left.
#pragma once

#include <cstdint>

namespace streampick::plugin {

class IdleTracker {
 public:
  explicit IdleTracker(long long idle_after = 0)
      : idle_after_(idle_after) {}  // us without an open call; 0: never idle

  // Returns whether the call ends an idle period: the endpoint list must be read before the call is sent.
  bool on_call_started() {
    ++open_calls_;
    idle_at_ = 0;
    const bool was_idle = idle_;
    idle_ = false;
    return was_idle;
  }
  // `now` in us. Returns when to call enter_if_due(); 0: not at all.
  long long on_call_ended(long long now) {
    if (open_calls_ > 0) --open_calls_;
    if (open_calls_ > 0 || idle_after_ <= 0) return 0;
    return idle_at_ = now + idle_after_;
  }
  // Returns whether an idle period begins with this call of the function.
  bool enter_if_due(long long now) {
    if (idle_at_ == 0 || idle_ || open_calls_ > 0 || now < idle_at_) return false;
    idle_at_ = 0;
    idle_ = true;
    ++idle_periods_;
    return true;
  }
  bool is_idle() const { return idle_; }
  std::uint64_t idle_periods() const { return idle_periods_; }

 private:
  long long idle_after_, idle_at_ = 0;
  std::uint64_t open_calls_ = 0, idle_periods_ = 0;
  bool idle_ = false;
};

}  // namespace streampick::plugin
