// Roster changes on their way from one thread to another. For each server it holds its pending departure, if
// any, and its latest state. Its size is bounded by the number of servers, however often they change. No I/O
// and not thread-safe: the owner locks.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "engine/endpoint_discovery.h"

namespace streampick::roster {

class Mailbox {
 public:
  // Returns whether it was empty before, so that the consumer must be woken.
  bool put(const engine::EndpointList& list) {
    const bool was_empty = empty();
    if (list.complete) {
      // Pending departures stay, as no list repeats them. The new list contains all current states.
      for (auto& [id, pending] : pending_) pending.current.reset();
      complete_ = true;
    }
    revision_ = list.revision;
    for (const engine::ListedEndpoint& listed : list.members) {
      Pending& pending = pending_[listed.id];
      if (listed.member.phase == Phase::gone) {
        pending.departed = listed;
        pending.current.reset();
      } else {
        pending.current = listed;
      }
    }
    ++lists_put_;
    return was_empty;
  }
  bool empty() const { return pending_.empty() && !complete_; }
  std::size_t size() const { return pending_.size(); }
  std::uint64_t coalesced() const { return lists_put_ - batches_taken_; }

  // Returns the departures in one list, followed by the current states in another.
  std::vector<engine::EndpointList> take() {
    engine::EndpointList departed, current;
    departed.revision = current.revision = revision_;
    current.complete = std::exchange(complete_, false);
    for (auto& [id, pending] : std::exchange(pending_, {})) {
      if (pending.departed) departed.members.push_back(std::move(*pending.departed));
      if (pending.current) current.members.push_back(std::move(*pending.current));
    }
    std::vector<engine::EndpointList> out;
    if (!departed.members.empty()) out.push_back(std::move(departed));
    if (current.complete || !current.members.empty()) out.push_back(std::move(current));
    ++batches_taken_;
    return out;
  }

 private:
  struct Pending {
    std::optional<engine::ListedEndpoint> departed, current;
  };
  std::map<std::string, Pending> pending_;
  std::uint64_t revision_ = 0, lists_put_ = 0, batches_taken_ = 0;
  bool complete_ = false;
};

}  // namespace streampick::roster
