#include "roster/members.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "net/tcp.h"

namespace streampick::node {
namespace {

using nlohmann::json;

// 0 stays 0, which means long ago.
Time unix_ms(std::int64_t ms) { return ms <= 0 ? 0 : ms * 1000; }

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
  out.address = entry.at("host_port").get<std::string>();
  if (!parse_endpoint(out.address))
    throw std::runtime_error("bad address '" + out.address.substr(0, 80) + "'");
  out.member.zone = index_of(names.zones, entry.value("locality", ""));
  out.member.kind = index_of(names.kinds, entry.value("flavor", ""));
  out.member.cell = entry.value("cell", 0U);
  out.member.weight = entry.value("size", 1.0);
  if (!std::isfinite(out.member.weight) || out.member.weight < 0) throw std::runtime_error("bad size");
  out.member.started = unix_ms(entry.value("up_since_ms", std::int64_t{0}));
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

}  // namespace streampick::node
