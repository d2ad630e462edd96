// The report of a host process (host_main.cpp) to the test that started it.
#pragma once

#include <cstdint>

namespace streampick::test {

struct Report {
  int served = 0, rejected = 0, failed = 0, cancelled = 0, late = 0, ends = 0, drained = -1;
  std::uint64_t attempts = 0, suspensions = 0;
};

}  // namespace streampick::test
