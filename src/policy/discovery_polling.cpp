#include "policy/discovery_polling.h"

#include "policy/durations.h"

namespace streampick::policy {
namespace {

// Mean time between two polls while polls fail. The jitter adds or subtracts up to half of it.
// roster/watch_times.h relies on the maximum.
constexpr Time kPollInterval = 300 * kMillisecond;
constexpr double kMinPollJitterFactor = 0.5;
// Maximum time from the start to the first poll.
constexpr Time kMaxFirstPollDelay = kSecond;

}  // namespace

void DiscoveryPolling::on_status(DiscoveryStatus status, Time now) {
  is_watching_ = !config_.polls_discovery || status == DiscoveryStatus::answered;
  if (is_watching_) {
    return;
  }
  const Time wait = status == DiscoveryStatus::not_polled
                        ? scaled(kMaxFirstPollDelay, random_.next())
                        : scaled(kPollInterval, kMinPollJitterFactor + random_.next());
  next_poll_ = now + wait;
  timers_.add(next_poll_, TimerKind::poll_discovery);
}

}  // namespace streampick::policy
