#pragma once

#include <cstddef>
#include <cstdint>
#include <memory_resource>
#include <unordered_map>
#include <vector>

#include "policy/request_state.h"
#include "streampick/router.h"

namespace streampick::policy {

/// The open requests, in reusable slots. Owns all RequestState objects.
///
/// References to a state stay valid until the next call of open(). A slot stays in use until its request is
/// over and all of its attempts have ended.
class RequestTable {
 public:
  RequestTable() = default;
  RequestTable(const RequestTable&) = delete;
  RequestTable& operator=(const RequestTable&) = delete;

  /// Allocates a slot for a request that has just arrived.
  RequestState& open(const Request& request, Time now);

  /// The request with this id, or nullptr.
  [[nodiscard]] RequestState* find(RequestId id);

  [[nodiscard]] RequestState& at(SlotIndex slot) { return states_[static_cast<std::size_t>(slot)]; }
  [[nodiscard]] const RequestState& at(SlotIndex slot) const {
    return states_[static_cast<std::size_t>(slot)];
  }

  /// Whether `ref` refers to a request that is not over.
  [[nodiscard]] bool is_active(RequestRef ref) const {
    const RequestState& state = at(ref.slot);
    return state.self.generation == ref.generation && !state.is_over;
  }

  /// Frees the slot if the request is over and has no attempt in flight; otherwise does nothing.
  void release_if_done(RequestState& state);

 private:
  std::vector<RequestState> states_;
  std::vector<SlotIndex> free_slots_;
  // Uses a memory pool because each request adds and removes an entry. The map is never iterated, so its
  // order does not affect decisions.
  std::pmr::unsynchronized_pool_resource pool_;
  std::pmr::unordered_map<RequestId, SlotIndex> slots_by_id_{&pool_};
};

}  // namespace streampick::policy
