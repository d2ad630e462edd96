/// The metrics that operators fetch, as one line of JSON.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "engine/request_metrics.h"

namespace streampick::management {

/// Counters start at 0 with the process. Their names in JSON are part of the interface to operators.
struct Metrics {
  std::map<std::string, engine::RequestMetrics::ClassCounts> classes;  ///< requests by name of their class
  std::uint64_t backend_calls = 0;    ///< attempts whose last byte was written to an endpoint
  std::uint64_t inflight = 0;         ///< requests taken and not ended
  std::uint64_t hosts_listed = 0;     ///< endpoints in the list
  std::uint64_t hosts_down = 0;       ///< listed endpoints that are disabled or ejected
  std::uint64_t reconfig_ok = 0;      ///< configurations that were taken
  std::uint64_t reconfig_failed = 0;  ///< configurations that were rejected
  std::string fleet;                  ///< JSON; empty where no view of the fleet is kept
};

/// One line, without its end.
std::string to_json(const Metrics& metrics);

}  // namespace streampick::management
