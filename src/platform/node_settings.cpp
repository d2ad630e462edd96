#include "platform/node_settings.h"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "net/tcp.h"
#include "roster/members.h"
#include "settings/json_value.h"
#include "settings/shape.h"

namespace streampick::platform {
namespace {

using nlohmann::json;

constexpr std::size_t kOtherDescriptors = 32;  // standard streams, listeners, discovery, the event loop's
constexpr std::size_t kLeastDescriptors = 64;
constexpr std::size_t kSocketsUnlessTold = 1024, kMemoryMbUnlessTold = 32;

net::tcp::endpoint endpoint(const JsonValue& config, const char* key) {
  const char* const expected = "an address and a port, as 10.0.0.4:3000";
  const JsonValue value = config.at(key, expected);
  if (const auto parsed = net::parse_endpoint(value.text(expected))) return *parsed;
  value.wrong(expected);
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

std::uint64_t parse_seed(const JsonValue& value) {
  if (value.json().is_number_unsigned()) return value.whole(0, std::numeric_limits<std::uint64_t>::max());
  if (!value.json().is_string()) value.wrong("a whole number, or a text");
  return hash_name(value.text("a text"));
}

// Profiles.0.AimUs, as the settings are flattened, to settings.Profiles[0].AimUs, as they stand in the file.
std::string told(const SettingsError& error) {
  const std::string_view path = error.path();
  std::string out = "settings";
  for (std::size_t at = 0; at <= path.size();) {
    const std::size_t end = std::min(path.find('.', at), path.size());
    const std::string part(path.substr(at, end - at));
    const bool number = !part.empty() && part.find_first_not_of("0123456789") == std::string::npos;
    out += number ? "[" + part + "]" : "." + part;
    at = end + 1;
  }
  return out + std::string(error.what()).substr(path.size());
}

Settings read_part(const JsonValue& part) {
  SettingValues values;
  flatten("", part.object("an object with the settings").json(), values);
  try {
    Settings out = read_settings(values);
    check_usable(values, out);
    return out;
  } catch (const SettingsError& error) {
    throw std::runtime_error(told(error));
  }
}

}  // namespace

overload::DescriptorBudget::Limits descriptor_limits(const NodeSettings& settings) {
  return overload::DescriptorBudget::Limits::from_shares(
      std::max(settings.sockets, kLeastDescriptors) - kOtherDescriptors, settings.overload);
}

NodeSettings parse_settings(const std::string& text) {
  const json document = parse_json(text);
  const JsonValue config(document);
  config.object("an object with the keys settings, listen and discovery");
  NodeSettings out;
  out.text = text;
  out.settings = read_part(config.at("settings", "an object with the settings"));
  validate(out.settings.config);
  if (const auto name = config.find("name")) out.name = name->text("a text");
  out.listen = endpoint(config, "listen");
  out.discovery = endpoint(config, "discovery");
  if (config.find("management")) out.management = endpoint(config, "management");
  if (const auto seed = config.find("seed")) out.settings.seed = parse_seed(*seed);
  out.sockets = kSocketsUnlessTold;
  out.memory_mb = kMemoryMbUnlessTold;
  if (const auto limits = config.find("limits")) {
    if (const auto cores = limits->find("cores")) out.cores = cores->number(1e-3, 1e6, "a number above 0");
    if (const auto memory = limits->find("memory_mb")) out.memory_mb = memory->whole(1, 1U << 30U);
    if (const auto sockets = limits->find("sockets")) out.sockets = sockets->whole(1, 1U << 30U);
  }
  if (const auto known = config.find("known"))
    out.known = discovery::parse_members(*known, out.settings.names);
  return out;
}

Environment Environment::of_process() {
  const auto told = [](const char* name) {
    const char* value = std::getenv(name);
    return std::string(value != nullptr ? value : "");
  };
  return {told("NODE_MANAGEMENT"), told("NODE_PASSED_SOCKET"), told("TMPDIR")};
}

void apply(const Environment& environment, NodeSettings& settings) {
  if (!environment.management.empty()) {
    settings.management = net::parse_endpoint(environment.management);
    if (!settings.management)
      throw std::runtime_error("NODE_MANAGEMENT: there is '" + environment.management.substr(0, 60) +
                               "', expected an address and a port, as 10.0.0.4:15000");
  }
  settings.scratch = environment.scratch;
  const std::string& passed = environment.passed_socket;
  if (passed.empty()) return;
  int number = -1;
  const auto read = std::from_chars(passed.data(), passed.data() + passed.size(), number);
  const auto wrong = [&](const std::string& why) {
    throw std::runtime_error("NODE_PASSED_SOCKET: there is '" + passed.substr(0, 60) + "', " + why);
  };
  if (read.ec != std::errc{} || read.ptr != passed.data() + passed.size() || number < 3)
    wrong("expected the number of an open descriptor from 3 on");
  int listens = 0;
  socklen_t size = sizeof listens;
  if (::getsockopt(number, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0)
    wrong("which is no listening socket");
  sockaddr_storage address{};
  size = sizeof address;
  net::tcp::endpoint at;
  if (::getsockname(number, reinterpret_cast<sockaddr*>(&address), &size) != 0 || size > at.capacity())
    wrong("whose address can't be had");
  std::memcpy(at.data(), &address, size);
  at.resize(size);
  if (at.port() != settings.listen.port() ||
      (at.address() != settings.listen.address() && !at.address().is_unspecified()))
    wrong("which listens on " + at.address().to_string() + ":" + std::to_string(at.port()) +
          " and not on the address of listen");
  settings.passed_socket = number;
}

namespace {

NodeSettings load(const std::string& path, const NodeSettings* accepted) {
  std::ifstream file(path);
  if (!file) throw std::runtime_error("cannot read the configuration '" + path + "'");
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  try {
    NodeSettings out = parse_settings(text);
    if (accepted != nullptr) require_shape(parse_json(accepted->text), parse_json(text));
    return out;
  } catch (const std::exception& error) {
    std::string what = error.what();
    std::replace(what.begin(), what.end(), '\n', ' ');
    throw std::runtime_error("bad configuration '" + path + "': " + what);
  }
}

}  // namespace

NodeSettings load_settings(const std::string& path) { return load(path, nullptr); }
NodeSettings load_settings(const std::string& path, const NodeSettings& accepted) {
  return load(path, &accepted);
}

}  // namespace streampick::platform
