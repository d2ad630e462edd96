// The three kinds of input about servers: what discovery has done, what is listed, and operators' overrides.
// None of them may be taken for another, in whatever order they come.
#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "fake_host.h"

namespace streampick::test {
namespace {

constexpr Time kMaxFirstPoll = 1'000 * kMs;
constexpr Time kMaxPollRetry = 450 * kMs;  // roster/watch_times.h, kAsked
constexpr ServerId kCaches = 6;

Config polled_config() {
  Config config = FakeHost::hedging_config();
  config.polls_discovery = true;
  return config;
}

// The servers that get the first attempts of reads of many keys.
std::vector<ServerId> servers_in_use(FakeHost& host, RequestId first_request) {
  std::vector<ServerId> out;
  for (RequestId id = first_request; id < first_request + 200; ++id) {
    const std::size_t before = host.sends.size();
    host.request(id, 0, id * 0x9e3779b97f4a7c15U);
    out.push_back(host.sends.at(before).server);
    host.result(before, Outcome::served);
    host.advance(kMs);
  }
  std::sort(out.begin(), out.end());
  out.erase(std::unique(out.begin(), out.end()), out.end());
  return out;
}

bool uses(FakeHost& host, ServerId server, RequestId first_request) {
  const std::vector<ServerId> used = servers_in_use(host, first_request);
  return std::find(used.begin(), used.end(), server) != used.end();
}

TEST(EndpointEvents, ListFromElsewhere_IsNoAnswerOfDiscovery) {
  FakeHost host(polled_config());
  host.router.on_discovery(host.now, DiscoveryStatus::not_polled);
  host.router.on_members(host.now, Update::full, host.list);
  host.router.on_members(host.now, Update::changes, std::span(host.list.data(), 1));
  host.advance(kMaxFirstPoll);
  EXPECT_EQ(host.polls.size(), 1U);
}

TEST(EndpointEvents, DisabledServer_IsOutWhateverIsListedUntilEnabled) {
  FakeHost host;
  EXPECT_TRUE(uses(host, 2, 1'000));
  host.router.on_override(host.now, 2, {.disabled = true});
  EXPECT_FALSE(uses(host, 2, 2'000));
  host.router.on_members(host.now, Update::changes, std::span(&host.list[2], 1));
  EXPECT_FALSE(uses(host, 2, 3'000));
  host.router.on_members(host.now, Update::full, host.list);
  EXPECT_FALSE(uses(host, 2, 4'000));
  host.router.on_override(host.now, 2, {});
  EXPECT_TRUE(uses(host, 2, 5'000));
}

TEST(EndpointEvents, ServerThatDrainsWhileDisabled_StaysOutWhenEnabled) {
  FakeHost host;
  host.router.on_override(host.now, 2, {.disabled = true});
  Member draining = host.list[2];
  draining.phase = Phase::draining;
  host.router.on_members(host.now, Update::changes, std::span(&draining, 1));
  host.router.on_override(host.now, 2, {.started = host.now});
  EXPECT_FALSE(uses(host, 2, 1'000));
  host.router.on_members(host.now, Update::changes, std::span(&host.list[2], 1));
  EXPECT_TRUE(uses(host, 2, 2'000));
}

TEST(EndpointEvents, OverrideOfAnUnlistedServer_HoldsWhenItIsListed) {
  FakeHost host;
  const ServerId later = kCaches + 3;
  host.router.on_override(host.now, later, {.disabled = true});
  EXPECT_FALSE(uses(host, later, 1'000));
  const Member member = FakeHost::cache(later);
  host.router.on_members(host.now, Update::changes, std::span(&member, 1));
  EXPECT_FALSE(uses(host, later, 2'000));
  host.router.on_override(host.now, later, {});
  EXPECT_TRUE(uses(host, later, 3'000));
}

// An id may name another server later: the host replaces the override, and the former one has no effect.
TEST(EndpointEvents, ReusedId_HasTheOverrideOfItsNewServer) {
  FakeHost host;
  host.router.on_override(host.now, 2, {.disabled = true});
  Member gone = host.list[2];
  gone.phase = Phase::gone;
  host.router.on_members(host.now, Update::changes, std::span(&gone, 1));
  host.router.on_override(host.now, 2, {});
  Member other = FakeHost::cache(2);
  other.identity = 0x1234567;
  host.router.on_members(host.now, Update::changes, std::span(&other, 1));
  EXPECT_TRUE(uses(host, 2, 1'000));
}

// Discovery may answer and fail unasked, as when SIGHUP moves it: the poll that was due before is not sent in
// addition to the one after the failure.
TEST(EndpointEvents, FailureBeforeTheFirstPoll_IsFollowedByOnePoll) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    FakeHost host(polled_config(), kCaches, seed);
    host.router.on_discovery(host.now, DiscoveryStatus::not_polled);
    host.router.on_discovery(host.now, DiscoveryStatus::answered);
    host.router.on_discovery(host.now, DiscoveryStatus::failed);
    host.advance(10 * kMaxFirstPoll);
    ASSERT_EQ(host.polls.size(), 1U) << "seed " << seed;
  }
}

// One drawn event that is none of discovery.
void draw_other_event(FakeHost& host, std::minstd_rand& random) {
  const auto server = static_cast<ServerId>(random() % kCaches);
  Member& member = host.list.at(server);
  switch (random() % 6) {
    case 0: host.router.on_override(host.now, server, {.disabled = true}); break;
    case 1: host.router.on_override(host.now, server, {.started = host.now}); break;
    case 2: host.router.on_override(host.now, server, {}); break;
    case 3:
      member.phase = random() % 2 == 0 ? Phase::ready : Phase::draining;
      host.router.on_members(host.now, Update::changes, std::span(&member, 1));
      break;
    case 4: host.router.on_members(host.now, Update::full, host.list); break;
    default: host.router.on_shares(host.now, {}); break;
  }
}

// Guards against a process that stops asking discovery: whatever else happens, a poll comes in time after the
// start and after each failure, and none comes while one is out or after an answer.
TEST(EndpointEvents, DrawnEvents_NeitherEndNorPostponeNorCausePolls) {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::minstd_rand random(seed);
    FakeHost host(polled_config(), kCaches, seed);
    host.router.on_discovery(host.now, DiscoveryStatus::not_polled);
    Time due = host.now + kMaxFirstPoll;
    std::size_t expected_polls = 1;
    for (int step = 0; step < 300; ++step) {
      draw_other_event(host, random);
      host.advance(static_cast<Time>(random() % 60) * kMs);
      ASSERT_LE(host.polls.size(), expected_polls) << "seed " << seed << " step " << step;
      if (host.now >= due) {
        ASSERT_EQ(host.polls.size(), expected_polls) << "seed " << seed << " step " << step;
      }
      if (host.polls.size() < expected_polls || random() % 8 != 0) continue;
      const bool fails = random() % 2 == 0;
      host.router.on_discovery(host.now, fails ? DiscoveryStatus::failed : DiscoveryStatus::answered);
      due = host.now + kMaxPollRetry;
      if (fails) ++expected_polls;
    }
  }
}

}  // namespace
}  // namespace streampick::test
