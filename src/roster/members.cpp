#include "roster/members.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "net/tcp.h"

namespace streampick::discovery {
namespace {

// 0 or less (an unknown start) becomes 0, which counts as started long ago.
Time unix_ms(std::int64_t ms) { return ms <= 0 ? 0 : ms * 1000; }

}  // namespace

engine::ListedEndpoint parse_member(const JsonValue& entry, const Names& names) {
  const char* const phases = "in_service, terminating or terminated";
  const char* const address = "an address and a port, as 10.1.0.18:3000";
  engine::ListedEndpoint out;
  out.id = entry.at("id", "a text of 1 to 256 bytes").string("a text of 1 to 256 bytes", 1, 256);
  out.member.identity = hash_name(out.id);
  const JsonValue phase = entry.at("phase", phases);
  const std::string word = phase.string(phases);
  if (word == "terminating") {
    out.member.phase = Phase::draining;
  } else if (word == "terminated") {
    out.member.phase = Phase::gone;
  } else if (word != "in_service") {
    phase.reject(phases);
  }
  const JsonValue host_port = entry.at("host_port", address);
  out.address = host_port.string(address);
  if (!net::parse_endpoint(out.address)) host_port.reject(address);
  if (const auto zone = entry.find("locality"))
    out.member.zone = index_of(names.zones, zone->string("a zone's name"));
  if (const auto kind = entry.find("flavor"))
    out.member.kind = index_of(names.kinds, kind->string("a kind's name"));
  if (const auto cell = entry.find("cell"))
    out.member.cell = static_cast<std::uint32_t>(cell->integer(0, std::numeric_limits<std::uint32_t>::max()));
  if (const auto size = entry.find("size"))
    out.member.weight = size->number(0, std::numeric_limits<double>::max(), "a number of 0 or more");
  if (const auto since = entry.find("up_since_ms"))
    out.member.started = unix_ms(static_cast<std::int64_t>(since->number(-9e15, 9e15, "milliseconds")));
  return out;
}

engine::EndpointList parse_members(const JsonValue& list, const Names& names) {
  engine::EndpointList out;
  out.revision = list.at("revision", "a whole number").integer(0, std::numeric_limits<std::uint64_t>::max());
  out.complete = list.at("complete", "true or false").boolean();
  for (const JsonValue& entry : list.at("members", "a list of servers").items("a list of servers"))
    out.members.push_back(parse_member(entry, names));
  return out;
}

engine::EndpointList parse_members(const std::string& text, const Names& names) {
  const nlohmann::json list = parse_json(text);
  return parse_members(JsonValue(list), names);
}

}  // namespace streampick::discovery
