// Merges two sources of one roster, the platform's discovery and a second one, and notifies the engine of the
// changes. No I/O.
//
//   - Until a source has sent a complete list, a stored one is used, with the changes that the sources send.
//   - Until the second source has sent a complete list, the platform's lists are used.
//   - From then on the second source is the primary one: a server is in the roster if the second source lists
//     it. The switch-over notifies the engine of the differences only, so that servers which both sources
//     list are not affected.
//   - A departure that either source reports counts: a server that one source reports as draining or gone
//     gets no new requests, whatever the other source reports. This lasts until the source that reported the
//     departure lists the server again, or until the other source has reported the departure too: from then
//     on the other source's entries for this id describe another process.
//   - The engine polls the platform's discovery, where that has to be polled. So only what the platform does
//     is reported as an answer or a failure, whichever source leads: the second source connects again by
//     itself.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "engine/endpoint_discovery.h"

namespace streampick::roster {

class Sources {
 public:
  // `known`: the stored list that the engine has been started with.
  explicit Sources(engine::MergedListObserver& engine, const engine::EndpointList& known = {})
      : engine_(engine), platform_(*this, 0), second_(*this, 1) {
    set_stored(known);
  }

  // Replaces the stored list unless a source has sent something. Returns whether it did.
  bool use_stored(const engine::StoredEndpointList& stored) {
    if (has_received_) return false;
    set_stored(stored.list);
    engine_.on_stored_list(stored);
    return true;
  }

  engine::EndpointListObserver& platform() { return platform_; }
  engine::EndpointListObserver& secondary() { return second_; }
  bool second_leads() const { return second_.has_complete_list; }

 private:
  struct Source final : engine::EndpointListObserver {
    Source(Sources& sources, int source_index) : owner(sources), index(source_index) {}
    void on_endpoint_list(const engine::EndpointList& list) override {
      if (is_platform()) owner.engine_.on_discovery_answered();
      owner.on_list(*this, list);
    }
    void on_discovery_failed() override {
      if (is_platform()) owner.engine_.on_discovery_failed();
    }
    bool is_platform() const { return index == 0; }
    Sources& owner;
    int index;  // 0: the platform's, 1: the second
    bool has_complete_list = false;
    std::map<std::string, engine::ListedEndpoint> members;
    std::set<std::string> gone;  // ids that it reported as gone and has not listed since
  };

  void set_stored(const engine::EndpointList& list) {
    stored_.clear();
    for (const engine::ListedEndpoint& listed : list.members)
      if (listed.member.phase != Phase::gone) stored_.insert_or_assign(listed.id, listed);
    published_ = stored_;
  }
  void on_list(Source& source, const engine::EndpointList& list) {
    has_received_ = true;
    std::set<std::string> changed;
    if (list.complete) {
      // The stored list may hold servers that no source knows.
      for (const auto& [id, listed] : stored_) changed.insert(id);
      stored_.clear();
      for (const auto& [id, member] : source.members) changed.insert(id);
      // Servers missing from a complete list have left, also if their departure was not reported.
      std::set<std::string> listed_ids;
      for (const engine::ListedEndpoint& listed : list.members) listed_ids.insert(listed.id);
      for (const auto& [id, member] : source.members)
        if (!listed_ids.contains(id)) mark_gone(source, id);
      source.members.clear();
      source.has_complete_list = true;
      if (source.index == 1)
        for (const auto& [id, member] : platform_.members) changed.insert(id);
    }
    for (const engine::ListedEndpoint& listed : list.members) {
      changed.insert(listed.id);
      if (listed.member.phase == Phase::gone) {
        source.members.erase(listed.id);
        stored_.erase(listed.id);
        mark_gone(source, listed.id);
      } else {
        source.members[listed.id] = listed;
        source.gone.erase(listed.id);
      }
    }
    prune_gone(source);
    notify_engine(list, changed, source);
  }
  void mark_gone(Source& source, const std::string& id) {
    (source.index == 0 ? second_ : platform_).gone.erase(id);
    source.gone.insert(id);
  }
  // Bounds the memory for ids that have left: only those that the other source still lists matter.
  void prune_gone(Source& source) {
    const Source& other = source.index == 0 ? second_ : platform_;
    std::erase_if(source.gone, [&](const std::string& id) { return !other.members.contains(id); });
  }
  // Returns a server's entry merged from both sources, or nullptr if it is not in the roster. `merged` is
  // storage for the result.
  const engine::ListedEndpoint* effective(const std::string& id, engine::ListedEndpoint& merged) const {
    const Source& primary = second_.has_complete_list ? second_ : platform_;
    const Source& other = second_.has_complete_list ? platform_ : second_;
    const engine::ListedEndpoint* const listed = entry_of(primary, id);
    if (listed == nullptr || other.gone.contains(id)) return nullptr;
    const auto from_other = other.members.find(id);
    if (from_other == other.members.end() || from_other->second.member.phase <= listed->member.phase)
      return listed;
    merged = *listed;
    merged.member.phase = from_other->second.member.phase;
    return &merged;
  }
  // The primary source's entry or, until a source has sent a complete list, the stored one.
  const engine::ListedEndpoint* entry_of(const Source& primary, const std::string& id) const {
    if (const auto found = primary.members.find(id); found != primary.members.end()) return &found->second;
    const auto stored = stored_.find(id);
    return stored == stored_.end() ? nullptr : &stored->second;
  }
  static bool same(const engine::ListedEndpoint& a, const engine::ListedEndpoint& b) {
    return a.address == b.address && a.member.zone == b.member.zone && a.member.kind == b.member.kind &&
           a.member.cell == b.member.cell && a.member.phase == b.member.phase &&
           a.member.weight == b.member.weight && a.member.started == b.member.started;
  }
  void notify_engine(const engine::EndpointList& from, const std::set<std::string>& changed,
                     const Source& source) {
    engine::EndpointList gone, now;
    gone.revision = now.revision = from.revision;
    for (const std::string& id : changed) {
      engine::ListedEndpoint merged;
      const engine::ListedEndpoint* const listed = effective(id, merged);
      const auto published = published_.find(id);
      if (listed == nullptr) {
        if (published == published_.end()) continue;
        gone.members.push_back(published->second);
        gone.members.back().member.phase = Phase::gone;
        published_.erase(published);
      } else if (published == published_.end() || !same(published->second, *listed)) {
        now.members.push_back(*listed);
        published_.insert_or_assign(id, *listed);
      }
    }
    if (!gone.members.empty()) engine_.on_merged_list(gone);
    const bool primary = (source.index == 1) == second_.has_complete_list;
    if (from.complete && primary) {
      // A complete list shows the engine that no server is missing.
      engine::EndpointList all;
      all.revision = from.revision;
      all.complete = true;
      for (const auto& [id, listed] : published_) all.members.push_back(listed);
      engine_.on_merged_list(all);
    } else if (!now.members.empty()) {
      engine_.on_merged_list(now);
    }
  }

  engine::MergedListObserver& engine_;
  Source platform_, second_;
  std::map<std::string, engine::ListedEndpoint> stored_;  // empty once a source has sent a complete list
  std::map<std::string, engine::ListedEndpoint> published_;
  bool has_received_ = false;  // some source has sent a list
};

}  // namespace streampick::roster
