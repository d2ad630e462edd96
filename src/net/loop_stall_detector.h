/// \file
/// Detects that the event loop was stalled recently, so that a socket may have been ready for a long time
/// before it is handled.
#pragma once

#include <chrono>

namespace streampick::net {

/// Watches how late a periodic timer of its owner is served, which costs no system call of its own. Owned by
/// one event loop: the owner arms a timer for next_tick(), calls on_tick() when it is served, and arms it
/// again.
///
/// While was_stalled() is false, any event that became ready more than 2 x kInterval + 3 x kMaxDelay (95 ms)
/// ago on a socket that the loop waits for has been handled. Proof: let the loop have looked at its
/// descriptors last at P without finding the socket ready, again at E, and handle it at R. The tick before E
/// came at most kMaxDelay after its time, so at most kInterval + kMaxDelay + kMaxDelay before the one after
/// E; that one came within kMaxDelay of its own time, and the next is not yet late by more than kMaxDelay at
/// R.
class LoopStallDetector {
 public:
  using Steady = std::chrono::steady_clock;
  static constexpr std::chrono::milliseconds kInterval{40};

  [[nodiscard]] Steady::time_point next_tick() const { return next_tick_; }
  void on_tick() {
    const auto now = Steady::now();
    if (now - next_tick_ > kMaxDelay) {
      last_stall_ = now;
    }
    next_tick_ = now + kInterval;
  }
  [[nodiscard]] bool was_stalled() const {
    const auto now = Steady::now();
    return now - next_tick_ > kMaxDelay || now - last_stall_ < kRecently;
  }

 private:
  static constexpr std::chrono::milliseconds kMaxDelay{5};
  static constexpr std::chrono::milliseconds kRecently{500};

  Steady::time_point next_tick_ = Steady::now();
  Steady::time_point last_stall_ = next_tick_ - 2 * kRecently;
};

}  // namespace streampick::net
