#include "fleet/share_options.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <sstream>

#include "fleet/configuration_error.h"
#include "platform/node_settings.h"

namespace streampick::fleet {

using membership::Address;
using membership::Time;

namespace {

constexpr std::size_t kMaxVoters = 9, kDefaultVoters = 5;

// Parses an address such as "10.0.0.4:7946" or, if the platform has peers, an index into them. Returns 0 if
// the text is not valid.
Address parse_voter(const std::string& text, std::size_t peers) {
  if (peers == 0) return parse_address(text);
  std::uint32_t number = 0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), number);
  const bool whole = read.ec == std::errc{} && read.ptr == text.data() + text.size();
  return whole && number < peers ? membership::numbered(number) : 0;
}

// Longest deadline of any request class: work at the origin ends by its request's deadline.
Time longest_deadline(const platform::NodeSettings& settings) {
  Time out = 0;
  for (const RequestClass& kind : settings.settings.config.classes) out = std::max(out, kind.deadline);
  return out;
}

}  // namespace

ShareOptions read_share_options(options::Table table) {
  ShareOptions out;
  out.on = true;
  out.core.shards = 4;
  out.core.max_work_duration = 0;
  table.strings("voters", out.voters);
  if (out.voters.size() > kMaxVoters) table.reject("voters", "expected at most 9 addresses");
  table.integer("origin_places", out.origin_places, 0, static_cast<std::int64_t>(leases::kMaxTotal));
  table.boolean("quotas", out.quotas);
  table.integer("seats", out.core.shards, 1, leases::kMaxShards);
  out.core.expected_routers = 0;
  table.integer("routers", out.core.expected_routers, 1, 4'096);
  table.integer("period_ms", out.core.period, 50, 60'000, 1'000);
  out.core.term = 4 * out.core.period;
  out.core.lease_duration = 3 * out.core.period;
  table.integer("term_ms", out.core.term, 100, 600'000, 1'000);
  table.integer("lease_ms", out.core.lease_duration, 100, 600'000, 1'000);
  if (out.core.term < 2 * out.core.period) table.reject("term_ms", "expected at least two periods");
  if (out.core.lease_duration < 2 * out.core.period || out.core.lease_duration > out.core.term)
    table.reject("lease_ms", "expected at least two periods and at most term_ms");
  table.integer("work_ms", out.core.max_work_duration, 1, 3'600'000, 1'000);
  table.number("drift", out.core.max_clock_drift, 0, 0.5);
  table.number("floor", out.core.guaranteed_share, 0, 1);
  table.number("reserve", out.core.reserve_share, 0, 0.5);
  table.number("weight", out.core.weight, leases::kMinWeight, leases::kMaxWeight);
  table.reject_unknown_keys();
  return out;
}

namespace {

// Returns the voters of the options file or, if it has none, kDefaultVoters of the platform's peers, spread
// evenly.
std::vector<Address> resolve_voters(const std::vector<std::string>& texts, std::size_t peers,
                                    const std::string& file) {
  const std::string key = "shares.voters";
  std::vector<Address> voters;
  for (const std::string& text : texts) {
    const Address address = parse_voter(text, peers);
    if (address == 0)
      throw ConfigurationError(
          file, key,
          "expected " +
              (peers > 0 ? "an index of the platform's peers, 0 to " + std::to_string(peers - 1)
                         : std::string("ADDRESS:PORT at which the other routers reach the voter")) +
              ", not '" + text.substr(0, 60) + "'");
    voters.push_back(address);
  }
  if (texts.empty()) {
    const std::size_t count = std::min(kDefaultVoters, peers);
    for (std::size_t i = 0; i < count; ++i)
      voters.push_back(membership::numbered(static_cast<std::uint32_t>(i * peers / count)));
  }
  if (voters.empty()) throw ConfigurationError(file, key, "this key is required");
  if (std::set<Address>(voters.begin(), voters.end()).size() != voters.size())
    throw ConfigurationError(file, key, "two voters are equal");
  return voters;
}

}  // namespace

void resolve(ShareOptions& options, const Options& fleet, const platform::NodeSettings& settings,
             const std::string& file) {
  if (!options.on) return;
  if (!fleet.on) throw ConfigurationError(file, "shares", "this section requires the section [fleet]");
  const Config& config = settings.settings.config;
  const std::size_t peers = fleet.udp.peers.size();
  options.core.self = fleet.core.address;
  options.core.voters = resolve_voters(options.voters, peers, file);
  if (options.core.expected_routers == 0)
    options.core.expected_routers = std::max(config.routers, static_cast<std::uint32_t>(peers));
  if (options.core.max_work_duration == 0) options.core.max_work_duration = longest_deadline(settings);
  check_max_work_duration(options, settings, file);
  options.core.limits = limits_of(options, settings.settings.names.tenants, config.tenants);
  std::set<leases::LimitId> ids;
  for (const leases::Limit& limit : options.core.limits)
    if (!ids.insert(limit.id).second)
      throw ConfigurationError(file, "shares",
                               "two limits have the same hash; rename the tenant of " + limit.name);
}

void check_max_work_duration(const ShareOptions& options, const platform::NodeSettings& settings,
                             const std::string& file) {
  const Time longest = longest_deadline(settings);
  if (options.on && options.core.max_work_duration < longest)
    throw ConfigurationError(file, "shares.work_ms",
                             "expected at least the longest HardLimitUs of the platform's classes, " +
                                 std::to_string((longest + 999) / 1'000));
}

std::string quota_limit_name(const std::string& tenant) { return "quota of " + tenant; }

leases::LimitId limit_id(const std::string& name) { return XXH32(name.data(), name.size(), 0); }

std::vector<leases::Limit> limits_of(const ShareOptions& options, const std::vector<std::string>& names,
                                     const std::vector<Tenant>& tenants) {
  std::vector<leases::Limit> out;
  if (options.origin_places > 0)
    out.push_back({.name = kOriginPlaces,
                   .id = limit_id(kOriginPlaces),
                   .kind = leases::LimitKind::hard,
                   .total = static_cast<double>(options.origin_places)});
  // Quotas beyond the maximum number of limits are not shared; each router gets an even share of them.
  for (std::size_t i = 0; options.quotas && i < tenants.size() && out.size() < leases::kMaxLimits; ++i) {
    if (tenants[i].quota_per_s <= 0) continue;
    const std::string name = quota_limit_name(i < names.size() ? names[i] : std::to_string(i));
    out.push_back({.name = name,
                   .id = limit_id(name),
                   .kind = leases::LimitKind::soft,
                   .total = std::min(tenants[i].quota_per_s, leases::kMaxTotal)});
  }
  return out;
}

std::string describe(const ShareOptions& options) {
  if (!options.on) return "shares: off\n";
  std::ostringstream out;
  out << "shares: " << options.core.limits.size() << " limits, " << options.core.voters.size()
      << " voters, a term of " << options.core.term / 1'000
      << " ms for each seat's home (the router that grants its leases), leases of "
      << options.core.lease_duration / 1'000 << " ms, at most " << options.core.expected_routers
      << " routers\n";
  return out.str();
}

}  // namespace streampick::fleet
