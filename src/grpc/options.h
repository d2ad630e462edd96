// Reads the table [grpc] of the options file, for programs that use stubs on a routed channel. The daemon
// only checks it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "options/table.h"
#include "streampick/route.h"

namespace streampick::rpc {

struct Options {
  std::optional<std::string> tenant_metadata, idempotency_metadata;  // set if the file sets them
  std::vector<Route> routes;
};

// Throws options::Error.
Options read_options(options::Table table);

}  // namespace streampick::rpc
