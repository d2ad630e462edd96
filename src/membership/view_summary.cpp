#include "membership/view_summary.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace streampick::membership {
namespace {

struct AddressState {
  Address address;
  State state;
  std::string_view name;
  friend bool operator<(const AddressState& left, const AddressState& right) {
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
  std::vector<AddressState> address_states{
      {.address = self.address, .state = State::alive, .name = self.name}};
  for (const auto& [instance, member] : table.members()) {
    if (member.record.state == State::left) {
      ++summary.left;
      continue;
    }
    address_states.push_back(
        {.address = member.record.address, .state = member.record.state, .name = member.record.name});
    if (member.record.state == State::alive) {
      alive_names.insert(member.record.name);
    }
  }
  // Only one process runs at an address. Of several members there, count the one in the lowest state.
  std::sort(address_states.begin(), address_states.end());
  Address previous = 0;
  for (const AddressState& entry : address_states) {
    if (std::exchange(previous, entry.address) == entry.address) {
      continue;
    }
    count(entry.state, summary);
    // An unreachable router whose name is alive at another address has moved there.
    if (entry.state != State::unreachable || !alive_names.contains(entry.name)) {
      ++summary.max_live;
    }
  }
  summary.min_live = alive_names.size();
  return summary;
}

}  // namespace streampick::membership
