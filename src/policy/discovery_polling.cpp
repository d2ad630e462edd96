#include "policy/discovery_polling.h"

#include "policy/durations.h"

namespace streampick::policy {
namespace {

// Mean time between two polls while polls fail. The jitter adds or subtracts up to half of it.
// roster/watch_times.h relies on the maximum.
constexpr Time kPollInterval = 300 * kMillisecond;
constexpr double kMinPollJitterFactor = 0.5;
// Maximum time from the receipt of a stale list to the next poll.
constexpr Time kMaxStaleListDelay = kSecond;

}  // namespace

void DiscoveryPolling::on_update(Update update, Time now) {
  const bool succeeded = update != Update::stale && update != Update::failed;
  is_watching_ = !config_.polls_discovery || succeeded;
  if (is_watching_) {
    return;
  }
  const Time wait = update == Update::stale ? scaled(kMaxStaleListDelay, random_.next())
                                            : scaled(kPollInterval, kMinPollJitterFactor + random_.next());
  next_poll_ = now + wait;
  timers_.add(next_poll_, TimerKind::poll_discovery);
}

}  // namespace streampick::policy
