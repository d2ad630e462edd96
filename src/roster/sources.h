// Two sources of one roster, the platform's discovery and another, and what the engine is told of both. No
// I/O.
//
//   - Until the second source has told a whole list, the platform's is used.
//   - From then on the second leads: a server is there if it says so. The hand-over tells the engine
//   differences
//     only, so that a server which both know goes on as it was.
//   - A departure told by either counts: a server that one of them says is draining or gone gets nothing new,
//     whatever the other says. That holds until the one who told it tells the server anew, or until the other
//     has told the departure too: what that one tells from then on is of another process.
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
  explicit Sources(engine::EndpointListObserver& engine)
      : engine_(engine), platform_(*this, 0), second_(*this, 1) {}

  engine::EndpointListObserver& platform() { return platform_; }
  engine::EndpointListObserver& second() { return second_; }
  bool second_leads() const { return second_.whole; }
  std::size_t told() const { return told_.size(); }

 private:
  struct Source final : engine::EndpointListObserver {
    Source(Sources& sources, int place) : owner(sources), number(place) {}
    void on_endpoint_list(const engine::EndpointList& list) override { owner.came(*this, list); }
    void on_discovery_failed() override {
      if ((number == 1) == owner.second_.whole) owner.engine_.on_discovery_failed();
    }
    Sources& owner;
    int number;
    bool whole = false;  // has told a complete list
    std::map<std::string, engine::ListedEndpoint> members;
    std::set<std::string> gone;  // ids that it said went, and has not told anew
  };

  void came(Source& source, const engine::EndpointList& list) {
    std::set<std::string> changed;
    if (list.complete) {
      for (const auto& [id, member] : source.members) changed.insert(id);
      // What a whole list no longer names has gone, also where no departure was told.
      std::set<std::string> left;
      for (const engine::ListedEndpoint& listed : list.members) left.insert(listed.id);
      for (const auto& [id, member] : source.members)
        if (!left.contains(id)) went(source, id);
      source.members.clear();
      source.whole = true;
      if (source.number == 1)
        for (const auto& [id, member] : platform_.members) changed.insert(id);
    }
    for (const engine::ListedEndpoint& listed : list.members) {
      changed.insert(listed.id);
      if (listed.member.phase == Phase::gone) {
        source.members.erase(listed.id);
        went(source, listed.id);
      } else {
        source.members[listed.id] = listed;
        source.gone.erase(listed.id);
      }
    }
    bound(source);
    tell(list, changed, source);
  }
  void went(Source& source, const std::string& id) {
    (source.number == 0 ? second_ : platform_).gone.erase(id);
    source.gone.insert(id);
  }
  // Ids come and go all day: of those that went, only what the other still names matters.
  void bound(Source& source) {
    const Source& other = source.number == 0 ? second_ : platform_;
    std::erase_if(source.gone, [&](const std::string& id) { return !other.members.contains(id); });
  }
  // What holds of a server now; nothing: it is not there.
  const engine::ListedEndpoint* holds(const std::string& id, engine::ListedEndpoint& room) const {
    const Source& leads = second_.whole ? second_ : platform_;
    const Source& other = second_.whole ? platform_ : second_;
    const auto found = leads.members.find(id);
    if (found == leads.members.end() || other.gone.contains(id)) return nullptr;
    const auto also = other.members.find(id);
    if (also == other.members.end() || also->second.member.phase <= found->second.member.phase)
      return &found->second;
    room = found->second;
    room.member.phase = also->second.member.phase;
    return &room;
  }
  static bool same(const engine::ListedEndpoint& a, const engine::ListedEndpoint& b) {
    return a.address == b.address && a.member.zone == b.member.zone && a.member.kind == b.member.kind &&
           a.member.cell == b.member.cell && a.member.phase == b.member.phase &&
           a.member.weight == b.member.weight && a.member.started == b.member.started;
  }
  void tell(const engine::EndpointList& from, const std::set<std::string>& changed, const Source& source) {
    engine::EndpointList gone, now;
    gone.revision = now.revision = from.revision;
    for (const std::string& id : changed) {
      engine::ListedEndpoint room;
      const engine::ListedEndpoint* const listed = holds(id, room);
      const auto before = told_.find(id);
      if (listed == nullptr) {
        if (before == told_.end()) continue;
        gone.members.push_back(before->second);
        gone.members.back().member.phase = Phase::gone;
        told_.erase(before);
      } else if (before == told_.end() || !same(before->second, *listed)) {
        now.members.push_back(*listed);
        told_.insert_or_assign(id, *listed);
      }
    }
    if (!gone.members.empty()) engine_.on_endpoint_list(gone);
    const bool leads = (source.number == 1) == second_.whole;
    if (from.complete && leads) {
      // Whole, so that the engine knows that nothing is missing.
      engine::EndpointList all;
      all.revision = from.revision;
      all.complete = true;
      for (const auto& [id, listed] : told_) all.members.push_back(listed);
      engine_.on_endpoint_list(all);
    } else if (!now.members.empty()) {
      engine_.on_endpoint_list(now);
    }
  }

  engine::EndpointListObserver& engine_;
  Source platform_, second_;
  std::map<std::string, engine::ListedEndpoint> told_;
};

}  // namespace streampick::roster
