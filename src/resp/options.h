// The options file's section [resp]: what it may hold, and what that means beside the platform's settings.
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

// [resp.servers]: which servers speak RESP, and how.
struct ServerOptions {
  std::vector<std::string> kinds;  // of members; empty: every one
  ServerSettings settings;

  // Whether members of this kind (its place among `names`) speak RESP. One of no known kind speaks what all
  // do, if all do the same.
  bool speak(const std::vector<std::string>& names, std::uint32_t kind) const;
};

// [resp.front]: where RESP clients connect.
struct FrontOptions {
  FrontSettings settings;
  std::string read_class, write_class;  // empty: the first safe class, the first other one
};

struct Options {
  std::optional<FrontOptions> front;
  std::optional<ServerOptions> servers;
};

// Both throw options::Error.
Options read_options(options::Table table);
// Checks the options against the platform's settings, and fills in what only these tell. `file` is the
// options file's name, `clients` the descriptors that all clients have together.
void resolve(Options& options, const Settings& settings, const std::string& file, std::size_t clients);

// Whether writes go to servers that are told no keys: these drop no repeats, so that what is keyed there is
// in truth unsafe.
bool repeats_run_twice(const Options& options, const Settings& settings);

// What is on, a line each.
std::string describe(const Options& options);

}  // namespace streampick::resp
