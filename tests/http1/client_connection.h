/// \file
/// A router and raw clients. Closes of a connection by the client or by the router race with requests and
/// responses; a test forces each order by when it runs the event loop.
#pragma once

#include <functional>
#include <string>
#include <thread>

#include "loopback.h"
#include "raw_client.h"

namespace streampick::test {

class ClientConnection : public Loopback {
 protected:
  void drain() {
    host->drain([this] { drained = true; });
  }
  using Raw = RawClient;
  using Way = RawClient::Way;
  bool wait_for_end(Raw& client) {
    return wait_for([&] {
      client.take();
      return static_cast<bool>(client.end);
    });
  }
  /// Blocks for `milliseconds`, then runs `event` before any handler that became due while it blocked.
  void run_before_due_handlers(int milliseconds, std::function<void()> event) {
    asio::steady_timer first(io, std::chrono::steady_clock::time_point{});
    bool ran = false;
    first.async_wait([&](net::error_code) {
      event();
      ran = true;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    ASSERT_TRUE(wait_for([&] { return ran; }));
  }
  /// Expects that no request reaches a server after the first `before`.
  void expect_no_further_requests(std::size_t before) {
    quiet(1'200);  // longer than the hedge delay, the wait in the admission queue and the kernel's next SYN
    EXPECT_EQ(cache.requests.size() + origin.requests.size(), before);
  }
  bool drained = false;
};

}  // namespace streampick::test
