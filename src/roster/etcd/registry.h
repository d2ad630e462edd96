// Members out of etcd's keys: one key a member, its value an entry as discovery words it. No I/O.
//
// A mistaken value never makes half a roster: it is quarantined, the member's last good value stays, and it
// is looked at again when what it clashes with has gone. Mistaken is: no JSON, a key missing or of a wrong
// type or out of bounds, a zone or kind that the settings do not name, an id or an address that another key
// has.
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

  // What the engine is to be told, in this order: departures before what has come in their place. The last
  // list of a complete publication is complete.
  std::vector<engine::EndpointList> apply(const Publication& publication);

  struct Fault {
    std::string key, why;
  };
  // Found since the last call; a fault that stays is told once.
  std::vector<Fault> take_faults() { return std::exchange(new_faults_, {}); }
  std::size_t quarantined() const { return faulty_.size(); }
  std::size_t members() const { return by_id_.size(); }
  // All that is good, as a complete list.
  engine::EndpointList list() const;

 private:
  struct Entry {
    KeyValue kv;                                 // the newest
    std::optional<engine::ListedEndpoint> good;  // what holds
    std::string fault;                           // of the newest; empty: none
  };
  void take(const std::string& key, engine::EndpointList& out);
  void remove(const std::string& key, engine::EndpointList& out);
  std::string clash(const std::string& key, const engine::ListedEndpoint& listed) const;

  const Names& names_;
  std::int64_t revision_ = 0;
  std::map<std::string, Entry> entries_;                   // by key
  std::map<std::string, std::string> by_id_, by_address_;  // of what is good, to its key
  std::set<std::string> faulty_;                           // keys whose newest value is not used
  std::vector<Fault> new_faults_;
};

}  // namespace streampick::etcd
