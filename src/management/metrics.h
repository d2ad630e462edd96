/// The metrics that the command DUMP returns, as one line of JSON.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "engine/request_metrics.h"

namespace streampick::management {

/// Counters start at 0 with the process. The keys in the JSON text are part of the operators' interface.
struct Metrics {
  std::map<std::string, engine::RequestMetrics::ClassCounts>
      classes;                        ///< requests by the name of their class
  std::uint64_t backend_calls = 0;    ///< attempts whose last byte was written to an endpoint
  std::uint64_t inflight = 0;         ///< requests that were accepted and have not ended
  std::uint64_t hosts_listed = 0;     ///< endpoints in the list
  std::uint64_t hosts_down = 0;       ///< listed endpoints that are disabled or ejected
  std::uint64_t reconfig_ok = 0;      ///< reloaded configurations that were applied
  std::uint64_t reconfig_failed = 0;  ///< reloaded configurations that were rejected
  std::string fleet;                  ///< JSON; empty: this router keeps no view of a fleet
};

/// One line, without a line end.
std::string to_json(const Metrics& metrics);

}  // namespace streampick::management
