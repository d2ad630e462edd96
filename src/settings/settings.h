// The settings of one router, as the simulator's first message and the platform's configuration
// both give them: values by dotted path. Paths nobody asks for are skipped.
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

// A list of plain values is joined by commas; a list of objects has its length under .count and its
// items under .0, .1 and so on.
using SettingValues = std::map<std::string, std::string, std::less<>>;

class SettingsError : public std::runtime_error {
 public:
  // `text`: what stands there; empty: nothing does.
  SettingsError(std::string path, std::string text, const std::string& expected)
      : std::runtime_error(path + ": " +
                           (text.empty() ? "missing" : "there is '" + text.substr(0, 60) + "'") +
                           ", expected " + expected),
        path_(std::move(path)),
        text_(std::move(text)) {}
  const std::string& path() const { return path_; }
  const std::string& text() const { return text_; }

 private:
  std::string path_, text_;
};

// Names of one instance's settings, interned to their place in the list.
struct Names {
  std::vector<std::string> classes, tenants, zones, kinds;
  std::vector<bool> keyed = {};  // by class
};
struct Settings {
  std::uint64_t seed = 0;
  Config config;
  Names names;
  bool may_talk = false;  // whether routers may send one another datagrams
  std::uint32_t me = 0;   // this router's number among them
  Time drain_grace = 0;   // nothing new goes to a departing server later than this after the news
};

// Both throw SettingsError. check_usable() says what a router would refuse to be made with, by its path.
Settings read_settings(const SettingValues& values);
void check_usable(const SettingValues& values, const Settings& settings);

std::optional<double> to_number(std::string_view text);
std::uint32_t index_of(const std::vector<std::string>& names, std::string_view name);  // kNone: not there
std::uint64_t hash_name(std::string_view name);  // FNV-1a: the same in every process

}  // namespace streampick
