// Regression test of the observable behaviour of the lease protocol: the bytes of every message, every change
// of a lease, the wake-ups and the counters of 300 simulated fleets must give the digests recorded at commit
// adb13e5.
//
// Environment variables for comparing two versions: STREAMPICK_DIGEST_DUMP=<seed> prints every event of one
// fleet, STREAMPICK_DIGEST_SEEDS=<first>-<last> prints the digests of more fleets.
#include <gtest/gtest.h>

#include <array>
#include <cstdlib>

#include "drawn_world.h"

namespace streampick::leases::test {
namespace {

constexpr std::uint64_t kFleetsInGroup = 30;
constexpr std::array<std::uint64_t, 10> kRecorded = {
    2372811287233015277U, 16545332210806374148U, 6553935941976382011U,  9160428618904568625U,
    3724340749676066048U, 2850158747542573280U,  12160714806740036465U, 15962277563731556289U,
    6511682702951416000U, 341303050759077763U,
};

std::uint64_t digest_of(std::uint64_t seed) { return DrawnWorld(seed).run(); }

class ProtocolDigest : public testing::TestWithParam<std::uint64_t> {};

TEST_P(ProtocolDigest, RandomFleets_GiveRecordedDigests) {
  const std::uint64_t first = GetParam() * kFleetsInGroup;
  Digest group(false);
  std::string fleets;
  for (std::uint64_t seed = first; seed < first + kFleetsInGroup; ++seed) {
    const std::uint64_t digest = digest_of(seed);
    group.add(digest);
    fleets += std::to_string(seed) + " " + std::to_string(digest) + "\n";
  }
  EXPECT_EQ(group.value(), kRecorded.at(GetParam())) << "seed and digest of each fleet:\n" << fleets;
}
INSTANTIATE_TEST_SUITE_P(Groups, ProtocolDigest, testing::Range<std::uint64_t>(0, kRecorded.size()));

TEST(ProtocolDigestTool, EqualSeeds_GiveEqualDigests) {
  if (const char* seed = std::getenv("STREAMPICK_DIGEST_DUMP"))
    DrawnWorld(std::strtoull(seed, nullptr, 10), true).run();
  if (const char* seeds = std::getenv("STREAMPICK_DIGEST_SEEDS")) {
    char* dash = nullptr;
    const std::uint64_t first = std::strtoull(seeds, &dash, 10);
    const std::uint64_t last = *dash == '-' ? std::strtoull(dash + 1, nullptr, 10) : first;
    for (std::uint64_t seed = first; seed <= last; ++seed)
      std::printf("%llu %llu\n", static_cast<unsigned long long>(seed),
                  static_cast<unsigned long long>(digest_of(seed)));
  }
  EXPECT_EQ(digest_of(1), digest_of(1));
}

}  // namespace
}  // namespace streampick::leases::test
