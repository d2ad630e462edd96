// Whether a configuration that is to replace one in use has all that this one has. No I/O.
#pragma once

#include <nlohmann/json_fwd.hpp>

namespace streampick {

// Throws JsonError for a key that `accepted` holds and `next` does not, or holds with a value of another
// kind. Of lists of objects, each entry must hold what all entries of the accepted list held. Lists of
// members may say what they like: they are another reader's.
void require_shape(const nlohmann::json& accepted, const nlohmann::json& next);

}  // namespace streampick
