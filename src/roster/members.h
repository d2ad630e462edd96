// The platform's list of servers as JSON.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "engine/roster.h"
#include "settings.h"

namespace streampick::node {

// Throws std::runtime_error.
MemberList parse_members(const nlohmann::json& json, const Names& names);
MemberList parse_members(const std::string& json, const Names& names);

}  // namespace streampick::node
