#include "management/metrics.h"

#include <nlohmann/json.hpp>

namespace streampick::management {

using nlohmann::ordered_json;

std::string to_json(const Metrics& metrics) {
  ordered_json success = ordered_json::object();
  ordered_json busy = ordered_json::object();
  ordered_json failure = ordered_json::object();
  for (const auto& [name, counts] : metrics.classes) {
    success[name] = counts.served;
    busy[name] = counts.rejected;
    failure[name] = counts.failed;
  }
  ordered_json document = {{"success", std::move(success)},
                           {"busy", std::move(busy)},
                           {"failure", std::move(failure)},
                           {"backend_calls", metrics.backend_calls},
                           {"inflight", metrics.inflight},
                           {"hosts_listed", metrics.hosts_listed},
                           {"hosts_down", metrics.hosts_down},
                           {"reconfig_ok", metrics.reconfig_ok},
                           {"reconfig_failed", metrics.reconfig_failed}};
  if (!metrics.fleet.empty()) document["fleet"] = ordered_json::parse(metrics.fleet);
  // Class names come from a file: bytes that are not UTF-8 are replaced, so that the metrics stay available.
  return document.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

}  // namespace streampick::management
