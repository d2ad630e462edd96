// The router's clock and timers on asio: monotonic microseconds that begin at the wall clock's reading at the
// start, and the wall clock beside them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

#include "engine/time.h"
#include "net/wall_clock.h"

namespace streampick::net {

class Clock final : public engine::TimeSource {
 public:
  using Steady = std::chrono::steady_clock;

  /// `wall_clock` is read for wall_time(), and once for the beginning of the scale.
  explicit Clock(boost::asio::io_context& io, WallClock wall_clock = system_wall_time)
      : io_(io), wall_clock_(std::move(wall_clock)), steady_start_(Steady::now()), start_(wall_clock_()) {}

  // Read once for each batch of events: all of a batch happens at one time.
  Time now() override {
    if (stale_) {
      now_ = fresh();
      stale_ = false;
    }
    return now_;
  }
  Time fresh() override {
    return start_ +
           std::chrono::duration_cast<std::chrono::microseconds>(Steady::now() - steady_start_).count();
  }
  void next_batch() { stale_ = true; }
  Time wall_time() override {
    return now() + wall_offset(wall_clock_, [this] { return fresh(); });
  }

  std::unique_ptr<engine::Timer> timer(std::function<void()> due) override {
    return std::make_unique<AsioTimer>(*this, std::move(due));
  }

  Steady::time_point steady(Time at) const { return steady_start_ + std::chrono::microseconds(at - start_); }

 private:
  class AsioTimer final : public engine::Timer {
   public:
    AsioTimer(Clock& clock, std::function<void()> due)
        : clock_(clock), due_(std::move(due)), timer_(clock.io_) {}
    void set(Time at) override {
      const std::uint64_t turn = ++turn_;
      timer_.expires_at(clock_.steady(at));
      // A wait that was over when it was replaced is not cancelled any more: its turn tells.
      timer_.async_wait([this, turn](const boost::system::error_code& cancelled) {
        if (!cancelled && turn == turn_) due_();
      });
    }
    void cancel() override {
      ++turn_;
      timer_.cancel();
    }

   private:
    Clock& clock_;
    std::function<void()> due_;
    boost::asio::steady_timer timer_;
    std::uint64_t turn_ = 0;
  };

  boost::asio::io_context& io_;
  WallClock wall_clock_;
  Steady::time_point steady_start_;
  Time start_, now_ = 0;
  bool stale_ = true;
};

}  // namespace streampick::net
