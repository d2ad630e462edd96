// Bounds the age of discovery data: the one place that adds up all delays between two answers of discovery.
// No I/O.
//
// Requirement: the router knows a change at most 6 s after discovery has it and can be reached, whichever
// calls failed, were refused or timed out in between. A watch can end in any way, and the first attempt after
// that can fail too. An attempt lasts from the connect to the first complete line. The longest delay between
// a change and its arrival is
//
//   silence + back-off + failing + back-off + attempt
//
// when the watch stalls just after its last line and just before the change, one attempt fails, and the next
// attempt receives the list just before it times out. After an outage of discovery of any length, the longest
// delay from its return is
//
//   attempt + back-off + failing + back-off + attempt
//
// when an attempt that began just before the return hangs. `failing` is the duration of an attempt that fails
// although discovery can be reached: an attempt at a local agent may hang until its timeout; a service shared
// by all routers refuses or resets calls that it has no capacity for. Where the decision module polls for the
// list, it spaces the attempts (`policy/discovery_polling.cpp`, kPollInterval), and discovery queues calls
// for up to 2 s.
#pragma once

#include <algorithm>
#include <chrono>

namespace streampick::roster {

using std::chrono::milliseconds;

struct WatchTimes {
  milliseconds silence;  // longest time without a complete line on a watch; a heartbeat is due every 2 s
  milliseconds attempt, failing;             // timeout of an attempt; longest duration of one that fails
  milliseconds backoff_first, backoff_most;  // between two attempts, including jitter

  constexpr milliseconds max_update_delay() const {
    return std::max(silence + backoff_first, attempt + backoff_most) + failing + backoff_most + attempt;
  }
};

// For an agent on the router's own host, which answers at once and whose calls are cheap.
inline constexpr WatchTimes kPushed{milliseconds(2'400), milliseconds(1'000), milliseconds(1'000),
                                    milliseconds(100), milliseconds(300)};
// For one service shared by all routers; the decision module determines the back-offs.
inline constexpr WatchTimes kAsked{milliseconds(2'400), milliseconds(2'100), milliseconds(100),
                                   milliseconds(450), milliseconds(450)};

inline constexpr milliseconds kRequiredUpdateDelay{6'000}, kSafetyMargin{500};
static_assert(kPushed.max_update_delay() + kSafetyMargin <= kRequiredUpdateDelay);
static_assert(kAsked.max_update_delay() + kSafetyMargin <= kRequiredUpdateDelay);

}  // namespace streampick::roster
