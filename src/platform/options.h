// The operator's options file: settings that the platform's configuration does not provide. Its features are
// off unless the file enables them. Each subsystem reads a section of its own; Options holds them all.
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
  rpc::Options grpc;  // only validated: the router process does not use it
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
// Checks the options against the platform's configuration. Completes each with the values that the other
// provides. The daemon resolves [fleet] and [shares] itself, with fleet::resolve().
void resolve(Options& options, NodeSettings& settings);

// A line for each feature that is enabled.
std::string describe(const Options& options);

}  // namespace streampick::platform
