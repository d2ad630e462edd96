#include "net/log.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iostream>

namespace streampick::node {

// A peer that sends nonsense in a loop must not fill the platform's disk.
void log(std::string_view text) {
  constexpr int kPerSecond = 50;
  constexpr std::size_t kLongest = 400;
  static auto second = std::chrono::steady_clock::time_point{};
  static int written = 0, dropped = 0;
  const auto now = std::chrono::steady_clock::now();
  if (now - second >= std::chrono::seconds(1)) {
    if (dropped > 0) std::cerr << "streampick: " << dropped << " log lines dropped\n";
    second = now;
    written = dropped = 0;
  }
  if (written >= kPerSecond) {
    ++dropped;
    return;
  }
  ++written;
  std::cerr << "streampick: " << text.substr(0, std::min(text.size(), kLongest)) << '\n';
}

}  // namespace streampick::node
