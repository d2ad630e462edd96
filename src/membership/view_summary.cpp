#include "membership/view_summary.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace streampick::membership {
namespace {

struct Place {
  Address address;
  State state;
  std::string_view name;
  friend bool operator<(const Place& left, const Place& right) {
    return std::tie(left.address, left.state, left.name) < std::tie(right.address, right.state, right.name);
  }
};

void count(State state, ViewSummary& summary) {
  switch (state) {
    case State::alive: ++summary.alive; break;
    case State::suspect: ++summary.suspect; break;
    default: ++summary.unreachable; break;
  }
}

}  // namespace

ViewSummary count_members(const Record& self, const MemberTable& table) {
  ViewSummary summary{.alive = 0, .max_live = 0};
  std::set<std::string_view> alive_names{self.name};
  std::vector<Place> places{{.address = self.address, .state = State::alive, .name = self.name}};
  for (const auto& [instance, member] : table.members()) {
    if (member.record.state == State::left) {
      ++summary.left;
      continue;
    }
    places.push_back(
        {.address = member.record.address, .state = member.record.state, .name = member.record.name});
    if (member.record.state == State::alive) {
      alive_names.insert(member.record.name);
    }
  }
  // One process runs at an address. Until it is known which, the best state there counts.
  std::sort(places.begin(), places.end());
  Address previous = 0;
  for (const Place& place : places) {
    if (std::exchange(previous, place.address) == place.address) {
      continue;
    }
    count(place.state, summary);
    // An unreachable router whose name is alive elsewhere has moved.
    if (place.state != State::unreachable || !alive_names.contains(place.name)) {
      ++summary.max_live;
    }
  }
  summary.min_live = alive_names.size();
  return summary;
}

}  // namespace streampick::membership
