#include "policy/request_table.h"

namespace streampick::policy {

RequestState& RequestTable::open(const Request& request, Time now) {
  if (free_slots_.empty()) {
    free_slots_.push_back(static_cast<SlotIndex>(states_.size()));
    states_.emplace_back();
  }
  const SlotIndex slot = free_slots_.back();
  free_slots_.pop_back();
  RequestState& state = at(slot);
  const RequestRef self{slot, state.self.generation + 1};
  state = {.request = request, .arrived_at = now, .self = self, .is_over = false, .is_open = true};
  slots_by_id_[request.id] = slot;
  return state;
}

RequestState* RequestTable::find(RequestId id) {
  const auto found = slots_by_id_.find(id);
  return found == slots_by_id_.end() ? nullptr : &at(found->second);
}

void RequestTable::release_if_done(RequestState& state) {
  if (!state.is_open || !state.is_over || state.in_flight_count > 0) {
    return;
  }
  slots_by_id_.erase(state.request.id);
  state.is_open = false;
  ++state.self.generation;
  free_slots_.push_back(state.self.slot);
}

}  // namespace streampick::policy
