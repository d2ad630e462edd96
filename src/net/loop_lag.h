// How late the loop comes to what is ready. A probe is queued behind the work that is ready now, when a
// request comes and none is queued yet: a loop at rest has no probe and is not woken for one.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <ctime>
#include <memory>

#include "overload/pressure.h"

namespace streampick::net {

class LoopLag {
 public:
  LoopLag(boost::asio::io_context& io, overload::Pressure& pressure)
      : io_(io), pressure_(pressure), alive_(std::make_shared<bool>(true)) {}

  void touch() {
    if (queued_ || pressure_.off()) return;
    queued_ = true;
    const auto at = Steady::now();
    pressure_.came(us(at.time_since_epoch()));
    boost::asio::post(io_, [this, at, alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.lock()) return;
      queued_ = false;
      const auto now = Steady::now();
      pressure_.sample(us(now.time_since_epoch()), us(now - at), cpu);
    });
  }

 private:
  using Steady = std::chrono::steady_clock;
  static long long us(Steady::duration time) {
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
  }
  static long long cpu() {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return used.tv_sec * 1'000'000LL + used.tv_nsec / 1'000;
  }

  boost::asio::io_context& io_;
  overload::Pressure& pressure_;
  std::shared_ptr<bool> alive_;  // a queued probe holds it weakly
  bool queued_ = false;
};

}  // namespace streampick::net
