/// \file
/// Artificial load on an event loop.
#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <memory>
#include <thread>

namespace streampick::test {

/// Delays the event loop: until end(), each of its turns takes 10 ms longer.
class LoopLoad {
 public:
  explicit LoopLoad(boost::asio::io_context& io) : io_(io) { turn(); }
  void end() { *busy_ = false; }
  ~LoopLoad() { end(); }
  LoopLoad(const LoopLoad&) = delete;
  LoopLoad& operator=(const LoopLoad&) = delete;

 private:
  void turn() {
    boost::asio::post(io_, [this, busy = busy_] {
      if (!*busy) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
      turn();
    });
  }
  boost::asio::io_context& io_;
  std::shared_ptr<bool> busy_ = std::make_shared<bool>(true);
};

}  // namespace streampick::test
