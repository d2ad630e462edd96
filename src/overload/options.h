// The options file's section [overload].
#pragma once

#include "options/table.h"
#include "overload/settings.h"

namespace streampick::overload {

// Throws options::Error.
Settings read_options(options::Table table);

}  // namespace streampick::overload
