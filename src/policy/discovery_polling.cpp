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
  if (!config_.polls_discovery || status == DiscoveryStatus::answered) {
    state_ = State::not_needed;
    return;
  }
  const Time wait = status == DiscoveryStatus::not_polled
                        ? scaled(kMaxFirstPollDelay, random_.next())
                        : scaled(kPollInterval, kMinPollJitterFactor + random_.next());
  state_ = State::scheduled;
  next_poll_ = now + wait;
  timers_.add(next_poll_, TimerKind::poll_discovery);
}

bool DiscoveryPolling::begin_due_poll(Time now) {
  if (state_ != State::scheduled || now < next_poll_) {
    return false;
  }
  state_ = State::in_progress;
  return true;
}

}  // namespace streampick::policy
