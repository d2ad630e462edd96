// The table [grpc] of the options file: for programs with stubs on a routed channel. The daemon checks it and
// takes nothing of it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "options/table.h"
#include "streampick/route.h"

namespace streampick::rpc {

struct Options {
  std::optional<std::string> tenant_metadata, idempotency_metadata;  // set where the file names them
  std::vector<Route> routes;
};

// Throws options::Error.
Options read_options(options::Table table);

}  // namespace streampick::rpc
