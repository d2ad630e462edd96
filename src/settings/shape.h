// Checks that a configuration that is to replace the one in use holds all keys of that one. No I/O.
#pragma once

#include <nlohmann/json_fwd.hpp>

namespace streampick {

// Throws JsonError for a key of `accepted` that is missing in `next` or has a value of another type there. In
// a list of objects, each entry must hold the keys that all entries of the accepted list hold. Lists of
// servers under `known` are not compared: parse_members() checks them.
void require_shape(const nlohmann::json& accepted, const nlohmann::json& next);

}  // namespace streampick
