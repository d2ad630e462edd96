/// A request's place in the module is given to the next one: what was meant for the former does not reach it.
#include <gtest/gtest.h>

#include "fake_host.h"

namespace streampick::test {
namespace {

Config with_hedging() {
  Config config = FakeHost::aside_config();
  config.can_hedge = config.can_cancel = true;
  return config;
}

// How long a read waits for its answer before it is hedged.
Time hedging_delay() {
  FakeHost host(with_hedging());
  host.request(1, 0, 42);
  const Time asked = host.now;
  while (host.sends.size() < 2 && host.now < asked + 4'000 * kMs) host.advance(kMs);
  return host.now - asked;
}

TEST(Slots, ATimerOfARequestThatEndedIsNotTheNextOnes) {
  const Time delay = hedging_delay();
  FakeHost host(with_hedging());
  host.request(1, 0, 42);
  host.result(0, Outcome::served);
  host.advance(delay / 4);
  host.request(2, 0, 42);
  host.advance(delay - delay / 8);  // past the former one's time
  EXPECT_EQ(host.sends_of(2), 1U);
  host.advance(delay / 4);  // past its own
  EXPECT_EQ(host.sends_of(2), 2U);
}

}  // namespace
}  // namespace streampick::test
