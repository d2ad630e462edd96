/// Request slots are reused: timers of the previous request in a slot must not affect the next one.
#include <gtest/gtest.h>

#include "fake_host.h"

namespace streampick::test {
namespace {

Config with_hedging() {
  Config config = FakeHost::aside_config();
  config.can_hedge = config.can_cancel = true;
  return config;
}

// The time from the first attempt of a read to its hedged request, in microseconds.
Time hedging_delay() {
  FakeHost host(with_hedging());
  host.request(1, 0, 42);
  const Time sent_at = host.now;
  while (host.sends.size() < 2 && host.now < sent_at + 4'000 * kMs) host.advance(kMs);
  return host.now - sent_at;
}

TEST(Slots, TimerOfAnEndedRequest_DoesNotAffectTheNextInItsSlot) {
  const Time delay = hedging_delay();
  FakeHost host(with_hedging());
  host.request(1, 0, 42);
  host.result(0, Outcome::served);
  host.advance(delay / 4);
  host.request(2, 0, 42);
  host.advance(delay - delay / 8);  // after the timer of the first request
  EXPECT_EQ(host.sends_of(2), 1U);
  host.advance(delay / 4);  // after its own timer
  EXPECT_EQ(host.sends_of(2), 2U);
}

}  // namespace
}  // namespace streampick::test
