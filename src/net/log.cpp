#include "net/log.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <string>
#include <utility>

namespace streampick::net {

namespace {
thread_local std::function<void(std::string_view)>* sink = nullptr;

void write(std::string_view text) {
  if (sink != nullptr) return (*sink)(text);
  // In one call: lines of several processes on one standard error are not mixed.
  std::string line = "streampick: ";
  line.append(text) += '\n';
  std::fwrite(line.data(), 1, line.size(), stderr);
}
}  // namespace

LogSink::LogSink(std::function<void(std::string_view)> to)
    : to_(std::move(to)), before_(std::exchange(sink, &to_)) {}
LogSink::~LogSink() { sink = before_; }

// A peer that sends nonsense in a loop must not fill the platform's disk.
void log(std::string_view text) {
  constexpr int kPerSecond = 50;
  constexpr std::size_t kLongest = 400;
  thread_local auto second = std::chrono::steady_clock::time_point{};
  thread_local int written = 0, dropped = 0;
  const auto now = std::chrono::steady_clock::now();
  if (now - second >= std::chrono::seconds(1)) {
    if (dropped > 0) write(std::to_string(dropped) + " log lines dropped");
    second = now;
    written = dropped = 0;
  }
  if (written >= kPerSecond) {
    ++dropped;
    return;
  }
  ++written;
  write(text.substr(0, std::min(text.size(), kLongest)));
}

}  // namespace streampick::net
