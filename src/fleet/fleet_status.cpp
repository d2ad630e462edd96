// The membership view in answers to operators' commands and in the statistics line.
// docs/operators/membership.md defines the keys and words.
#include <nlohmann/json.hpp>

#include "fleet/fleet.h"
#include "fleet/hex.h"

namespace streampick::fleet {

using membership::Record;
using nlohmann::ordered_json;

namespace {

constexpr const char* kStates[] = {"alive", "suspect", "unreachable", "left"};

ordered_json counts_json(const membership::ViewSummary& counts, membership::Time now, std::uint32_t routers) {
  ordered_json out;
  out["alive"] = counts.alive;
  out["suspect"] = counts.suspect;
  out["unreachable"] = counts.unreachable;
  out["left"] = counts.left;
  out["least"] = counts.min_live;
  out["most"] = counts.max_live;
  out["seen"] = counts.visible_share;
  out["settled"] = counts.is_settled;
  out["unchanged_ms"] = (now - counts.unchanged_since) / 1'000;
  out["routers"] = routers;
  return out;
}

ordered_json record_json(const Record& record) {
  ordered_json out;
  out["name"] = record.name;
  out["boot"] = hex(record.instance);
  out["address"] = membership::text_of(record.address);
  out["state"] = kStates[static_cast<std::size_t>(record.state)];
  out["incarnation"] = record.incarnation;
  out["draining"] = membership::fact(record, membership::kDraining) != 0;
  return out;
}

}  // namespace

std::string Fleet::brief() const {
  const auto now = time_.now();
  return counts_json(socket_.protocol().summary(now), now, hooks_.divisor()).dump();
}

std::string Fleet::shares() const { return limits_ ? limits_->status() : ""; }

std::string Fleet::view() const {
  const auto now = time_.now();
  const membership::GossipProtocol& core = socket_.protocol();
  const membership::ViewSummary counts = core.summary(now);
  ordered_json out = counts_json(counts, now, hooks_.divisor());
  out["digest"] = hex(counts.digest);
  out["health"] = core.local_health();
  out["open"] = socket_.is_open();
  out["self"] = record_json(core.self());
  out["members"] = ordered_json::array();
  for (const auto& [boot, member] : core.table().members()) {
    ordered_json entry = record_json(member.record);
    entry["for_ms"] = (now - member.since) / 1'000;
    out["members"].push_back(std::move(entry));
  }
  const membership::ProtocolCounters& protocol_counts = core.counters();
  const membership::GossipSocket::Counts& socket_counts = socket_.counts();
  ordered_json& figures_json = out["figures"];
  for (std::size_t kind = 0; kind < membership::kMessageKinds; ++kind) {
    figures_json["sent"][membership::kMessageKindNames[kind]] = socket_counts.sent[kind];
    figures_json["received"][membership::kMessageKindNames[kind]] = socket_counts.received[kind];
  }
  std::uint64_t unreadable = 0;
  for (const std::uint64_t kind : socket_counts.decode_errors) unreadable += kind;
  const std::pair<const char*, std::uint64_t> numbers[] = {
      {"bytes_sent", socket_counts.bytes_sent},
      {"bytes_received", socket_counts.bytes_received},
      {"longest", socket_counts.longest},
      {"strangers", socket_counts.not_peers},
      {"unreadable", unreadable},
      {"over_budget", socket_counts.over_budget},
      {"not_taken", socket_counts.send_errors},
      {"too_long", socket_counts.too_long},
      {"thrown_away", socket_counts.discarded},
      {"probes", protocol_counts.pings},
      {"unanswered", protocol_counts.failed_probes},
      {"repairs", protocol_counts.anti_entropy_rounds},
      {"refutations", protocol_counts.refutations},
      {"declared", protocol_counts.declared_unreachable},
      {"stray", protocol_counts.unexpected_acks},
      {"other_address", protocol_counts.address_mismatches},
      {"no_room", protocol_counts.table_full}};
  for (const auto& [name, number] : numbers) figures_json[name] = number;
  return out.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string Fleet::summary() const {
  const membership::ViewSummary counts = socket_.protocol().summary(time_.now());
  return " fleet: alive=" + std::to_string(counts.alive) + " suspect=" + std::to_string(counts.suspect) +
         " unreachable=" + std::to_string(counts.unreachable) + " least=" + std::to_string(counts.min_live) +
         " most=" + std::to_string(counts.max_live) + " routers=" + std::to_string(hooks_.divisor()) +
         (limits_ ? limits_->summary() : "");
}

}  // namespace streampick::fleet
