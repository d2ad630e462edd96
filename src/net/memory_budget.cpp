#include "net/memory_budget.h"

namespace streampick::net {

std::optional<engine::MemoryReservation> MemoryBudget::reserve(std::size_t bytes) {
  if (*reserved_ + bytes > limit_) {
    return std::nullopt;
  }
  return engine::MemoryReservation(reserved_, bytes);
}

bool MemoryBudget::grow(engine::MemoryReservation& reservation, std::size_t bytes) {
  if (bytes <= reservation.bytes()) {
    return true;
  }
  if (*reserved_ - reservation.bytes() + bytes > limit_) {
    return false;
  }
  if (reservation) {
    reservation.resize(bytes);
  } else {
    reservation = engine::MemoryReservation(reserved_, bytes);
  }
  return true;
}

}  // namespace streampick::net
