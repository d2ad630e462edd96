// Decides whether a value that the source of all values gave may be stored at the servers that missed it.
// No I/O. A value read before a write to its key ended may be the one that the write replaced: storing it
// would bring it back. Keys share slots by hash: a slot shared by chance only leaves a value unstored.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "streampick/router.h"

namespace streampick::engine {

class CacheFillGuard {
 public:
  void write_began(std::uint64_t key, Time now) {
    Slot& slot = at(key);
    ++slot.open;
    slot.last = now;
  }
  // All attempts of the write have ended.
  void write_ended(std::uint64_t key, Time now) {
    Slot& slot = at(key);
    if (slot.open > 0) --slot.open;
    slot.last = now;
  }
  // Whether a value whose read was asked for at `asked` may still be stored.
  bool may_store(std::uint64_t key, Time asked) const {
    if (!slots_) return true;
    const Slot& slot = (*slots_)[key % kSlots];
    return slot.open == 0 && slot.last < asked;
  }

 private:
  static constexpr std::size_t kSlots = 2048;
  struct Slot {
    Time last = 0;
    std::uint32_t open = 0;
  };
  Slot& at(std::uint64_t key) {
    if (!slots_) slots_ = std::make_unique<std::array<Slot, kSlots>>();
    return (*slots_)[key % kSlots];
  }
  std::unique_ptr<std::array<Slot, kSlots>> slots_;  // none until the first write that counts
};

}  // namespace streampick::engine
