/// \file
/// The router's log: one line for each entry on standard error, with a bound on the lines a second.
#pragma once

#include <functional>
#include <string_view>

namespace streampick::net {

/// Writes one line, at most 400 characters of `text`. Beyond 50 lines a second of one thread, lines are
/// dropped and counted: a peer that sends malformed data in a loop must not fill the disk.
void log(std::string_view text);

/// While an instance lives, the lines of its thread go to `sink` instead of standard error. Instances nest:
/// the newest receives the lines. For several routers in one process, each on its own thread.
class ScopedLogSink {
 public:
  using Sink = std::function<void(std::string_view line)>;

  explicit ScopedLogSink(Sink sink);
  ~ScopedLogSink();
  ScopedLogSink(const ScopedLogSink&) = delete;
  ScopedLogSink& operator=(const ScopedLogSink&) = delete;

 private:
  Sink sink_;
  Sink* previous_sink_;
};

}  // namespace streampick::net
