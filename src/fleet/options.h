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
  membership::Settings core;  // resolve() sets the name, the own address and the contacts
  membership::SocketSettings udp;
  std::string roster_file;  // addresses of peers, one per line; reloaded when it changes
  std::vector<std::string> seeds;
  std::string listen, advertise;
  bool count_routers = true;  // whether totals are divided by the number of routers in the view
  // For how long a lower number of routers must last before totals are divided by it.
  membership::Time hold = 10 * membership::kSecond;
};

/// Reads the section. Throws options::Error.
Options read_options(options::Table table);
/// Fills in what depends on the platform's settings. `file`: name of the options file, for error messages.
/// Throws options::Error.
void resolve(Options& options, const platform::NodeSettings& settings, const std::string& file);
/// One line for --check.
std::string describe(const Options& options);

/// Parses an address such as "10.0.0.4:7946"; returns 0 if the text is not valid.
membership::Address parse_address(const std::string& text);
/// Parses the text of a roster file: one address per line, '#' starts a comment. Throws std::runtime_error
/// with the number of the wrong line.
std::vector<membership::Address> parse_roster(const std::string& text);
inline constexpr std::size_t kMaxContacts = 2'048;

}  // namespace streampick::fleet
