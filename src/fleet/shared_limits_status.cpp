// The state of the lease protocol in answers to operators' commands. docs/operators/shares.md defines the
// keys and words.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "fleet/shared_limits.h"
#include "membership/address.h"

namespace streampick::fleet {

using leases::LeaseProtocol;
using leases::Time;
using nlohmann::ordered_json;

namespace {

ordered_json shards_json(const LeaseProtocol& protocol, Time now) {
  ordered_json shards = ordered_json::array();
  for (std::uint32_t shard = 0; shard < protocol.settings().shards; ++shard)
    shards.push_back({{"home", membership::text_of(protocol.known_granter(shard))},
                      {"epoch", protocol.epoch(shard).number},
                      {"self", protocol.is_granter(shard, now)},
                      {"grants", protocol.is_granting(shard, now)}});
  return shards;
}

ordered_json limit_json(const LeaseProtocol& protocol, const leases::Limit& limit, Time now,
                        const std::function<OriginWork()>& origin) {
  const leases::Allowance allowance = protocol.allowance(limit.id);
  ordered_json json;
  json["name"] = limit.name;
  json["kind"] = limit.kind == leases::LimitKind::hard ? "hard" : "soft";
  json["total"] = limit.total;
  json["floor"] = allowance.guaranteed;
  json["leased"] = now < allowance.lease_end ? allowance.leased : 0;
  json["for_ms"] = std::max<Time>(0, allowance.lease_end - now) / 1'000;
  json["usable"] = allowance.usable(now);
  json["wanted"] = protocol.demand(limit.id);
  if (limit.name == kOriginPlaces) json["out"] = origin().in_flight;
  if (const leases::LeaseTable* table = protocol.lease_table(limit.id))
    json["at_home"] = {{"out", table->outstanding(now)},
                       {"wanted", table->total_demand()},
                       {"holders", table->holder_count()}};
  return json;
}

ordered_json counters_json(const leases::Counters& counters, std::uint64_t unreadable_payloads) {
  ordered_json json;
  json["claims"] = counters.claims_sent;
  json["grants"] = counters.grants_sent;
  json["granted"] = counters.leases_applied;
  json["stale"] = counters.stale_grants;
  json["homes_won"] = counters.elections_won;
  json["homes_lost"] = counters.terms_lost;
  json["refused"] = counters.votes_rejected;
  json["unknown"] = counters.unknown_ids;
  json["slept"] = counters.suspensions;
  json["unreadable"] = unreadable_payloads;
  return json;
}

}  // namespace

std::string SharedLimits::status() const {
  const Time now = time_.now();
  ordered_json json;
  json["routers"] = protocol_.routers();
  json["seats"] = shards_json(protocol_, now);
  json["limits"] = ordered_json::array();
  for (const leases::Limit& limit : protocol_.settings().limits)
    json["limits"].push_back(limit_json(protocol_, limit, now, hooks_.origin_work));
  json["figures"] = counters_json(protocol_.counters(), unreadable_payloads_);
  return json.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string SharedLimits::summary() const {
  const Time now = time_.now();
  const leases::Settings& settings = protocol_.settings();
  std::size_t granted_shards = 0;
  for (std::uint32_t shard = 0; shard < settings.shards; ++shard)
    granted_shards += protocol_.is_granter(shard, now) ? 1 : 0;
  const auto leased = std::count_if(
      settings.limits.begin(), settings.limits.end(),
      [&](const leases::Limit& limit) { return now < protocol_.allowance(limit.id).lease_end; });
  return " shares: homes=" + std::to_string(granted_shards) + " leased=" + std::to_string(leased) + "/" +
         std::to_string(settings.limits.size());
}

}  // namespace streampick::fleet
