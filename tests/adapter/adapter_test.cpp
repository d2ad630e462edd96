// A scripted session with the adapter process.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

namespace {

const std::string kInit =
    "on 1\ninit 9 Az=a Balancers=1 FamilyInfo.Mode=aside FamilyInfo.OriginKind=1 "
    "PolicyLimits.MaxAttempts=3 PolicyLimits.SecondCopies=true PolicyLimits.Cancelling=true "
    "Profiles.count=1 Profiles.0.AimUs=800000 Profiles.0.HardLimitUs=4000000 Profiles.0.Effect=safe "
    "Profiles.0.Name=read "
    "RegistryMode=push Shapes=box,origin Zones=a\n"
    "members C 1 2\nm s_1 a box 0 healthy 1 -\nm s_o a origin 0 healthy 1 -\n";

int run(const std::string& input, std::string& output) {
  // The file name contains the process id, because tests that run in parallel must not share the file.
  const auto path = std::filesystem::path(::testing::TempDir()) /
                    ("streampick_session_" + std::to_string(::getpid()) + ".txt");
  std::ofstream(path) << input;
  const std::string command =
      std::string(STREAMPICK_ADAPTER) + " < '" + path.string() + "' 2> '" + path.string() + ".err'";
  FILE* pipe = popen(command.c_str(), "r");
  if (pipe == nullptr) return -1;
  char buffer[4096];
  output.clear();
  for (std::size_t got; (got = fread(buffer, 1, sizeof buffer, pipe)) > 0;) output.append(buffer, got);
  return pclose(pipe);
}

TEST(Adapter, BatchesOfASession_AreEachAcknowledged) {
  std::string output;
  const int status = run("turn 1000\nover_to_you\nturn 2000\n" + kInit +
                             "over_to_you\nturn 3000\non 1\n"
                             "inbound 0ad570aa5d3a91c4 read - 91f03b7c55d20a64 4003000 - - 0\n"
                             "over_to_you\nturn 4000\non 1\n"
                             "report_back 0ad570aa5d3a91c4 0 s_1 2 1000 0 2 -\nover_to_you\n"
                             "turn 5000\non 1\nexit\nover_to_you\n",
                         output);
  EXPECT_EQ(status, 0);
  EXPECT_EQ(output.substr(0, 4), "ack\n");
  EXPECT_NE(output.find("for 1\nhand_off 0ad570aa5d3a91c4 s_1 0\n"), std::string::npos) << output;
  EXPECT_NE(output.find("hand_off 0ad570aa5d3a91c4 s_o 0\n"), std::string::npos) << output;
  std::size_t acks = 0;
  for (std::size_t at = output.find("ack\n"); at != std::string::npos; at = output.find("ack\n", at + 1))
    ++acks;
  EXPECT_EQ(acks, 5U);
}

TEST(Adapter, MalformedInput_EndsTheProcessWithAnErrorAndNoOutput) {
  std::string output;
  EXPECT_NE(run("turn 1000\n" + kInit + "report_back nonsense\nover_to_you\n", output), 0);
  EXPECT_EQ(output, "");
}

}  // namespace
