/// \file
/// A router and raw clients whose disconnects, and the router's own closes, race with requests and responses.
/// A test brings each race about by the order in which both sides run.
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
    host->drain([this] { done = true; });
  }
  using Raw = RawClient;
  using Way = RawClient::Way;
  bool ended(Raw& client) {
    return wait_for([&] {
      client.take();
      return static_cast<bool>(client.end);
    });
  }
  /// Blocks for `milliseconds`, then runs `event` ahead of every handler that has become due meanwhile.
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
  /// No further request may reach a server.
  void expect_nothing_more(std::size_t before) {
    quiet(1'200);  // past the hedge delay, the admission queue and the kernel's next SYN
    EXPECT_EQ(cache.requests.size() + origin.requests.size(), before);
  }
  bool done = false;
};

}  // namespace streampick::test
