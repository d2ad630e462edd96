// The operator's options file: what the platform's configuration has no place for. Everything in it is off
// unless the file turns it on.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "daemon/node_settings.h"
#include "resp/front.h"
#include "resp/transport.h"

namespace streampick::node {

// [resp.servers]: which servers speak RESP, and how.
struct RespServers {
  std::vector<std::string> kinds;  // of members; empty: every one
  resp::ServerSettings settings;

  // Whether members of this kind (its place among `names`) speak RESP. One of no known kind speaks what all
  // do, if all do the same.
  bool speak(const std::vector<std::string>& names, std::uint32_t kind) const;
};

// [resp.front]: where RESP clients connect.
struct RespFrontOptions {
  resp::FrontSettings settings;
  std::string read_class, write_class;  // empty: the first safe class, the first other one
};

struct Options {
  std::string file;
  std::optional<RespFrontOptions> resp_front;
  std::optional<RespServers> resp_servers;
};

// What is wrong with a file: one line that names it, the key and the place.
class OptionsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throw OptionsError.
Options load_options(const std::string& path);
Options parse_options(const std::string& toml, const std::string& path);
// Checks the options against the platform's configuration, and fills in what only that tells.
void resolve(Options& options, const NodeSettings& settings);

// Whether writes go to servers that are told no keys: these drop no repeats, so that what is keyed there is
// in truth unsafe.
bool repeats_run_twice(const Options& options, const NodeSettings& settings);

// What is on, a line each.
std::string describe(const Options& options);

}  // namespace streampick::node
