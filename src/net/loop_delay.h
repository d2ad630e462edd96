/// Whether the event loop was held up of late, so that a socket may have been ready for long before anybody
/// looks at it. Costs no system call: it goes by how late the periodic timer of its owner is served.
#pragma once

#include <chrono>

namespace streampick::net {

/// Owned by one thread's event loop. The owner arms a timer for due(), calls tick() whenever it is served,
/// and arms it again.
///
/// While held_up() is false, whatever became ready more than 2 x kEvery + 3 x kLate (95 ms) ago on a socket
/// that the loop waits for has been handled. Proof: let the loop have looked at its descriptors last at P
/// without finding the socket ready, again at E, and handle it at R. The tick before E came at most kLate
/// after its time, so at most kEvery + kLate + kLate before the one behind E; that one came within kLate of
/// its own, and the next is not yet late by more than kLate at R.
class LoopDelay {
 public:
  using Steady = std::chrono::steady_clock;
  static constexpr std::chrono::milliseconds kEvery{40};

  Steady::time_point due() const { return due_; }
  void tick() {
    const auto now = Steady::now();
    if (now - due_ > kLate) last_late_ = now;
    due_ = now + kEvery;
  }
  bool held_up() const {
    const auto now = Steady::now();
    return now - due_ > kLate || now - last_late_ < kRemembered;
  }

 private:
  static constexpr std::chrono::milliseconds kLate{5};
  static constexpr std::chrono::milliseconds kRemembered{500};

  Steady::time_point due_ = Steady::now();
  Steady::time_point last_late_ = due_ - 2 * kRemembered;
};

}  // namespace streampick::net
