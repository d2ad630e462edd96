/// Detects whether another process of this router runs. Each process locks one byte of a common file. The
/// kernel releases the lock when the process ends, also after a crash.
#pragma once

#include <string>

namespace streampick::takeover {

class ProcessPresence {
 public:
  /// `folder`: shared by all processes of this router. When the file in it cannot be opened, this process
  /// counts as the only one.
  explicit ProcessPresence(const std::string& folder);
  ~ProcessPresence();
  ProcessPresence(const ProcessPresence&) = delete;
  ProcessPresence& operator=(const ProcessPresence&) = delete;

  [[nodiscard]] bool is_only_process() const;

 private:
  int file_ = -1;
};

}  // namespace streampick::takeover
