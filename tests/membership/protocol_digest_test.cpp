// Guards against unintended changes of the protocol's observable behaviour, for instance by a refactoring:
// each random scenario must give its recorded digest. Don't regenerate the digests to make a refactoring
// pass.
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

constexpr std::size_t kScenariosPerTest = 60;

TEST_P(ProtocolDigest, RandomScenarios_GiveTheRecordedDigests) {
  const std::size_t first = GetParam();
  for (std::size_t scenario = first; scenario < first + kScenariosPerTest; ++scenario) {
    const ScenarioResult result = run_random_scenario(scenario + 1);
    ASSERT_EQ(result.digest, kExpectedDigests[scenario]) << "seed " << scenario + 1 << ": " << result.summary;
  }
}

INSTANTIATE_TEST_SUITE_P(Scenarios, ProtocolDigest, ::testing::Values(0, 60, 120, 180, 240),
                         [](const auto& tested) {
                           return std::to_string(tested.param + 1) + "To" +
                                  std::to_string(tested.param + kScenariosPerTest);
                         });

}  // namespace
}  // namespace streampick::membership
