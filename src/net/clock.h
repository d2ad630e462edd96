/// \file
/// The router's clock and timers on Asio.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "engine/time.h"
#include "net/wall_clock.h"

namespace streampick::net {

/// Monotonic time in microseconds, on a scale that begins at the wall clock's reading at the start, and the
/// wall clock's time. now() is read once for each batch of events. For one event loop's thread.
class Clock final : public engine::TimeSource {
 public:
  using Steady = std::chrono::steady_clock;

  /// `wall_clock` is read for wall_time(), and once for the beginning of the scale.
  explicit Clock(boost::asio::io_context& io, WallClock wall_clock = system_wall_time);

  Time now() override {
    if (is_stale_) {
      now_ = fresh();
      is_stale_ = false;
    }
    return now_;
  }
  Time fresh() override;
  Time wall_time() override;
  /// Begins a new batch of events: the next now() reads the clock again.
  void next_batch() { is_stale_ = true; }

  std::unique_ptr<engine::Timer> timer(std::function<void()> on_due) override;

  /// The time point of the steady clock at `time` on this clock's scale.
  [[nodiscard]] Steady::time_point steady(Time time) const {
    return steady_start_ + std::chrono::microseconds(time - start_);
  }

 private:
  class AsioTimer;

  boost::asio::io_context& io_;
  WallClock wall_clock_;
  Steady::time_point steady_start_;
  Time start_;
  Time now_ = 0;
  bool is_stale_ = true;
};

}  // namespace streampick::net
