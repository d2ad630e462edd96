/// \file
/// The section [overload] of the options file (docs/operators/overload.md).
#pragma once

#include "options/table.h"
#include "overload/settings.h"

namespace streampick::overload {

/// Keys that the section does not name keep their defaults. Throws options::Error, which names the file, the
/// line and the key.
Settings read_options(options::Table table);

}  // namespace streampick::overload
