// What a host process (host_main.cpp) tells the test that stopped it.
#pragma once

#include <cstdint>

namespace streampick::test {

struct Report {
  int served = 0, refused = 0, failed = 0, withdrawn = 0, late = 0, ends = 0, drained = -1;
  std::uint64_t attempts = 0, pauses = 0;
};

}  // namespace streampick::test
