// The settings of one router, given as values by dotted path, both by the simulator's first message and by
// the platform's configuration. Unknown paths are ignored.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "streampick/router.h"

namespace streampick {

// Values by dotted path. A list of scalars is one value, joined by commas; a list of objects has its length
// under .count and its items under .0, .1 and so on.
using SettingValues = std::map<std::string, std::string, std::less<>>;

class SettingsError : public std::runtime_error {
 public:
  // `text`: the value found; empty: the value is missing.
  SettingsError(std::string path, std::string text, const std::string& expected)
      : std::runtime_error(path + ": " + (text.empty() ? "missing" : "found '" + text.substr(0, 60) + "'") +
                           ", expected " + expected),
        path_(std::move(path)),
        text_(std::move(text)) {}
  const std::string& path() const { return path_; }
  const std::string& text() const { return text_; }

 private:
  std::string path_, text_;
};

// The names in one router's settings. Elsewhere a name is represented by its index in these lists.
struct Names {
  std::vector<std::string> classes, tenants, zones, kinds;
  std::vector<bool> keyed = {};  // by class
};
struct Settings {
  std::uint64_t seed = 0;
  Config config;
  Names names;
  bool peer_messages_allowed = false;  // whether routers may send one another datagrams
  std::uint32_t router_index = 0;      // this router's index among the routers
  Time drain_grace = 0;  // from the news that a server leaves to the last new request sent to it, us
};

// Both throw SettingsError. check_usable() rejects settings from which a Router cannot be made; its error
// names the path of the invalid value.
Settings read_settings(const SettingValues& values);
void check_usable(const SettingValues& values, const Settings& settings);

std::optional<double> to_number(std::string_view text);
std::uint32_t index_of(const std::vector<std::string>& names, std::string_view name);  // kNone: not found
std::uint64_t hash_name(std::string_view name);  // FNV-1a: the same in every process

}  // namespace streampick
