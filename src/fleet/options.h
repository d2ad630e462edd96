// The options file's section [fleet].
#pragma once

#include <string>
#include <vector>

#include "membership/address.h"
#include "membership/settings.h"
#include "membership/socket_settings.h"
#include "options/table.h"

namespace streampick::platform {
struct NodeSettings;
}

namespace streampick::fleet {

struct Options {
  bool on = false;
  membership::Settings core;  // name, own address and contacts come with resolve()
  membership::SocketSettings udp;
  std::string roster_file;  // addresses of peers, one a line; read again when it changes
  std::vector<std::string> seeds;
  std::string listen, advertise;
  bool count_routers = true;  // whether totals are divided by the view
  membership::Time hold = 10 * membership::kSecond;
};

// Both throw options::Error. `file`: the options file's name.
Options read_options(options::Table table);
void resolve(Options& options, const platform::NodeSettings& settings, const std::string& file);
std::string describe(const Options& options);

// "10.0.0.4:7946"; 0: it is no such thing.
membership::Address parse_address(const std::string& text);
// Addresses of a roster file's text: one a line, '#' begins a remark. Throws std::runtime_error that names
// the line.
std::vector<membership::Address> parse_roster(const std::string& text);
inline constexpr std::size_t kMostContacts = 2'048;

}  // namespace streampick::fleet
