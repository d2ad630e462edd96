// Parses the platform's JSON list of servers.
#pragma once

#include <string>

#include "engine/endpoint_discovery.h"
#include "settings/json_value.h"
#include "settings/settings.h"

namespace streampick::discovery {

// Each throws JsonError if the JSON is malformed.
engine::ListedEndpoint parse_member(const JsonValue& entry, const Names& names);
engine::EndpointList parse_members(const JsonValue& list, const Names& names);
engine::EndpointList parse_members(const std::string& json, const Names& names);

}  // namespace streampick::discovery
