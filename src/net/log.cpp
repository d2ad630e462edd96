#include "net/log.h"

#include <chrono>
#include <cstddef>
#include <cstdio>
#include <string>
#include <utility>

namespace streampick::net {

namespace {
constexpr int kMaxLinesPerSecond = 50;
constexpr std::size_t kMaxLineLength = 400;

thread_local ScopedLogSink::Sink* current_sink = nullptr;

void write(std::string_view text) {
  if (current_sink != nullptr) {
    (*current_sink)(text);
    return;
  }
  // In one call, so that lines of several processes on one standard error are not mixed.
  std::string line = "streampick: ";
  line.append(text);
  line += '\n';
  std::fwrite(line.data(), 1, line.size(), stderr);
}
}  // namespace

ScopedLogSink::ScopedLogSink(Sink sink)
    : sink_(std::move(sink)), previous_sink_(std::exchange(current_sink, &sink_)) {}

ScopedLogSink::~ScopedLogSink() { current_sink = previous_sink_; }

void log(std::string_view text) {
  using Steady = std::chrono::steady_clock;
  thread_local Steady::time_point second_start;
  thread_local int written = 0;
  thread_local int dropped = 0;

  const auto now = Steady::now();
  if (now - second_start >= std::chrono::seconds(1)) {
    if (dropped > 0) {
      write(std::to_string(dropped) + " log lines dropped");
    }
    second_start = now;
    written = 0;
    dropped = 0;
  }
  if (written >= kMaxLinesPerSecond) {
    ++dropped;
    return;
  }
  ++written;
  write(text.substr(0, kMaxLineLength));
}

}  // namespace streampick::net
