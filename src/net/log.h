// The router's log, on standard error: one line an entry, so many a second at most.
#pragma once

#include <functional>
#include <string_view>

namespace streampick::net {

void log(std::string_view text);

// While it lives, what its thread logs goes to `to` in place of standard error: several routers in one
// process, each on a thread of its own, have logs of their own.
class LogSink {
 public:
  explicit LogSink(std::function<void(std::string_view)> to);
  ~LogSink();
  LogSink(const LogSink&) = delete;
  LogSink& operator=(const LogSink&) = delete;

 private:
  std::function<void(std::string_view)> to_, *before_;
};

}  // namespace streampick::net
