// The engine's time inside a host process: microseconds that leave out what the host stood still, and timers
// on them. See resume.h for why.
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
  // `stood_still` is called with the pause's length, in us, from within whatever first asks for the time
  // after it: it must only note it.
  HostClock(boost::asio::io_context& io, std::function<void(Time)> stood_still)
      : io_(io),
        stood_still_(std::move(stood_still)),
        steady_start_(Steady::now()),
        start_(net::system_wall_time()) {}

  Time now() override {
    if (!stale_) return now_;
    stale_ = false;
    const Time real = real_now();
    const Time due = dues_.empty() ? 0 : *dues_.begin() + resume_.skipped();
    if (const Time length = resume_.woke(real, due); length > 0) stood_still_(length);
    return now_ = real - resume_.skipped();
  }
  void next_batch() { stale_ = true; }
  // What a pause left out of now() shows here as a step forward.
  Time wall_time() override {
    const Time offset = net::wall_offset(net::system_wall_time, [this] { return real_now(); });
    return now() + resume_.skipped() + offset;
  }
  Time fresh() override { return real_now() - resume_.skipped(); }
  // Microseconds that leave nothing out.
  Time real_now() const {
    return start_ +
           std::chrono::duration_cast<std::chrono::microseconds>(Steady::now() - steady_start_).count();
  }
  Resume& resume() { return resume_; }

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
      place_ = clock_.dues_.insert(at);
      armed_ = true;
      wait(at);
    }
    void cancel() override {
      ++turn_;
      timer_.cancel();
      if (std::exchange(armed_, false)) clock_.dues_.erase(place_);
    }

   private:
    void wait(Time at) {
      timer_.expires_at(clock_.steady_start_ +
                        std::chrono::microseconds(at + clock_.resume_.skipped() - clock_.start_));
      timer_.async_wait([this, turn = turn_](const boost::system::error_code& cancelled) {
        if (cancelled || turn != turn_) return;
        const Time at_set = *place_;
        // The time stood still meanwhile: it is not due yet.
        if (clock_.now() < at_set) return wait(at_set);
        armed_ = false;
        clock_.dues_.erase(place_);
        due_();
      });
    }
    HostClock& clock_;
    std::function<void()> due_;
    boost::asio::steady_timer timer_;
    std::multiset<Time>::iterator place_;
    std::uint64_t turn_ = 0;
    bool armed_ = false;
  };

  boost::asio::io_context& io_;
  std::function<void(Time)> stood_still_;
  Resume resume_;
  std::multiset<Time> dues_;  // of the timers that are set
  Steady::time_point steady_start_;
  Time start_, now_ = 0;
  bool stale_ = true;
};

}  // namespace streampick::plugin
