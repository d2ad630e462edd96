// The C interface, called by code in C (c_caller.c).
#include <gtest/gtest.h>

#include "fleet.h"

extern "C" int call_from_c(const char* config, int calls, int* served, int* withdrawn);
extern "C" int open_with_invalid_config_from_c(char* error, size_t size);

namespace streampick::test {
namespace {

TEST(PluginCApi, CallsAndInvalidSettings_EndOnceEachAndAreReported) {
  StandinFleet fleet;
  int served = 0, withdrawn = 0;
  ASSERT_EQ(call_from_c(fleet.settings.config.c_str(), 40, &served, &withdrawn), 0);
  EXPECT_EQ(served, 40);
  EXPECT_EQ(withdrawn, 1);  // the call after the drain
  char error[80] = "";
  EXPECT_EQ(open_with_invalid_config_from_c(error, sizeof error), 1);
  EXPECT_EQ(std::string(error).rfind("streampick client: ", 0), 0U);
}

}  // namespace
}  // namespace streampick::test
