/// An open file descriptor that the destructor closes.
#pragma once

#include <utility>

#include "storage/file_calls.h"

namespace streampick::storage {

class Descriptor {
 public:
  /// Opens `path`, with a retry after EINTR. On failure the descriptor is not valid and `errno` is set.
  Descriptor(FileCalls& calls, const std::string& path, int flags);
  ~Descriptor();
  Descriptor(Descriptor&& other) noexcept
      : calls_(other.calls_), number_(std::exchange(other.number_, kNone)) {}
  Descriptor& operator=(Descriptor&&) = delete;
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  [[nodiscard]] bool is_valid() const { return number_ != kNone; }
  [[nodiscard]] int number() const { return number_; }
  /// Closes the descriptor before its destruction and returns the result of close().
  int close();

 private:
  static constexpr int kNone = -1;
  FileCalls* calls_;
  int number_;
};

}  // namespace streampick::storage
