// The router's log, on standard error: one line an entry, so many a second at most.
#pragma once

#include <string_view>

namespace streampick::node {

void log(std::string_view text);

}  // namespace streampick::node
