// The engine's time source inside a host process: monotonic microseconds without the time for which the host
// was suspended, and timers on that time. resume.h gives the reason.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <utility>

#include "engine/time.h"
#include "net/wall_clock.h"
#include "plugin/resume.h"

namespace streampick::plugin {

class HostClock final : public engine::TimeSource {
 public:
  using Steady = std::chrono::steady_clock;
  // `on_suspension` is called with the suspension's length in us, from within the first call of now() after
  // it. Its caller may be anywhere in the engine, so it must not call the engine: it may only record the
  // length.
  HostClock(boost::asio::io_context& io, std::function<void(Time)> on_suspension)
      : io_(io),
        on_suspension_(std::move(on_suspension)),
        steady_start_(Steady::now()),
        start_(net::system_wall_time()) {}

  Time now() override {
    if (!stale_) return now_;
    stale_ = false;
    const Time real = real_now();
    const Time due = due_times_.empty() ? 0 : *due_times_.begin() + suspension_.suspended_time();
    if (const Time length = suspension_.on_wakeup(real, due); length > 0) on_suspension_(length);
    return now_ = real - suspension_.suspended_time();
  }
  void next_batch() { stale_ = true; }
  // Includes suspensions, which show as a step forward.
  Time wall_time() override {
    const Time offset = net::wall_offset(net::system_wall_time, [this] { return real_now(); });
    return now() + suspension_.suspended_time() + offset;
  }
  Time fresh() override { return real_now() - suspension_.suspended_time(); }
  // Microseconds, suspensions included.
  Time real_now() const {
    return start_ +
           std::chrono::duration_cast<std::chrono::microseconds>(Steady::now() - steady_start_).count();
  }
  SuspensionDetector& suspension() { return suspension_; }

  std::unique_ptr<engine::Timer> timer(std::function<void()> due) override {
    return std::make_unique<HostTimer>(*this, std::move(due));
  }

 private:
  class HostTimer final : public engine::Timer {
   public:
    HostTimer(HostClock& clock, std::function<void()> due)
        : clock_(clock), due_(std::move(due)), timer_(clock.io_) {}
    ~HostTimer() override { cancel(); }
    void set(Time at) override {
      cancel();
      place_ = clock_.due_times_.insert(at);
      armed_ = true;
      wait(at);
    }
    void cancel() override {
      ++generation_;
      timer_.cancel();
      if (std::exchange(armed_, false)) clock_.due_times_.erase(place_);
    }

   private:
    void wait(Time at) {
      timer_.expires_at(clock_.steady_start_ +
                        std::chrono::microseconds(at + clock_.suspension_.suspended_time() - clock_.start_));
      timer_.async_wait([this, generation = generation_](const boost::system::error_code& cancelled) {
        if (cancelled || generation != generation_) return;
        const Time at_set = *place_;
        // A suspension was left out of the time: the timer is not due yet.
        if (clock_.now() < at_set) return wait(at_set);
        armed_ = false;
        clock_.due_times_.erase(place_);
        due_();
      });
    }
    HostClock& clock_;
    std::function<void()> due_;
    boost::asio::steady_timer timer_;
    std::multiset<Time>::iterator place_;
    std::uint64_t generation_ = 0;
    bool armed_ = false;
  };

  boost::asio::io_context& io_;
  std::function<void(Time)> on_suspension_;
  SuspensionDetector suspension_;
  std::multiset<Time> due_times_;  // due times of the armed timers
  Steady::time_point steady_start_;
  Time start_, now_ = 0;
  bool stale_ = true;
};

}  // namespace streampick::plugin
