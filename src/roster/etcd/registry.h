// Parses the members from etcd's keys: each key holds one member, in the JSON form of a discovery entry. No
// I/O.
//
// An invalid value never removes a member: its key is quarantined, the member's last valid entry stays in
// use, and the value is checked again when the key that it conflicts with is removed. A value is invalid if
// it is not JSON, lacks a key, has a key of a wrong type or out of bounds, names a zone or kind that the
// settings don't have, or has the id or address of another key.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "engine/endpoint_discovery.h"
#include "roster/etcd/watcher.h"
#include "settings/settings.h"

namespace streampick::etcd {

class Registry {
 public:
  // `names` outlives it.
  explicit Registry(const Names& names) : names_(names) {}

  // Returns the lists for the engine, in this order: departures, then additions and changes. For a complete
  // publication the last list is complete.
  std::vector<engine::EndpointList> apply(const Publication& publication);

  struct Fault {
    std::string key, reason;
  };
  // Returns the faults found since the last call; a fault that persists is reported once.
  std::vector<Fault> take_faults() { return std::exchange(new_faults_, {}); }
  std::size_t quarantined() const { return quarantined_.size(); }
  std::size_t members() const { return by_id_.size(); }
  // Returns all accepted members as a complete list.
  engine::EndpointList list() const;

 private:
  struct Entry {
    KeyValue latest;
    std::optional<engine::ListedEndpoint> accepted;  // the entry in use
    std::string fault;                               // of `latest`; empty if it is valid
  };
  void evaluate(const std::string& key, engine::EndpointList& out);
  void remove(const std::string& key, engine::EndpointList& out);
  std::string find_conflict(const std::string& key, const engine::ListedEndpoint& listed) const;

  const Names& names_;
  std::int64_t revision_ = 0;
  std::map<std::string, Entry> entries_;                   // by key
  std::map<std::string, std::string> by_id_, by_address_;  // of accepted entries, mapped to their keys
  std::set<std::string> quarantined_;                      // keys whose newest value is invalid
  std::vector<Fault> new_faults_;
};

}  // namespace streampick::etcd
