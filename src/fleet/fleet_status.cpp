// What operators see of the membership view: answers to commands and the summary line. Keys and words are
// those of docs/operators/membership.md.
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
  return counts_json(shell_.protocol().summary(now), now, hooks_.divided_by()).dump();
}

std::string Fleet::shares() const { return limits_ ? limits_->status() : ""; }

std::string Fleet::view() const {
  const auto now = time_.now();
  const membership::GossipProtocol& core = shell_.protocol();
  const membership::ViewSummary counts = core.summary(now);
  ordered_json out = counts_json(counts, now, hooks_.divided_by());
  out["digest"] = hex(counts.digest);
  out["health"] = core.local_health();
  out["open"] = shell_.is_open();
  out["self"] = record_json(core.self());
  out["members"] = ordered_json::array();
  for (const auto& [boot, member] : core.table().members()) {
    ordered_json one = record_json(member.record);
    one["for_ms"] = (now - member.since) / 1'000;
    out["members"].push_back(std::move(one));
  }
  const membership::ProtocolCounters& figures = core.counters();
  const membership::GossipSocket::Counts& shell = shell_.counts();
  ordered_json& figures_json = out["figures"];
  for (std::size_t kind = 0; kind < membership::kMessageKinds; ++kind) {
    figures_json["sent"][membership::kMessageKindNames[kind]] = shell.sent[kind];
    figures_json["received"][membership::kMessageKindNames[kind]] = shell.received[kind];
  }
  std::uint64_t unreadable = 0;
  for (const std::uint64_t kind : shell.decode_errors) unreadable += kind;
  const std::pair<const char*, std::uint64_t> numbers[] = {{"bytes_sent", shell.bytes_sent},
                                                           {"bytes_received", shell.bytes_received},
                                                           {"longest", shell.longest},
                                                           {"strangers", shell.not_peers},
                                                           {"unreadable", unreadable},
                                                           {"over_budget", shell.over_budget},
                                                           {"not_taken", shell.send_errors},
                                                           {"too_long", shell.too_long},
                                                           {"thrown_away", shell.discarded},
                                                           {"probes", figures.pings},
                                                           {"unanswered", figures.failed_probes},
                                                           {"repairs", figures.anti_entropy_rounds},
                                                           {"refutations", figures.refutations},
                                                           {"declared", figures.declared_unreachable},
                                                           {"stray", figures.unexpected_acks},
                                                           {"other_address", figures.address_mismatches},
                                                           {"no_room", figures.table_full}};
  for (const auto& [name, number] : numbers) figures_json[name] = number;
  return out.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string Fleet::summary() const {
  const membership::ViewSummary counts = shell_.protocol().summary(time_.now());
  return " fleet: alive=" + std::to_string(counts.alive) + " suspect=" + std::to_string(counts.suspect) +
         " unreachable=" + std::to_string(counts.unreachable) + " least=" + std::to_string(counts.min_live) +
         " most=" + std::to_string(counts.max_live) + " routers=" + std::to_string(hooks_.divided_by()) +
         (limits_ ? limits_->summary() : "");
}

}  // namespace streampick::fleet
