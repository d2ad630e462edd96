// Holds the protocol's observable behaviour still: each drawn world must give the digest it gave before the
// sources were restructured. The constants are never regenerated to make a change of structure pass.
#include <gtest/gtest.h>

#include <array>
#include <cstdint>

#include "drawn_world.h"

namespace streampick::membership {
namespace {

constexpr std::array<std::uint64_t, 300> kExpectedDigests = {
#include "protocol_digests.inc"
};

class ProtocolDigest : public ::testing::TestWithParam<std::size_t> {};

constexpr std::size_t kWorldsPerTest = 60;

TEST_P(ProtocolDigest, DrawnWorlds_GiveTheRecordedDigests) {
  const std::size_t first = GetParam();
  for (std::size_t world = first; world < first + kWorldsPerTest; ++world) {
    const WorldResult result = run_drawn_world(world + 1);
    ASSERT_EQ(result.digest, kExpectedDigests[world]) << "seed " << world + 1 << ": " << result.summary;
  }
}

INSTANTIATE_TEST_SUITE_P(Worlds, ProtocolDigest, ::testing::Values(0, 60, 120, 180, 240),
                         [](const auto& tested) {
                           return std::to_string(tested.param + 1) + "To" +
                                  std::to_string(tested.param + kWorldsPerTest);
                         });

}  // namespace
}  // namespace streampick::membership
