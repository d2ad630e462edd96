// Whether another process of this router runs: each holds a lock of its own on a byte of one file, which the
// kernel lifts when it ends, however it ends.
#pragma once

#include <string>

namespace streampick::takeover {

class Presence {
 public:
  // Where the folder can't be written, it is always alone.
  explicit Presence(const std::string& folder);
  ~Presence();
  Presence(const Presence&) = delete;
  Presence& operator=(const Presence&) = delete;
  bool alone() const;

 private:
  int file_ = -1;
};

}  // namespace streampick::takeover
