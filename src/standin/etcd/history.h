// What etcd keeps, in small: the history of a key space by revisions, with leases and compaction. No I/O; the
// stand-in server and the tests on virtual time share it.
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
    std::optional<std::string> value;  // nothing: a delete
    std::int64_t lease = 0;
  };
  // One transaction: all at one revision. A delete of what is not there changes nothing.
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
  // All keys of a lease go, in one transaction.
  std::int64_t end_lease(std::int64_t lease) {
    std::vector<Change> changes;
    for (const auto& [key, of] : leases_)
      if (of == lease) changes.push_back({key, std::nullopt, 0});
    return commit(changes);
  }
  // History up to and with `at` is forgotten; the state at it stays.
  void compact(std::int64_t at) {
    if (at <= compacted_ || at > revision_) return;
    base_ = state(at);
    log_.erase(log_.begin(), log_.upper_bound(at));
    compacted_ = at;
  }
  // Back to what it was: a restore from a backup. Revisions go back with it.
  void restore(std::int64_t at) {
    if (at < compacted_ || at > revision_) return;
    now_ = state(at);
    log_.erase(log_.upper_bound(at), log_.end());
    leases_.clear();
    revision_ = at;
  }
  // All keys as of `at`, which must not be below compacted().
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
  // Events of revisions from `from` to `to`, in order.
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
