#include "resp/options.h"

#include <algorithm>
#include <sstream>

#include "net/tcp.h"

namespace streampick::resp {
namespace {

constexpr std::int64_t kMaxMs = 86'400'000;

FrontOptions read_front(options::Table table) {
  FrontOptions out;
  std::string listen;
  if (!table.string("listen", listen)) table.reject("listen", "it is missing");
  const auto endpoint = net::parse_endpoint(listen);
  if (!endpoint) table.reject("listen", "expected ADDRESS:PORT, the address in numbers");
  FrontSettings& settings = out.settings;
  settings.listen = *endpoint;
  table.string("read_class", out.read_class);
  table.string("write_class", out.write_class);
  table.string("tenant", settings.rules.tenant);
  table.integer("most_clients", settings.most_clients, 1, 65'536);
  table.integer("most_requests", settings.most_requests, 1, 65'536);
  table.integer("pipeline", settings.rules.pipeline, 1, 4'096);
  table.integer("replies", settings.rules.replies, 1, 65'536);
  table.integer("most_keys", settings.rules.table.most_keys, 1, 1'024);
  table.integer("longest_key_bytes", settings.rules.table.longest_key, 1, 4'096);
  table.integer("longest_value_bytes", settings.rules.longest_value, 1, 64 * 1024);
  table.integer("idle_ms", settings.idle, 0, kMaxMs, 1000);
  for (options::Table& user : table.tables("users")) {
    User& added = settings.rules.users.emplace_back();
    if (!user.string("name", added.name) || added.name.empty()) user.reject("name", "it is missing");
    if (!user.string("password", added.password) || added.password.empty())
      user.reject("password", "it is missing");
    user.string("tenant", added.tenant);
    user.reject_unknown_keys();
  }
  table.reject_unknown_keys();
  return out;
}

ServerOptions read_servers(options::Table table) {
  ServerOptions out;
  table.strings("kinds", out.kinds);
  ServerSettings& settings = out.settings;
  table.string("user", settings.rules.user);
  table.string("password", settings.rules.password);
  if (!settings.rules.user.empty() && settings.rules.password.empty())
    table.reject("user", "a user needs a password");
  table.integer("connections", settings.connections, 1, 256);
  table.integer("pipeline", settings.pipeline, 1, 1'024);
  table.boolean("writes_alone", settings.writes_alone);
  table.integer("waiting", settings.waiting, 1, 65'536);
  table.integer("store_queue", settings.store_queue, 0, 65'536);
  table.integer("store_ms", settings.rules.store_ms, 0, kMaxMs * 30);
  table.integer("longest_value_bytes", settings.rules.longest_value, 1, 1024 * 1024);
  table.boolean("send_ids", settings.rules.send_ids);
  table.reject_unknown_keys();
  return out;
}

}  // namespace

Options read_options(options::Table table) {
  Options out;
  if (auto front = table.table("front")) out.front = read_front(std::move(*front));
  if (auto servers = table.table("servers")) out.servers = read_servers(std::move(*servers));
  table.reject_unknown_keys();
  return out;
}

bool ServerOptions::speaks_resp(const std::vector<std::string>& names, std::uint32_t kind) const {
  return kinds.empty() ||
         (kind < names.size() && std::find(kinds.begin(), kinds.end(), names[kind]) != kinds.end());
}

void resolve(Options& all, const Settings& platform, const std::string& file, std::size_t clients) {
  const Names& names = platform.names;
  const Config& config = platform.config;
  const auto wrong = [&](const std::string& key, const std::string& why) {
    throw options::Error(file + ": " + key + ": " + why);
  };
  if (all.servers) {
    for (const std::string& kind : all.servers->kinds)
      if (index_of(names.kinds, kind) == kNone)
        wrong("resp.servers.kinds", "'" + kind + "' is not among the settings' Shapes");
  }
  if (!all.front) return;
  FrontOptions& front = *all.front;
  FrontSettings& settings = front.settings;
  const auto find_class = [&](const std::string& key, const std::string& name, bool read) {
    if (!name.empty()) {
      const std::uint32_t found = index_of(names.classes, name);
      if (found == kNone) wrong(key, "'" + name + "' is not among the settings' Profiles");
      if (read != (config.classes[found].effect == Effect::safe))
        wrong(key,
              "'" + name + (read ? "' is not safe to repeat" : "' is safe to repeat, which no write is"));
      return found;
    }
    for (std::uint32_t i = 0; i < config.classes.size(); ++i)
      if (read == (config.classes[i].effect == Effect::safe)) return i;
    wrong(key, std::string("the settings have no class for ") + (read ? "reads" : "writes"));
    return kNone;
  };
  settings.read_class = find_class("resp.front.read_class", front.read_class, true);
  settings.write_class = find_class("resp.front.write_class", front.write_class, false);
  settings.write_key = config.classes[settings.write_class].effect == Effect::keyed;
  settings.rules.table.cache_aside = config.cache_aside;
  // If some kind of server does not speak RESP, it may have to answer any command.
  settings.rules.table.any_protocol_only = !all.servers;
  for (std::uint32_t kind = 0; kind < names.kinds.size() && all.servers; ++kind)
    if (!all.servers->speaks_resp(names.kinds, kind)) settings.rules.table.any_protocol_only = true;
  settings.seed = platform.seed ^ 0x52455350U;
  // Servers that don't receive the key of a write can't drop its repeats.
  if (settings.write_key && repeated_writes_run_twice(all, platform))
    wrong("resp.servers.send_ids",
          "the class '" + names.classes[settings.write_class] +
              "' is keyed: its servers must be told keys to drop repeats, so send_ids must be true, or "
              "resp.front.write_class an unsafe class");
  for (const User& user : settings.rules.users)
    if (!user.tenant.empty() && index_of(names.tenants, user.tenant) == kNone)
      wrong("resp.front.users", "'" + user.tenant + "' is not among the settings' Tenants");
  if (!settings.rules.tenant.empty() && index_of(names.tenants, settings.rules.tenant) == kNone)
    wrong("resp.front.tenant", "'" + settings.rules.tenant + "' is not among the settings' Tenants");
  if (settings.most_clients + 8 > clients)
    wrong("resp.front.most_clients",
          "of " + std::to_string(clients) + " descriptors for clients it must leave 8 to the HTTP side");
}

bool repeated_writes_run_twice(const Options& options, const Settings& platform) {
  if (!options.servers || options.servers->settings.rules.send_ids) return false;
  const Config& config = platform.config;
  // If values are stored at an origin, writes go only there.
  return !config.cache_aside || options.servers->speaks_resp(platform.names.kinds, config.origin_kind);
}

std::string describe(const Options& options) {
  std::ostringstream out;
  if (options.front)
    out << "resp.front: on, " << options.front->settings.listen << ", "
        << options.front->settings.most_clients << " clients, pipeline "
        << options.front->settings.rules.pipeline << ", " << options.front->settings.rules.users.size()
        << " users\n";
  else
    out << "resp.front: off\n";
  if (options.servers) {
    out << "resp.servers: on, kinds";
    if (options.servers->kinds.empty()) out << " all";
    for (const std::string& kind : options.servers->kinds) out << ' ' << kind;
    out << ", " << options.servers->settings.connections << " connections of pipeline "
        << options.servers->settings.pipeline << " each\n";
  } else {
    out << "resp.servers: off\n";
  }
  return out.str();
}

}  // namespace streampick::resp
