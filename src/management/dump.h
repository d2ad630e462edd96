// The figures as operators are told them.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "engine/figures.h"

namespace streampick::management {

struct Dump {
  std::map<std::string, node::Figures::Ends> classes;
  std::uint64_t backend_calls = 0;  // attempts written whole to servers
  std::uint64_t inflight = 0;       // requests taken and not ended
  std::uint64_t hosts_listed = 0, hosts_down = 0;
  std::uint64_t reconfig_ok = 0, reconfig_failed = 0;
  std::string fleet;  // JSON; empty: no view is kept
};

// One line of JSON, without its end.
std::string to_json(const Dump& dump);

}  // namespace streampick::management
