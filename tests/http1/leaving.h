/// \file
/// The test fixture for clients that disconnect while the router acts; each race is produced by the order in
/// which both sides run.
#pragma once

#include <functional>
#include <string>
#include <thread>

#include "support/loopback.h"
#include "support/raw_client.h"

namespace streampick::test {

/// A router with clients that close or reset their connections at chosen moments.
class Leaving : public Loopback {
 protected:
  /// Starts the shutdown of the router; `done` tells its end.
  void drain() {
    host->drain([this] { done = true; });
  }
  using Raw = RawClient;
  using Way = RawClient::Way;
  /// Whether the connection ends within the time of wait_for().
  bool ended(Raw& client) {
    return wait_for([&] {
      client.take();
      return static_cast<bool>(client.end);
    });
  }
  /// Waits without running the event loop, then runs `event` before all that has become due within
  /// `milliseconds`.
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
  /// Expects that no further request reaches a server. `before`: the requests that have.
  void expect_nothing_more(std::size_t before) {
    quiet(1'200);  // longer than the hedging delay, a wait in the queue and the kernel's SYN retry
    EXPECT_EQ(cache.requests.size() + origin.requests.size(), before);
  }
  bool done = false;
};

}  // namespace streampick::test
