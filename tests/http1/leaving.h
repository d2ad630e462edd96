// A router and clients whose ends cross what it does; each crossing is brought about by the order in which
// both sides are let run.
#pragma once

#include <functional>
#include <string>
#include <thread>

#include "loopback.h"
#include "raw_client.h"

namespace streampick::test {

class Leaving : public Loopback {
 protected:
  void drain() {
    host->drain([this] { done = true; });
  }
  using Raw = RawClient;
  using Way = RawClient::Way;
  bool ended(Raw& one) {
    return wait_for([&] {
      one.take();
      return static_cast<bool>(one.end);
    });
  }
  /// Runs `event` in the loop's next turn, before whatever else has become due within `milliseconds`: none of
  /// that runs meanwhile.
  void run_before_what_is_due(int milliseconds, std::function<void()> event) {
    asio::steady_timer first(io, std::chrono::steady_clock::time_point{});
    bool ran = false;
    first.async_wait([&](net::error_code) {
      event();
      ran = true;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    ASSERT_TRUE(wait_for([&] { return ran; }));
  }
  // All that the router has to do with it: no request may reach a server any more.
  void expect_nothing_more(std::size_t before) {
    quiet(1'200);  // past the delay of a copy, a wait in line and the kernel's next try at a connection
    EXPECT_EQ(cache.requests.size() + origin.requests.size(), before);
  }
  bool done = false;
};

}  // namespace streampick::test
