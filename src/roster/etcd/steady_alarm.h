// Calls a function at a time of the monotonic clock, on its own thread.
//
// Replaces waits in gRPC, which passes them to the system as wall-clock times: if that clock is set back by
// an hour during a wait, the wait lasts an hour longer.
#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

namespace streampick::etcd {

class SteadyAlarm {
 public:
  using Steady = std::chrono::steady_clock;

  /// `on_due` is called on the alarm's thread, which inherits the signal mask of the constructing thread. It
  /// is not called after the destructor has returned.
  explicit SteadyAlarm(std::function<void()> on_due)
      : on_due_(std::move(on_due)), thread_([this] { run(); }) {}
  ~SteadyAlarm() {
    {
      const std::lock_guard lock(mutex_);
      ended_ = true;
    }
    changed_.notify_one();
    thread_.join();
  }
  SteadyAlarm(const SteadyAlarm&) = delete;
  SteadyAlarm& operator=(const SteadyAlarm&) = delete;

  /// Schedules one call at `at`. An earlier time that is already set and not reached yet stays in force.
  void set(Steady::time_point at) {
    {
      const std::lock_guard lock(mutex_);
      if (at_ && *at_ <= at) return;
      at_ = at;
    }
    changed_.notify_one();
  }

 private:
  void run() {
    std::unique_lock lock(mutex_);
    while (!ended_) {
      if (!at_) {
        changed_.wait(lock);
      } else if (Steady::now() < *at_) {
        changed_.wait_until(lock, Steady::time_point(*at_));
      } else {
        at_.reset();
        lock.unlock();
        on_due_();
        lock.lock();
      }
    }
  }

  std::function<void()> on_due_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<Steady::time_point> at_;
  bool ended_ = false;
  std::thread thread_;  // declared last, as it uses the members above
};

}  // namespace streampick::etcd
