#include "roster/etcd/registry.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "roster/members.h"
#include "settings/json_value.h"

namespace streampick::etcd {
namespace {

constexpr std::size_t kMaxValueSize = 4 * 1024, kMaxFaultSize = 200;  // bytes

bool same(const engine::ListedEndpoint& a, const engine::ListedEndpoint& b) {
  const auto all = [](const engine::ListedEndpoint& one) {
    const Member& m = one.member;
    return std::tie(one.id, one.address, m.identity, m.zone, m.kind, m.cell, m.phase, m.weight, m.started);
  };
  return all(a) == all(b);
}

// Throws JsonError.
engine::ListedEndpoint parse_entry(const std::string& value, const Names& names) {
  if (value.size() > kMaxValueSize)
    throw JsonError("", "there are " + std::to_string(value.size()) + " bytes",
                    "at most " + std::to_string(kMaxValueSize));
  const nlohmann::json json = parse_json(value);
  const JsonValue entry(json);
  engine::ListedEndpoint out = discovery::parse_member(entry, names);
  // The platform's lists may contain names that the settings lack. Entries in etcd are written by operators,
  // so that an unknown name there is an error.
  const auto check_name = [&](const char* key, const std::vector<std::string>& all) {
    const auto named = entry.find(key);
    if (named && !all.empty() && index_of(all, named->string("a name")) == kNone) {
      std::string expected = "one of";
      for (const std::string& name : all) expected += " " + name;
      named->reject(expected);
    }
  };
  check_name("locality", names.zones);
  check_name("flavor", names.kinds);
  return out;
}

}  // namespace

std::vector<engine::EndpointList> Registry::apply(const Publication& publication) {
  revision_ = publication.revision;
  engine::EndpointList departed, changed;
  departed.revision = changed.revision = static_cast<std::uint64_t>(publication.revision);
  for (const Departure& departure : publication.departed) remove(departure.key, departed);
  std::vector<std::string> updated_keys;
  for (const KeyValue& kv : publication.puts) {
    Entry& entry = entries_[kv.key];
    if (entry.latest == kv) continue;
    entry.latest = kv;
    updated_keys.push_back(kv.key);
  }
  for (const std::string& key : updated_keys) evaluate(key, changed);
  // Keys that were quarantined because of a conflict may be valid now. The loop ends with the first pass that
  // accepts no further key.
  for (bool changed_any = true; changed_any;) {
    changed_any = false;
    for (const std::string& key : std::set<std::string>(quarantined_)) {
      if (std::find(updated_keys.begin(), updated_keys.end(), key) != updated_keys.end()) continue;
      const std::size_t before = changed.members.size();
      evaluate(key, changed);
      changed_any = changed_any || changed.members.size() > before;
    }
    updated_keys.clear();
  }
  std::vector<engine::EndpointList> out;
  if (!departed.members.empty()) out.push_back(std::move(departed));
  if (publication.complete) {
    out.push_back(list());
  } else if (!changed.members.empty()) {
    out.push_back(std::move(changed));
  }
  return out;
}

std::string Registry::find_conflict(const std::string& key, const engine::ListedEndpoint& listed) const {
  const auto owner_of = [&key](const std::map<std::string, std::string>& all, const std::string& what) {
    const auto found = all.find(what);
    return found != all.end() && found->second != key ? found->second : std::string();
  };
  if (const std::string other = owner_of(by_id_, listed.id); !other.empty())
    return "id: \"" + listed.id + "\" is already used by " + other;
  if (const std::string other = owner_of(by_address_, listed.address); !other.empty())
    return "host_port: \"" + listed.address + "\" is already used by " + other;
  return {};
}

// Replaces a key's accepted entry by its newest value if that is valid; otherwise quarantines the key.
void Registry::evaluate(const std::string& key, engine::EndpointList& out) {
  Entry& entry = entries_.at(key);
  std::string fault;
  std::optional<engine::ListedEndpoint> listed;
  try {
    listed = parse_entry(entry.latest.value, names_);
    fault = find_conflict(key, *listed);
  } catch (const JsonError& error) {
    fault = error.what();
  }
  if (!fault.empty()) {
    if (fault.size() > kMaxFaultSize) fault.resize(kMaxFaultSize);
    if (fault != entry.fault) new_faults_.push_back({key, fault});
    quarantined_.insert(key);
    entry.fault = std::move(fault);
    return;
  }
  entry.fault.clear();
  quarantined_.erase(key);
  if (entry.accepted) {
    if (same(*entry.accepted, *listed)) return;
    if (entry.accepted->id != listed->id) {
      // The key names another member now, so that the previous member departs.
      out.members.push_back(*entry.accepted);
      out.members.back().member.phase = Phase::gone;
    }
    by_id_.erase(entry.accepted->id);
    by_address_.erase(entry.accepted->address);
  }
  by_id_[listed->id] = by_address_[listed->address] = key;
  out.members.push_back(*listed);
  entry.accepted = std::move(listed);
}

void Registry::remove(const std::string& key, engine::EndpointList& out) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return;
  if (const auto& accepted = found->second.accepted) {
    by_id_.erase(accepted->id);
    by_address_.erase(accepted->address);
    out.members.push_back(*accepted);
    out.members.back().member.phase = Phase::gone;
  }
  entries_.erase(found);
  quarantined_.erase(key);
}

engine::EndpointList Registry::list() const {
  engine::EndpointList out;
  out.revision = static_cast<std::uint64_t>(revision_);
  out.complete = true;
  for (const auto& [key, entry] : entries_)
    if (entry.accepted && entry.accepted->member.phase != Phase::gone) out.members.push_back(*entry.accepted);
  return out;
}

}  // namespace streampick::etcd
