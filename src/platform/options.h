// The operator's options file: what the platform's configuration has no place for. Everything in it is off
// unless the file turns it on. Each subsystem reads its own section; they are joined here.
#pragma once

#include <string>

#ifdef STREAMPICK_WITH_FLEET
#include "fleet/options.h"
#include "fleet/share_options.h"
#endif
#include "grpc/options.h"
#include "options/table.h"
#include "overload/settings.h"
#include "platform/node_settings.h"
#include "roster/etcd/options.h"
#ifdef STREAMPICK_WITH_RESP
#include "resp/options.h"
#endif

namespace streampick::platform {

struct Options {
  std::string file;
  overload::Settings overload;
  rpc::Options grpc;  // checked only
  etcd::Options etcd;
#ifdef STREAMPICK_WITH_FLEET
  fleet::Options fleet;
  fleet::ShareOptions shares;
#endif
#ifdef STREAMPICK_WITH_RESP
  resp::Options resp;
#endif
};

// Throw options::Error.
Options load_options(const std::string& path);
Options parse_options(const std::string& toml, const std::string& path);
// Checks the options against the platform's configuration, and fills in what only that tells.
// The settings take what of the options is theirs. [fleet] is the daemon's: fleet::resolve.
void resolve(Options& options, NodeSettings& settings);

// What is on, a line each.
std::string describe(const Options& options);

}  // namespace streampick::platform
