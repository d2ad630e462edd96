// A model of etcd's storage: the history of a key space by revision, with leases and compaction. Does no I/O;
// the stand-in server and the tests on virtual time share it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "roster/etcd/watcher.h"

namespace streampick::standin {

class EtcdHistory {
 public:
  using KeyValue = etcd::KeyValue;
  using Event = etcd::Event;

  std::uint64_t cluster_id = 0x1234;
  std::int64_t revision() const { return revision_; }
  std::int64_t compacted() const { return compacted_; }

  struct Change {
    std::string key;
    std::optional<std::string> value;  // no value: deletes the key
    std::int64_t lease = 0;
  };
  // Applies one transaction: all changes have the same revision. Deleting a missing key changes nothing.
  std::int64_t commit(const std::vector<Change>& changes) {
    const std::int64_t at = revision_ + 1;
    bool any = false;
    for (const Change& change : changes) {
      const auto found = now_.find(change.key);
      const bool there = found != now_.end();
      if (!change.value && !there) continue;
      any = true;
      Event event;
      event.removed = !change.value;
      event.kv.key = change.key;
      event.kv.mod_revision = at;
      leases_.erase(change.key);
      if (change.value) {
        event.kv.value = *change.value;
        event.kv.create_revision = there ? found->second.create_revision : at;
        now_[change.key] = event.kv;
        if (change.lease != 0) leases_[change.key] = change.lease;
      } else {
        now_.erase(found);
      }
      log_.emplace(at, std::move(event));
    }
    if (any) revision_ = at;
    return revision_;
  }
  std::int64_t put(const std::string& key, const std::string& value, std::int64_t lease = 0) {
    return commit({{key, value, lease}});
  }
  std::int64_t remove(const std::string& key) { return commit({{key, std::nullopt, 0}}); }
  // Deletes all keys of a lease in one transaction.
  std::int64_t end_lease(std::int64_t lease) {
    std::vector<Change> changes;
    for (const auto& [key, of] : leases_)
      if (of == lease) changes.push_back({key, std::nullopt, 0});
    return commit(changes);
  }
  // Discards the history up to and including revision `at`; the state at `at` is kept.
  void compact(std::int64_t at) {
    if (at <= compacted_ || at > revision_) return;
    base_ = state(at);
    log_.erase(log_.begin(), log_.upper_bound(at));
    compacted_ = at;
  }
  // Restores the state at revision `at`, as from a backup. The revision counter goes back to `at` as well.
  void restore(std::int64_t at) {
    if (at < compacted_ || at > revision_) return;
    now_ = state(at);
    log_.erase(log_.upper_bound(at), log_.end());
    leases_.clear();
    revision_ = at;
  }
  // Returns all keys as of revision `at`, which must not be below compacted().
  std::map<std::string, KeyValue> state(std::int64_t at) const {
    std::map<std::string, KeyValue> out = base_;
    for (auto it = log_.begin(); it != log_.end() && it->first <= at; ++it) {
      if (it->second.removed) {
        out.erase(it->second.kv.key);
      } else {
        out[it->second.kv.key] = it->second.kv;
      }
    }
    return out;
  }
  const std::map<std::string, KeyValue>& now() const { return now_; }
  // Returns the events of revisions `from` to `to`, in order.
  std::vector<Event> events(std::int64_t from, std::int64_t to) const {
    std::vector<Event> out;
    for (auto it = log_.lower_bound(from); it != log_.end() && it->first <= to; ++it)
      out.push_back(it->second);
    return out;
  }

 private:
  std::int64_t revision_ = 1, compacted_ = 0;
  std::map<std::string, KeyValue> now_, base_;
  std::map<std::string, std::int64_t> leases_;
  std::multimap<std::int64_t, Event> log_;
};

}  // namespace streampick::standin
