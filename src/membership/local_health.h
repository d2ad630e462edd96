/// \file
/// Lifeguard's local health multiplier: a process whose own probes often fail extends its probe timeouts
/// before it suspects others.
#pragma once

#include <algorithm>

namespace streampick::membership {

class LocalHealth {
 public:
  static constexpr int kWorst = 4;

  void degrade() { score_ = std::min(kWorst, score_ + 1); }
  void improve() { score_ = std::max(0, score_ - 1); }
  /// From 0 (healthy) to kWorst.
  [[nodiscard]] int score() const { return score_; }
  /// Factor by which probe timeouts are extended.
  [[nodiscard]] int multiplier() const { return 1 + score_; }

 private:
  int score_ = 0;
};

}  // namespace streampick::membership
