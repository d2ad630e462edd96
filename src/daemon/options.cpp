#include "daemon/options.h"

#define TOML_HEADER_ONLY 1
#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>

#include "net/tcp.h"

namespace streampick::node {
namespace {

constexpr std::int64_t kMostMs = 86'400'000;

// Reads one table, and knows which of its keys were asked for.
class Table {
 public:
  Table(const toml::table& table, std::string path, const std::string& file)
      : table_(table), path_(std::move(path)), file_(file) {}

  [[noreturn]] void wrong(std::string_view key, const std::string& why) const {
    const toml::node* node = key.empty() ? nullptr : table_.get(key);
    const auto line = node != nullptr ? node->source().begin.line : table_.source().begin.line;
    std::string where = path_;
    if (!key.empty()) where += (where.empty() ? "" : ".") + std::string(key);
    throw OptionsError(file_ + ":" + std::to_string(line) + ": " + where + ": " + why);
  }

  template <typename Integer>
  void integer(std::string_view key, Integer& out, std::int64_t least, std::int64_t most,
               std::int64_t unit = 1) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < least || *value > most)
      wrong(key, "expected a whole number from " + std::to_string(least) + " to " + std::to_string(most));
    out = static_cast<Integer>(*value * unit);
  }
  void yes(std::string_view key, bool& out) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    const auto value = node->value_exact<bool>();
    if (!value) wrong(key, "expected true or false");
    out = *value;
  }
  bool text(std::string_view key, std::string& out, std::size_t most = 256) {
    const toml::node* node = find(key);
    if (node == nullptr) return false;
    const auto value = node->value_exact<std::string>();
    if (!value || value->size() > most)
      wrong(key, "expected a text of at most " + std::to_string(most) + " bytes");
    out = *value;
    return true;
  }
  void texts(std::string_view key, std::vector<std::string>& out) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    const toml::array* all = node->as_array();
    if (all == nullptr) wrong(key, "expected a list of texts");
    for (const toml::node& item : *all) {
      const auto value = item.value_exact<std::string>();
      if (!value) wrong(key, "expected a list of texts");
      out.push_back(*value);
    }
  }
  std::optional<Table> table(std::string_view key) {
    const toml::node* node = find(key);
    if (node == nullptr) return std::nullopt;
    if (!node->is_table()) wrong(key, "expected a table");
    return Table(*node->as_table(), path_.empty() ? std::string(key) : path_ + "." + std::string(key), file_);
  }
  std::vector<Table> tables(std::string_view key) {
    std::vector<Table> out;
    const toml::node* node = find(key);
    if (node == nullptr) return out;
    const toml::array* all = node->as_array();
    if (all == nullptr) wrong(key, "expected tables");
    for (const toml::node& item : *all) {
      if (!item.is_table()) wrong(key, "expected tables");
      out.emplace_back(*item.as_table(),
                       path_ + "." + std::string(key) + "[" + std::to_string(out.size()) + "]", file_);
    }
    return out;
  }
  // A key that nothing reads would be taken for set when it is not.
  void no_others() const {
    for (const auto& [key, node] : table_)
      if (!asked_.contains(std::string(key.str()))) wrong(key.str(), "there is no such key");
  }

 private:
  const toml::node* find(std::string_view key) {
    asked_.emplace(key);
    return table_.get(key);
  }
  const toml::table& table_;
  std::string path_;
  const std::string& file_;
  std::set<std::string> asked_;
};

RespFrontOptions read_front(Table table) {
  RespFrontOptions out;
  std::string listen;
  if (!table.text("listen", listen)) table.wrong("listen", "it is missing");
  const auto endpoint = parse_endpoint(listen);
  if (!endpoint) table.wrong("listen", "expected ADDRESS:PORT, the address in numbers");
  resp::FrontSettings& settings = out.settings;
  settings.listen = *endpoint;
  table.text("read_class", out.read_class);
  table.text("write_class", out.write_class);
  table.text("tenant", settings.rules.tenant);
  table.integer("most_clients", settings.most_clients, 1, 65'536);
  table.integer("most_requests", settings.most_requests, 1, 65'536);
  table.integer("pipeline", settings.rules.pipeline, 1, 4'096);
  table.integer("replies", settings.rules.replies, 1, 65'536);
  table.integer("most_keys", settings.rules.table.most_keys, 1, 1'024);
  table.integer("longest_key_bytes", settings.rules.table.longest_key, 1, 4'096);
  table.integer("longest_value_bytes", settings.rules.longest_value, 1, 64 * 1024);
  table.integer("idle_ms", settings.idle, 0, kMostMs, 1000);
  for (Table user : table.tables("users")) {
    resp::User& made = settings.rules.users.emplace_back();
    if (!user.text("name", made.name) || made.name.empty()) user.wrong("name", "it is missing");
    if (!user.text("password", made.password) || made.password.empty())
      user.wrong("password", "it is missing");
    user.text("tenant", made.tenant);
    user.no_others();
  }
  table.no_others();
  return out;
}

RespServers read_servers(Table table) {
  RespServers out;
  table.texts("kinds", out.kinds);
  resp::ServerSettings& settings = out.settings;
  table.text("user", settings.rules.user);
  table.text("password", settings.rules.password);
  if (!settings.rules.user.empty() && settings.rules.password.empty())
    table.wrong("user", "a user needs a password");
  table.integer("connections", settings.connections, 1, 256);
  table.integer("pipeline", settings.pipeline, 1, 1'024);
  table.yes("writes_alone", settings.writes_alone);
  table.integer("waiting", settings.waiting, 1, 65'536);
  table.integer("store_queue", settings.store_queue, 0, 65'536);
  table.integer("store_ms", settings.rules.store_ms, 0, kMostMs * 30);
  table.integer("longest_value_bytes", settings.rules.longest_value, 1, 1024 * 1024);
  table.yes("send_ids", settings.rules.send_ids);
  table.no_others();
  return out;
}

std::string one_line(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text;
}

}  // namespace

Options parse_options(const std::string& text, const std::string& path) {
  Options out;
  out.file = path;
  try {
    const toml::table root = toml::parse(std::string_view(text));
    Table table(root, "", out.file);
    if (auto resp = table.table("resp")) {
      if (auto front = resp->table("front")) out.resp_front = read_front(std::move(*front));
      if (auto servers = resp->table("servers")) out.resp_servers = read_servers(std::move(*servers));
      resp->no_others();
    }
    table.no_others();
  } catch (const toml::parse_error& error) {
    throw OptionsError(path + ":" + std::to_string(error.source().begin.line) + ": " +
                       one_line(std::string(error.description())));
  }
  return out;
}

Options load_options(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw OptionsError(path + ": it can't be read");
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  return parse_options(text, path);
}

bool RespServers::speak(const std::vector<std::string>& names, std::uint32_t kind) const {
  return kinds.empty() ||
         (kind < names.size() && std::find(kinds.begin(), kinds.end(), names[kind]) != kinds.end());
}

void resolve(Options& options, const NodeSettings& node) {
  const Names& names = node.settings.names;
  const Config& config = node.settings.config;
  const auto wrong = [&](const std::string& key, const std::string& why) {
    throw OptionsError(options.file + ": " + key + ": " + why);
  };
  if (options.resp_servers) {
    for (const std::string& kind : options.resp_servers->kinds)
      if (index_of(names.kinds, kind) == kNone)
        wrong("resp.servers.kinds", "'" + kind + "' is not among the settings' Shapes");
  }
  if (!options.resp_front) return;
  RespFrontOptions& front = *options.resp_front;
  resp::FrontSettings& settings = front.settings;
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
  settings.rules.table.aside = config.aside;
  // A server of another kind may have to answer any command.
  settings.rules.table.plain_only = !options.resp_servers;
  for (std::uint32_t kind = 0; kind < names.kinds.size() && options.resp_servers; ++kind)
    if (!options.resp_servers->speak(names.kinds, kind)) settings.rules.table.plain_only = true;
  settings.seed = node.settings.seed ^ 0x52455350U;
  // Where servers can't be told a write's key, they can't drop its repeats.
  if (settings.write_key && repeats_run_twice(options, node))
    wrong("resp.servers.send_ids",
          "the class '" + names.classes[settings.write_class] +
              "' is keyed: its servers must be told keys to drop repeats, so send_ids must be true, or "
              "resp.front.write_class an unsafe class");
  for (const resp::User& user : settings.rules.users)
    if (!user.tenant.empty() && index_of(names.tenants, user.tenant) == kNone)
      wrong("resp.front.users", "'" + user.tenant + "' is not among the settings' Tenants");
  if (!settings.rules.tenant.empty() && index_of(names.tenants, settings.rules.tenant) == kNone)
    wrong("resp.front.tenant", "'" + settings.rules.tenant + "' is not among the settings' Tenants");
  const std::size_t half = descriptors_each(node);
  if (settings.most_clients + 8 > half)
    wrong("resp.front.most_clients",
          "of " + std::to_string(half) + " descriptors for clients it must leave 8 to the HTTP side");
}

bool repeats_run_twice(const Options& options, const NodeSettings& node) {
  if (!options.resp_servers || options.resp_servers->settings.rules.send_ids) return false;
  const Config& config = node.settings.config;
  // Where values have a source, writes go there and nowhere else.
  return !config.aside || options.resp_servers->speak(node.settings.names.kinds, config.origin_kind);
}

std::string describe(const Options& options) {
  std::ostringstream out;
  if (options.resp_front)
    out << "resp.front: on, " << options.resp_front->settings.listen << ", "
        << options.resp_front->settings.most_clients << " clients, pipeline "
        << options.resp_front->settings.rules.pipeline << ", "
        << options.resp_front->settings.rules.users.size() << " users\n";
  else
    out << "resp.front: off\n";
  if (options.resp_servers) {
    out << "resp.servers: on, kinds";
    if (options.resp_servers->kinds.empty()) out << " all";
    for (const std::string& kind : options.resp_servers->kinds) out << ' ' << kind;
    out << ", " << options.resp_servers->settings.connections << " connections of pipeline "
        << options.resp_servers->settings.pipeline << " each\n";
  } else {
    out << "resp.servers: off\n";
  }
  return out.str();
}

}  // namespace streampick::node
