#include "fleet/options.h"

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>

#include "fleet/configuration_error.h"
#include "net/tcp.h"
#include "platform/node_settings.h"
#include "settings/json_value.h"

namespace streampick::fleet {

using membership::Address;
using membership::kSecond;
using membership::udp;

Address parse_address(const std::string& text) {
  const auto endpoint = net::parse_endpoint(text);
  if (!endpoint || endpoint->port() == 0) return 0;
  return membership::address_of(udp::endpoint(endpoint->address(), endpoint->port()));
}

std::vector<Address> parse_roster(const std::string& text) {
  std::vector<Address> out;
  std::istringstream in(text);
  std::string line;
  for (int number = 1; std::getline(in, line); ++number) {
    line.resize(std::min(line.size(), line.find('#')));
    const std::size_t from = line.find_first_not_of(" \t\r");
    if (from == std::string::npos) continue;
    line = line.substr(from, line.find_last_not_of(" \t\r") - from + 1);
    const Address address = parse_address(line);
    if (address == 0)
      throw std::runtime_error("line " + std::to_string(number) +
                               ": expected ADDRESS:PORT with a numeric address, not '" + line.substr(0, 60) +
                               "'");
    if (out.size() >= kMaxContacts)
      throw std::runtime_error("line " + std::to_string(number) + ": more than " +
                               std::to_string(kMaxContacts) + " addresses");
    out.push_back(address);
  }
  return out;
}

Options read_options(options::Table table) {
  Options out;
  out.on = true;
  table.string("listen", out.listen, 64);
  table.string("advertise", out.advertise, 64);
  for (const auto& [key, text] : {std::pair("listen", &out.listen), std::pair("advertise", &out.advertise)})
    if (!text->empty() && parse_address(*text) == 0)
      table.reject(key, "expected ADDRESS:PORT with a numeric IPv4 address");
  table.string("name", out.udp.fleet, 64);
  table.strings("seeds", out.seeds);
  if (out.seeds.size() > 64) table.reject("seeds", "expected at most 64 addresses");
  for (const std::string& seed : out.seeds)
    if (parse_address(seed) == 0)
      table.reject("seeds", "expected ADDRESS:PORT, not '" + seed.substr(0, 60) + "'");
  table.string("roster_file", out.roster_file, 4096);
  std::string admit = "listed";
  table.string("admit", admit);
  if (admit != "listed" && admit != "any") table.reject("admit", R"(expected "listed" or "any")");
  out.udp.contacts_only = admit == "listed";
  table.integer("period_ms", out.core.period, 50, 60'000, 1'000);
  out.core.ping_timeout = out.core.period * 3 / 10;
  table.integer("answer_ms", out.core.ping_timeout, 10, 30'000, 1'000);
  if (out.core.ping_timeout * 3 > out.core.period)
    table.reject("answer_ms", "expected at most a third of period_ms");
  table.integer("datagram_bytes", out.core.max_datagram_size, 256, 1'200);
  table.integer("helpers", out.core.indirect_probers, 0, 16);
  table.integer("unreachable_s", out.core.lifetimes.unreachable, 10, 86'400, kSecond);
  auto datagrams = static_cast<std::int64_t>(out.udp.budget.datagrams);
  auto bytes = static_cast<std::int64_t>(out.udp.budget.bytes);
  table.integer("datagrams_per_s", datagrams, 10, 100'000);
  table.integer("bytes_per_s", bytes, 4'096, 100'000'000);
  out.udp.budget = {static_cast<double>(datagrams), static_cast<double>(bytes)};
  table.boolean("count_routers", out.count_routers);
  table.integer("hold_ms", out.hold, 0, 3'600'000, 1'000);
  table.reject_unknown_keys();
  return out;
}

namespace {

udp::endpoint to_udp(const std::string& text) {
  const auto endpoint = net::parse_endpoint(text);
  return {endpoint->address(), endpoint->port()};
}

// Uses the platform's configuration: `peer_listen`, and `peers` that are identified by their index.
void apply_platform_peers(Options& options, const platform::NodeSettings& settings, const JsonValue& config,
                          const std::string& file) {
  const char* const expected = "an address and a port, such as 10.0.0.4:7946";
  const auto endpoint = [&](const JsonValue& value) {
    const std::string text = value.string(expected);
    if (parse_address(text) == 0) value.reject(expected);
    return to_udp(text);
  };
  options.udp.listen = endpoint(config.at("peer_listen", expected));
  const auto peers = config.find("peers");
  if (!peers)
    throw ConfigurationError(file, "fleet", "the platform's configuration has peer_listen but no peers");
  for (const JsonValue& peer : peers->items("a list of addresses"))
    options.udp.peers.push_back(endpoint(peer));
  if (options.udp.peers.size() > kMaxContacts) peers->reject("at most 2048 addresses");
  if (settings.settings.router_index >= options.udp.peers.size())
    throw ConfigurationError(file, "fleet",
                             "the platform's configuration has " + std::to_string(options.udp.peers.size()) +
                                 " peers, but this router's number is " +
                                 std::to_string(settings.settings.router_index));
  options.core.address = membership::numbered(settings.settings.router_index);
  for (std::uint32_t number = 0; number < options.udp.peers.size(); ++number)
    options.core.contacts.push_back(membership::numbered(number));
  options.core.max_datagram_size = 256;
}

// Uses the options file: `listen` and `advertise`, `seeds` and the roster file.
void apply_own_addresses(Options& options, const std::string& file) {
  options.udp.listen = to_udp(options.listen);
  options.core.address = parse_address(options.advertise.empty() ? options.listen : options.advertise);
  if (options.udp.listen.address().is_unspecified() && options.advertise.empty())
    throw ConfigurationError(file, "fleet.advertise",
                             "this key is required when fleet.listen is a wildcard address");
  for (const std::string& seed : options.seeds) options.core.contacts.push_back(parse_address(seed));
  if (options.roster_file.empty()) return;
  const std::string key = "fleet.roster_file";
  std::ifstream in(options.roster_file);
  if (!in) throw ConfigurationError(file, key, "'" + options.roster_file + "' cannot be read");
  try {
    for (const Address address : parse_roster({std::istreambuf_iterator<char>(in), {}}))
      options.core.contacts.push_back(address);
  } catch (const std::runtime_error& error) {
    throw ConfigurationError(file, key, options.roster_file + ": " + error.what());
  }
}

// Uses the name that the platform's settings give this router.
void apply_name(Options& options, const platform::NodeSettings& settings, const std::string& file) {
  options.core.name = settings.name;
  const membership::Record self{1, settings.name, 1, 0, membership::State::alive, 0, 0, {}};
  if (settings.name.empty() || !membership::validation_error(self).empty())
    throw ConfigurationError(file, "fleet",
                             "this router's name in the platform's settings must be 1 to 32 printable ASCII "
                             "characters without spaces");
}

}  // namespace

void resolve(Options& options, const platform::NodeSettings& settings, const std::string& file) {
  if (!options.on) return;
  if (!settings.settings.peer_messages_allowed)
    throw ConfigurationError(
        file, "fleet", "the platform's settings forbid messages between routers (PolicyLimits.PeerMessages)");
  apply_name(options, settings, file);
  options.core.contacts.clear();
  options.udp.peers.clear();
  const nlohmann::json document = parse_json(settings.text);
  const JsonValue config(document);
  if (!options.listen.empty()) {
    apply_own_addresses(options, file);
    return;
  }
  if (!config.find("peer_listen"))
    throw ConfigurationError(file, "fleet.listen",
                             "this key is required when the platform's configuration has no peer_listen");
  try {
    apply_platform_peers(options, settings, config, file);
  } catch (const JsonError& error) {
    throw ConfigurationError(file, "fleet", std::string("the platform's configuration: ") + error.what());
  }
}

std::string describe(const Options& options) {
  if (!options.on) return "fleet: off\n";
  std::ostringstream out;
  out << "fleet: " << (options.listen.empty() ? "uses the platform's peers" : "listens on " + options.listen)
      << ", one probe every " << options.core.period / 1'000 << " ms, datagrams of at most "
      << options.core.max_datagram_size << " bytes, at most " << options.udp.budget.datagrams
      << " datagrams per second\n";
  return out.str();
}

}  // namespace streampick::fleet
