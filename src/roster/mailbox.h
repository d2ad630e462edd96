// What one thread tells of a roster and another has not taken yet: for each server its departure, if there
// was one, and how it stands now. Bounded by the servers there are, however often they change. No I/O; the
// lock is the owner's.
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
  // Returns whether it was empty before: whoever takes is to be woken.
  bool put(const engine::EndpointList& list) {
    const bool was_empty = empty();
    if (list.complete) {
      // Of what was told before, departures are still to be told; states are all in the new list.
      for (auto& [id, pending] : pending_) pending.now.reset();
      complete_ = true;
    }
    revision_ = list.revision;
    for (const engine::ListedEndpoint& listed : list.members) {
      Pending& pending = pending_[listed.id];
      if (listed.member.phase == Phase::gone) {
        pending.gone = listed;
        pending.now.reset();
      } else {
        pending.now = listed;
      }
    }
    ++put_;
    return was_empty;
  }
  bool empty() const { return pending_.empty() && !complete_; }
  std::size_t size() const { return pending_.size(); }
  std::uint64_t coalesced() const { return put_ - taken_; }

  // Departures first, and what has come in a list behind them.
  std::vector<engine::EndpointList> take() {
    engine::EndpointList gone, now;
    gone.revision = now.revision = revision_;
    now.complete = std::exchange(complete_, false);
    for (auto& [id, pending] : std::exchange(pending_, {})) {
      if (pending.gone) gone.members.push_back(std::move(*pending.gone));
      if (pending.now) now.members.push_back(std::move(*pending.now));
    }
    std::vector<engine::EndpointList> out;
    if (!gone.members.empty()) out.push_back(std::move(gone));
    if (now.complete || !now.members.empty()) out.push_back(std::move(now));
    ++taken_;
    return out;
  }

 private:
  struct Pending {
    std::optional<engine::ListedEndpoint> gone, now;
  };
  std::map<std::string, Pending> pending_;
  std::uint64_t revision_ = 0, put_ = 0, taken_ = 0;
  bool complete_ = false;
};

}  // namespace streampick::roster
