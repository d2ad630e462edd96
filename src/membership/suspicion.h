// How long a member is suspected before it counts as unreachable: SWIM's suspicion, with Lifeguard's rule
// that independent confirmations shorten it. No I/O, no clock.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <set>

#include "membership/record.h"
#include "membership/settings.h"

namespace streampick::membership {

// ceil(log2(members + 1)): the rounds in which what is told on by each who knows it reaches all, about.
inline int rounds(std::size_t members) {
  return static_cast<int>(std::ceil(std::log2(static_cast<double>(members) + 1)));
}

class Suspicion {
 public:
  // `members`: of the view, this one among them.
  Suspicion(Boot by, Time now, std::size_t members, Time period, const SuspicionRule& rule)
      : began_(now), wanted_(std::min(rule.confirmations, members > 2 ? members - 2 : 0)) {
    least_ = static_cast<Time>(rule.least_factor * std::max(1.0, std::log10(static_cast<double>(members))) *
                               static_cast<double>(period));
    most_ = wanted_ == 0 ? least_ : static_cast<Time>(rule.most_times * static_cast<double>(least_));
    voices_.insert(by);
    reckon();
  }
  // Returns whether it is another voice, that the others are to hear of.
  bool confirm(Boot by) {
    if (voices_.size() > wanted_ || by == 0) return false;
    if (!voices_.insert(by).second) return false;
    reckon();
    return true;
  }
  Time due() const { return due_; }
  // The owner was not at work for so long, and could have heard nothing.
  void slept(Time time) {
    began_ += time;
    reckon();
  }
  std::size_t voices() const { return voices_.size(); }
  Boot voice(std::size_t place) const {
    return *std::next(voices_.begin(), static_cast<std::ptrdiff_t>(place));
  }

 private:
  void reckon() {
    const double share = wanted_ == 0 ? 1
                                      : std::log(static_cast<double>(voices_.size())) /
                                            std::log(static_cast<double>(wanted_) + 1);
    due_ = began_ + std::max(least_, most_ - static_cast<Time>(share * static_cast<double>(most_ - least_)));
  }
  Time began_, least_ = 0, most_ = 0, due_ = 0;
  std::size_t wanted_;
  std::set<Boot> voices_;
};

}  // namespace streampick::membership
