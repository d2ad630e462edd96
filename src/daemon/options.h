// The operator's options file: what the platform's configuration has no place for. Everything in it is off
// unless the file turns it on. Each subsystem reads its own section; they are joined here.
#pragma once

#include <string>

#include "daemon/node_settings.h"
#include "options/table.h"
#ifdef STREAMPICK_WITH_RESP
#include "resp/options.h"
#endif

namespace streampick::node {

struct Options {
  std::string file;
#ifdef STREAMPICK_WITH_RESP
  resp::Options resp;
#endif
};

// Throw options::Error.
Options load_options(const std::string& path);
Options parse_options(const std::string& toml, const std::string& path);
// Checks the options against the platform's configuration, and fills in what only that tells.
void resolve(Options& options, const NodeSettings& settings);

// What is on, a line each.
std::string describe(const Options& options);

}  // namespace streampick::node
