#include "roster/etcd/registry.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "roster/members.h"
#include "settings/json_value.h"

namespace streampick::etcd {
namespace {

constexpr std::size_t kLongestValue = 4 * 1024, kLongestFault = 200;

bool same(const engine::ListedEndpoint& a, const engine::ListedEndpoint& b) {
  const auto all = [](const engine::ListedEndpoint& one) {
    const Member& m = one.member;
    return std::tie(one.id, one.address, m.identity, m.zone, m.kind, m.cell, m.phase, m.weight, m.started);
  };
  return all(a) == all(b);
}

// Throws JsonError.
engine::ListedEndpoint read(const std::string& value, const Names& names) {
  if (value.size() > kLongestValue)
    throw JsonError("", "there are " + std::to_string(value.size()) + " bytes",
                    "at most " + std::to_string(kLongestValue));
  const nlohmann::json json = parse_json(value);
  const JsonValue entry(json);
  engine::ListedEndpoint out = discovery::parse_member(entry, names);
  // Discovery's own lists may name what the settings don't; what operators write by hand must not.
  const auto known = [&](const char* key, const std::vector<std::string>& all) {
    const auto named = entry.find(key);
    if (named && !all.empty() && index_of(all, named->text("a name")) == kNone) {
      std::string expected = "one of";
      for (const std::string& name : all) expected += " " + name;
      named->wrong(expected);
    }
  };
  known("locality", names.zones);
  known("flavor", names.kinds);
  return out;
}

}  // namespace

std::vector<engine::EndpointList> Registry::apply(const Publication& publication) {
  revision_ = publication.revision;
  engine::EndpointList gone, changed;
  gone.revision = changed.revision = static_cast<std::uint64_t>(publication.revision);
  for (const Departure& departure : publication.departed) remove(departure.key, gone);
  std::vector<std::string> look_at;
  for (const KeyValue& kv : publication.puts) {
    Entry& entry = entries_[kv.key];
    if (entry.kv == kv) continue;
    entry.kv = kv;
    look_at.push_back(kv.key);
  }
  for (const std::string& key : look_at) take(key, changed);
  // What was held back by a clash may hold now. Each round makes at least one good, or ends.
  for (bool again = true; again;) {
    again = false;
    for (const std::string& key : std::set<std::string>(faulty_)) {
      if (std::find(look_at.begin(), look_at.end(), key) != look_at.end()) continue;
      const std::size_t before = changed.members.size();
      take(key, changed);
      again = again || changed.members.size() > before;
    }
    look_at.clear();
  }
  std::vector<engine::EndpointList> out;
  if (!gone.members.empty()) out.push_back(std::move(gone));
  if (publication.complete) {
    out.push_back(list());
  } else if (!changed.members.empty()) {
    out.push_back(std::move(changed));
  }
  return out;
}

std::string Registry::clash(const std::string& key, const engine::ListedEndpoint& listed) const {
  const auto taken = [&key](const std::map<std::string, std::string>& all, const std::string& what) {
    const auto found = all.find(what);
    return found != all.end() && found->second != key ? found->second : std::string();
  };
  if (const std::string other = taken(by_id_, listed.id); !other.empty())
    return "id: there is \"" + listed.id + "\", which " + other + " has";
  if (const std::string other = taken(by_address_, listed.address); !other.empty())
    return "host_port: there is \"" + listed.address + "\", which " + other + " has";
  return {};
}

// The newest value of a key, if it is good, in the place of what held before.
void Registry::take(const std::string& key, engine::EndpointList& out) {
  Entry& entry = entries_.at(key);
  std::string fault;
  std::optional<engine::ListedEndpoint> listed;
  try {
    listed = read(entry.kv.value, names_);
    fault = clash(key, *listed);
  } catch (const JsonError& error) {
    fault = error.what();
  }
  if (!fault.empty()) {
    if (fault.size() > kLongestFault) fault.resize(kLongestFault);
    if (fault != entry.fault) new_faults_.push_back({key, fault});
    faulty_.insert(key);
    entry.fault = std::move(fault);
    return;
  }
  entry.fault.clear();
  faulty_.erase(key);
  if (entry.good) {
    if (same(*entry.good, *listed)) return;
    if (entry.good->id != listed->id) {
      // Another member in its place: the one before departs.
      out.members.push_back(*entry.good);
      out.members.back().member.phase = Phase::gone;
    }
    by_id_.erase(entry.good->id);
    by_address_.erase(entry.good->address);
  }
  by_id_[listed->id] = by_address_[listed->address] = key;
  out.members.push_back(*listed);
  entry.good = std::move(listed);
}

void Registry::remove(const std::string& key, engine::EndpointList& out) {
  const auto found = entries_.find(key);
  if (found == entries_.end()) return;
  if (const auto& good = found->second.good) {
    by_id_.erase(good->id);
    by_address_.erase(good->address);
    out.members.push_back(*good);
    out.members.back().member.phase = Phase::gone;
  }
  entries_.erase(found);
  faulty_.erase(key);
}

engine::EndpointList Registry::list() const {
  engine::EndpointList out;
  out.revision = static_cast<std::uint64_t>(revision_);
  out.complete = true;
  for (const auto& [key, entry] : entries_)
    if (entry.good && entry.good->member.phase != Phase::gone) out.members.push_back(*entry.good);
  return out;
}

}  // namespace streampick::etcd
