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

// Descriptors of standard streams, listeners, discovery and the event loop.
constexpr std::size_t kReservedDescriptors = 32;
constexpr std::size_t kMinDescriptors = 64;
constexpr std::size_t kDefaultSockets = 1024, kDefaultMemoryMb = 32;

net::tcp::endpoint endpoint(const JsonValue& config, const char* key) {
  const char* const expected = "an address and a port, as 10.0.0.4:3000";
  const JsonValue value = config.at(key, expected);
  if (const auto parsed = net::parse_endpoint(value.string(expected))) return *parsed;
  value.reject(expected);
}

std::string to_text(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

// Flattens nested JSON to the dotted paths that read_settings() takes.
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
      joined += to_text(item);
    }
  } else if (!value.is_null()) {
    out[path] = to_text(value);
  }
}

std::uint64_t parse_seed(const JsonValue& value) {
  if (value.json().is_number_unsigned()) return value.integer(0, std::numeric_limits<std::uint64_t>::max());
  if (!value.json().is_string()) value.reject("a whole number, or a text");
  return hash_name(value.string("a text"));
}

// The error's message with the key's path in the file, settings.Profiles[0].AimUs, in place of the flattened
// path, Profiles.0.AimUs.
std::string message_with_file_path(const SettingsError& error) {
  const std::string_view path = error.path();
  std::string out = "settings";
  for (std::size_t at = 0; at <= path.size();) {
    const std::size_t end = std::min(path.find('.', at), path.size());
    const std::string part(path.substr(at, end - at));
    const bool is_index = !part.empty() && part.find_first_not_of("0123456789") == std::string::npos;
    out += is_index ? "[" + part + "]" : "." + part;
    at = end + 1;
  }
  return out + std::string(error.what()).substr(path.size());
}

Settings parse_settings_object(const JsonValue& object) {
  SettingValues values;
  flatten("", object.object("an object with the settings").json(), values);
  try {
    Settings out = read_settings(values);
    check_usable(values, out);
    return out;
  } catch (const SettingsError& error) {
    throw std::runtime_error(message_with_file_path(error));
  }
}

}  // namespace

overload::DescriptorBudget::Limits descriptor_limits(const NodeSettings& settings) {
  return overload::DescriptorBudget::Limits::from_shares(
      std::max(settings.sockets, kMinDescriptors) - kReservedDescriptors, settings.overload);
}

NodeSettings parse_settings(const std::string& text) {
  const json document = parse_json(text);
  const JsonValue config(document);
  config.object("an object with the keys settings, listen and discovery");
  NodeSettings out;
  out.text = text;
  out.settings = parse_settings_object(config.at("settings", "an object with the settings"));
  validate(out.settings.config);
  if (const auto name = config.find("name")) out.name = name->string("a text");
  out.listen = endpoint(config, "listen");
  out.discovery = endpoint(config, "discovery");
  if (config.find("management")) out.management = endpoint(config, "management");
  if (const auto seed = config.find("seed")) out.settings.seed = parse_seed(*seed);
  out.sockets = kDefaultSockets;
  out.memory_mb = kDefaultMemoryMb;
  if (const auto limits = config.find("limits")) {
    if (const auto cores = limits->find("cores")) out.cores = cores->number(1e-3, 1e6, "a number above 0");
    if (const auto memory = limits->find("memory_mb")) out.memory_mb = memory->integer(1, 1U << 30U);
    if (const auto sockets = limits->find("sockets")) out.sockets = sockets->integer(1, 1U << 30U);
  }
  if (const auto known = config.find("known"))
    out.known = discovery::parse_members(*known, out.settings.names);
  return out;
}

Environment Environment::from_process() {
  const auto value_of = [](const char* name) {
    const char* value = std::getenv(name);
    return std::string(value != nullptr ? value : "");
  };
  return {value_of("NODE_MANAGEMENT"), value_of("NODE_PASSED_SOCKET"), value_of("TMPDIR")};
}

void apply(const Environment& environment, NodeSettings& settings) {
  if (!environment.management.empty()) {
    settings.management = net::parse_endpoint(environment.management);
    if (!settings.management)
      throw std::runtime_error("NODE_MANAGEMENT: found '" + environment.management.substr(0, 60) +
                               "', expected an address and a port, such as 10.0.0.4:15000");
  }
  settings.shared_folder = environment.shared_folder;
  const std::string& passed = environment.passed_socket;
  if (passed.empty()) return;
  int number = -1;
  const auto parsed = std::from_chars(passed.data(), passed.data() + passed.size(), number);
  const auto reject = [&](const std::string& reason) {
    throw std::runtime_error("NODE_PASSED_SOCKET: found '" + passed.substr(0, 60) + "', " + reason);
  };
  if (parsed.ec != std::errc{} || parsed.ptr != passed.data() + passed.size() || number < 3)
    reject("expected the number of an open file descriptor, 3 or more");
  int is_listening = 0;
  socklen_t size = sizeof is_listening;
  if (::getsockopt(number, SOL_SOCKET, SO_ACCEPTCONN, &is_listening, &size) != 0 || is_listening == 0)
    reject("which is not a listening socket");
  sockaddr_storage address{};
  size = sizeof address;
  net::tcp::endpoint bound;
  if (::getsockname(number, reinterpret_cast<sockaddr*>(&address), &size) != 0 || size > bound.capacity())
    reject("whose address cannot be determined");
  std::memcpy(bound.data(), &address, size);
  bound.resize(size);
  if (bound.port() != settings.listen.port() ||
      (bound.address() != settings.listen.address() && !bound.address().is_unspecified()))
    reject("which listens on " + bound.address().to_string() + ":" + std::to_string(bound.port()) +
           " and not on the address of the key listen");
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
    std::string message = error.what();
    std::replace(message.begin(), message.end(), '\n', ' ');
    throw std::runtime_error("invalid configuration '" + path + "': " + message);
  }
}

}  // namespace

NodeSettings load_settings(const std::string& path) { return load(path, nullptr); }
NodeSettings load_settings(const std::string& path, const NodeSettings& accepted) {
  return load(path, &accepted);
}

}  // namespace streampick::platform
