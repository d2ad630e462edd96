// The section [resp] of the options file: its keys, and its checks against the settings of the platform.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "options/table.h"
#include "resp/front.h"
#include "resp/transport.h"
#include "settings/settings.h"

namespace streampick::resp {

// [resp.servers]: the servers that speak RESP, and the settings of their connections.
struct ServerOptions {
  std::vector<std::string> kinds;  // the kinds of members that speak RESP; empty: all
  ServerSettings settings;

  // Whether members of this kind (an index into `names`) speak RESP. Members of an unknown kind do if all
  // members do.
  bool speaks_resp(const std::vector<std::string>& names, std::uint32_t kind) const;
};

// [resp.front]: the listener for RESP clients.
struct FrontOptions {
  FrontSettings settings;
  std::string read_class, write_class;  // empty: the first safe class, or the first class that is not safe
};

struct Options {
  std::optional<FrontOptions> front;
  std::optional<ServerOptions> servers;
};

// Both throw options::Error.
Options read_options(options::Table table);
// Checks the options against the settings of the platform, and fills in the values that depend on them.
// `file`: the name of the options file. `clients`: the number of descriptors for all clients together.
void resolve(Options& options, const Settings& settings, const std::string& file, std::size_t clients);

// Whether writes go to servers that receive no idempotency keys. Such servers can't drop repeats, so a keyed
// class is in fact unsafe there.
bool repeated_writes_run_twice(const Options& options, const Settings& settings);

// Describes the enabled parts, one line each.
std::string describe(const Options& options);

}  // namespace streampick::resp
