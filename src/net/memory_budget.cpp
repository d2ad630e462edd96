#include "net/memory_budget.h"

namespace streampick::net {

std::optional<engine::MemoryReservation> MemoryBudget::reserve(std::size_t bytes) {
  if (*reserved_ + bytes > limit_) {
    return std::nullopt;
  }
  return engine::MemoryReservation(reserved_, bytes);
}

}  // namespace streampick::net
