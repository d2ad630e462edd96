/// \file
/// Limits the memory held by large bodies of requests and responses.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>

#include "engine/message.h"

namespace streampick::net {

/// Bounds the sum of all reservations. A body holds its reservation from its first byte read to its last byte
/// written, wherever its bytes are; reservations may outlive the budget. Single-threaded.
class MemoryBudget {
 public:
  /// Reserves `bytes` if they are available. They are not when many bodies arrive at once, or when clients
  /// read their responses slowly.
  [[nodiscard]] std::optional<engine::MemoryReservation> reserve(std::size_t bytes);

  /// Enlarges a reservation of this budget, which may be empty, to at least `bytes`. Returns false, and
  /// leaves it as it is, if the budget has no memory for that.
  [[nodiscard]] bool grow(engine::MemoryReservation& reservation, std::size_t bytes);

  /// Reserves `bytes` that are in use already, also beyond the limit.
  [[nodiscard]] engine::MemoryReservation hold(std::size_t bytes) { return {reserved_, bytes}; }

  /// Reservations that exceed a lowered limit stay.
  void set_limit(std::size_t bytes) { limit_ = bytes; }
  [[nodiscard]] std::size_t limit() const { return limit_; }
  /// Bytes reserved now.
  [[nodiscard]] std::size_t reserved() const { return *reserved_; }

 private:
  static constexpr std::size_t kDefaultLimit = std::size_t{8} * 1024 * 1024;

  std::size_t limit_ = kDefaultLimit;
  std::shared_ptr<std::size_t> reserved_ = std::make_shared<std::size_t>(0);
};

/// The budget of long bodies, and beside it that of everything else that the router keeps of requests and
/// responses. Two budgets, so that long bodies leave memory for short messages.
struct MessageMemory : MemoryBudget {
  /// What one message may need without a reservation, in bytes, so that small ones are served in any case.
  static constexpr std::size_t kUnreserved = std::size_t{4} * 1024;

  /// Heads, bodies up to the protocol's maximum, and bytes that can't be parsed yet.
  MemoryBudget short_messages;
};

}  // namespace streampick::net
