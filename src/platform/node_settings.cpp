#include "platform/node_settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "net/tcp.h"
#include "roster/members.h"

namespace streampick::node {
namespace {

using nlohmann::json;

constexpr std::size_t kOtherDescriptors = 32;  // standard streams, listeners, discovery, the event loop's
constexpr std::size_t kLeastDescriptors = 64;
constexpr std::size_t kSocketsUnlessTold = 1024, kMemoryMbUnlessTold = 32;

tcp::endpoint endpoint(const json& value) {
  const std::string text = value.get<std::string>();
  if (const auto parsed = parse_endpoint(text)) return *parsed;
  throw std::runtime_error("bad address '" + text.substr(0, 80) + "'");
}

std::string plain(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

// Nested JSON to the dotted paths that both hosts' settings are read from.
void flatten(const std::string& path, const json& value, SettingValues& out) {
  if (value.is_object()) {
    for (const auto& [name, inner] : value.items())
      flatten(path.empty() ? name : path + "." + name, inner, out);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    out[path + ".count"] = std::to_string(value.size());
    for (std::size_t i = 0; i < value.size(); ++i) flatten(path + "." + std::to_string(i), value[i], out);
  } else if (value.is_array()) {
    std::string& joined = out[path];
    for (const json& item : value) {
      if (!joined.empty()) joined += ',';
      joined += plain(item);
    }
  } else if (!value.is_null()) {
    out[path] = plain(value);
  }
}

std::uint64_t parse_seed(const json& value) {
  if (value.is_number_unsigned()) return value.get<std::uint64_t>();
  return hash_name(plain(value));
}

}  // namespace

overload::Descriptors::Limits descriptor_limits(const NodeSettings& settings) {
  return overload::Descriptors::limits(std::max(settings.sockets, kLeastDescriptors) - kOtherDescriptors,
                                       settings.overload);
}

NodeSettings parse_settings(const std::string& text) {
  const json config = json::parse(text);
  NodeSettings out;
  SettingValues values;
  flatten("", config.at("settings"), values);
  out.settings = read_settings(values);
  validate(out.settings.config);
  out.name = config.value("name", "");
  out.listen = endpoint(config.at("listen"));
  out.discovery = endpoint(config.at("discovery"));
  if (config.contains("seed")) out.settings.seed = parse_seed(config.at("seed"));
  out.sockets = kSocketsUnlessTold;
  out.memory_mb = kMemoryMbUnlessTold;
  if (config.contains("limits")) out.cores = config.at("limits").value("cores", 1.0);
  if (config.contains("limits")) out.memory_mb = config.at("limits").value("memory_mb", kMemoryMbUnlessTold);
  if (config.contains("limits")) out.sockets = config.at("limits").value("sockets", kSocketsUnlessTold);
  if (config.contains("known") && !config.at("known").is_null())
    out.known = parse_members(config.at("known"), out.settings.names);
  return out;
}

NodeSettings load_settings(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read the configuration '" + path + "'");
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  try {
    return parse_settings(text);
  } catch (const std::exception& error) {
    std::string what = error.what();
    std::replace(what.begin(), what.end(), '\n', ' ');
    throw std::runtime_error("bad configuration '" + path + "': " + what);
  }
}

}  // namespace streampick::node
