// The C interface, through a program in C (c_caller.c).
#include <gtest/gtest.h>

#include "fleet.h"

extern "C" int call_from_c(const char* config, int calls, int* served, int* withdrawn);
extern "C" int open_badly_from_c(char* error, size_t size);

namespace streampick::test {
namespace {

TEST(PluginFromC, CallsEndOnceEachAndBadSettingsAreSaid) {
  StandinFleet fleet;
  int served = 0, withdrawn = 0;
  ASSERT_EQ(call_from_c(fleet.settings.config.c_str(), 40, &served, &withdrawn), 0);
  EXPECT_EQ(served, 40);
  EXPECT_EQ(withdrawn, 1);  // the one that was cancelled
  char error[80] = "";
  EXPECT_EQ(open_badly_from_c(error, sizeof error), 1);
  EXPECT_EQ(std::string(error).rfind("streampick client: ", 0), 0U);
}

}  // namespace
}  // namespace streampick::test
