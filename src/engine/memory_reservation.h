/// \file
/// Memory that is counted in a budget.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace streampick::engine {

/// A reservation in a memory budget; released on destruction. It belongs to the bytes that it was made for
/// and moves with them, so that the sum of all reservations is never less than the memory in use.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  /// Adds `bytes` to `reserved`, the sum of all reservations.
  MemoryReservation(std::shared_ptr<std::size_t> reserved, std::size_t bytes)
      : reserved_(std::move(reserved)), bytes_(bytes) {
    *reserved_ += bytes_;
  }
  MemoryReservation(MemoryReservation&& other) noexcept
      : reserved_(std::move(other.reserved_)), bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryReservation& operator=(MemoryReservation&& other) noexcept {
    std::swap(reserved_, other.reserved_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }
  explicit operator bool() const { return reserved_ != nullptr; }
  ~MemoryReservation() {
    if (reserved_) *reserved_ -= bytes_;
  }

  [[nodiscard]] std::size_t bytes() const { return bytes_; }
  /// Changes the size to that of the bytes in use, also beyond the budget's limit: what is in use counts. Has
  /// no effect without a budget.
  void resize(std::size_t bytes) {
    if (!reserved_) return;
    *reserved_ += bytes;
    *reserved_ -= bytes_;
    bytes_ = bytes;
  }

 private:
  std::shared_ptr<std::size_t> reserved_;
  std::size_t bytes_ = 0;
};

}  // namespace streampick::engine
