#include "settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "clock.h"

namespace streampick::node {
namespace {

using boost::asio::ip::tcp;
using nlohmann::json;

constexpr std::size_t kSocketsUnlessTold = 1024, kMemoryMbUnlessTold = 32;

tcp::endpoint parse_endpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  unsigned port = 0;
  boost::system::error_code error = boost::asio::error::invalid_argument;
  if (colon != std::string::npos) {
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec == std::errc{} && parsed.ptr == end && port <= 65535) {
      const auto address = boost::asio::ip::make_address(text.substr(0, colon), error);
      if (!error) return {address, static_cast<std::uint16_t>(port)};
    }
  }
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

Listed parse_member(const json& entry, const Names& names) {
  Listed out;
  out.id = entry.at("id").get<std::string>();
  if (out.id.empty() || out.id.size() > 256) throw std::runtime_error("bad member id");
  out.member.identity = hash_name(out.id);
  const std::string phase = entry.at("phase").get<std::string>();
  if (phase == "terminating") {
    out.member.phase = Phase::draining;
  } else if (phase == "terminated") {
    out.member.phase = Phase::gone;
  } else if (phase != "in_service") {
    throw std::runtime_error("bad phase '" + phase.substr(0, 80) + "'");
  }
  out.address = parse_endpoint(entry.at("host_port").get<std::string>());
  out.member.zone = index_of(names.zones, entry.value("locality", ""));
  out.member.kind = index_of(names.kinds, entry.value("flavor", ""));
  out.member.cell = entry.value("cell", 0U);
  out.member.weight = entry.value("size", 1.0);
  if (!std::isfinite(out.member.weight) || out.member.weight < 0) throw std::runtime_error("bad size");
  out.member.started = Clock::from_unix_ms(entry.value("up_since_ms", std::int64_t{0}));
  return out;
}

}  // namespace

MemberList parse_members(const json& list, const Names& names) {
  MemberList out;
  out.revision = list.at("revision").get<std::uint64_t>();
  out.complete = list.at("complete").get<bool>();
  for (const json& entry : list.at("members")) out.members.push_back(parse_member(entry, names));
  return out;
}

MemberList parse_members(const std::string& text, const Names& names) {
  return parse_members(json::parse(text), names);
}

NodeSettings parse_settings(const std::string& text) {
  const json config = json::parse(text);
  NodeSettings out;
  SettingValues values;
  flatten("", config.at("settings"), values);
  out.settings = read_settings(values);
  validate(out.settings.config);
  out.name = config.value("name", "");
  out.listen = parse_endpoint(config.at("listen").get<std::string>());
  out.discovery = parse_endpoint(config.at("discovery").get<std::string>());
  if (config.contains("seed")) out.settings.seed = parse_seed(config.at("seed"));
  out.sockets = kSocketsUnlessTold;
  out.memory_mb = kMemoryMbUnlessTold;
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
