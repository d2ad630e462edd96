#include "management/dump.h"

#include <nlohmann/json.hpp>

namespace streampick::management {

std::string to_json(const Dump& dump) {
  nlohmann::ordered_json out;
  for (const char* figure : {"success", "busy", "failure"}) out[figure] = nlohmann::ordered_json::object();
  for (const auto& [name, ends] : dump.classes) {
    out["success"][name] = ends.success;
    out["busy"][name] = ends.busy;
    out["failure"][name] = ends.failure;
  }
  out["backend_calls"] = dump.backend_calls;
  out["inflight"] = dump.inflight;
  out["hosts_listed"] = dump.hosts_listed;
  out["hosts_down"] = dump.hosts_down;
  out["reconfig_ok"] = dump.reconfig_ok;
  out["reconfig_failed"] = dump.reconfig_failed;
  if (!dump.fleet.empty()) out["fleet"] = nlohmann::ordered_json::parse(dump.fleet);
  // Names of classes come from a file: what is no UTF-8 in them must not stop the figures.
  return out.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace streampick::management
