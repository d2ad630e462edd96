#include "net/loop_lag_probe.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <ctime>

namespace streampick::net {

namespace {
using Steady = std::chrono::steady_clock;

Time to_microseconds(Steady::duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

Time process_cpu_time() {
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return used.tv_sec * 1'000'000LL + used.tv_nsec / 1'000;
}
}  // namespace

void LoopLagProbe::queue() {
  if (is_queued_ || controller_.is_disabled()) {
    return;
  }
  is_queued_ = true;
  const auto queued_at = Steady::now();
  controller_.on_probe_queued(to_microseconds(queued_at.time_since_epoch()));
  boost::asio::post(io_, [this, queued_at, alive = std::weak_ptr<const bool>(alive_)] {
    if (alive.expired()) {
      return;
    }
    is_queued_ = false;
    const auto now = Steady::now();
    controller_.on_probe_run(to_microseconds(now.time_since_epoch()), to_microseconds(now - queued_at),
                             process_cpu_time);
  });
}

}  // namespace streampick::net
