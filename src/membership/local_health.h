/// \file
/// Lifeguard's local health multiplier: a process that misses answers itself waits longer before it accuses
/// others.
#pragma once

#include <algorithm>

namespace streampick::membership {

class LocalHealth {
 public:
  static constexpr int kWorst = 4;

  void degrade() { score_ = std::min(kWorst, score_ + 1); }
  void improve() { score_ = std::max(0, score_ - 1); }
  /// 0: healthy, kWorst: worst.
  [[nodiscard]] int score() const { return score_; }
  /// Factor of the time-outs of probes.
  [[nodiscard]] int multiplier() const { return 1 + score_; }

 private:
  int score_ = 0;
};

}  // namespace streampick::membership
