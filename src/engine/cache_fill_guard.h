/// \file
/// Decides whether a value from the origin may be stored at the cache servers that missed it. No I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "streampick/router.h"

namespace streampick::engine {

/// Rejects cache fills with values that a concurrent write may have replaced: a value read before a write to
/// its key ended would bring the former value back.
///
/// Keys share a fixed number of slots by hash; a collision only rejects a fill that would have been safe.
class CacheFillGuard {
 public:
  void write_began(std::uint64_t key, Time now) {
    Slot& slot = slot_of(key);
    ++slot.open_writes;
    slot.last_write = now;
  }
  /// All attempts of the write have ended.
  void write_ended(std::uint64_t key, Time now) {
    Slot& slot = slot_of(key);
    if (slot.open_writes > 0) --slot.open_writes;
    slot.last_write = now;
  }
  /// Whether the value that answers a read request may be stored, if that request arrived at `read_arrived`.
  [[nodiscard]] bool may_store(std::uint64_t key, Time read_arrived) const {
    if (!slots_) return true;
    const Slot& slot = (*slots_)[key % kSlots];
    return slot.open_writes == 0 && slot.last_write < read_arrived;
  }

 private:
  static constexpr std::size_t kSlots = 2048;
  struct Slot {
    Time last_write = 0;
    std::uint32_t open_writes = 0;
  };
  Slot& slot_of(std::uint64_t key) {
    if (!slots_) slots_ = std::make_unique<std::array<Slot, kSlots>>();
    return (*slots_)[key % kSlots];
  }
  std::unique_ptr<std::array<Slot, kSlots>> slots_;  // allocated by the first write
};

}  // namespace streampick::engine
