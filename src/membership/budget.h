// How many datagrams and bytes a router may send in a second, and what is dropped first: news, then repairs,
// then probes for others, then own probes; answers last, or a busy router would be taken for a dead one. No
// I/O, no clock.
#pragma once

#include <algorithm>
#include <array>

#include "membership/record.h"
#include "membership/settings.h"

namespace streampick::membership {

class Budget {
 public:
  explicit Budget(BudgetLimits limits)
      : limits_(limits), datagrams_(limits.datagrams), bytes_(limits.bytes) {}

  bool take(Time now, Message::Kind kind, std::size_t bytes) {
    if (last_ == 0) last_ = now;
    const double passed = static_cast<double>(std::max<Time>(0, now - last_)) / static_cast<double>(kSecond);
    last_ = now;
    datagrams_ = std::min(limits_.datagrams, datagrams_ + passed * limits_.datagrams);
    bytes_ = std::min(limits_.bytes, bytes_ + passed * limits_.bytes);
    const double kept = kKept[static_cast<std::size_t>(kind)];
    if (datagrams_ - 1 < kept * limits_.datagrams ||
        bytes_ - static_cast<double>(bytes) < kept * limits_.bytes)
      return false;
    datagrams_ -= 1;
    bytes_ -= static_cast<double>(bytes);
    return true;
  }

 private:
  // Of a whole second's, what a kind leaves for those that matter more; in the order of Message::Kind.
  static constexpr std::array<double, kKinds> kKept = {0.1, 0, 0.25, 0.25, 0.4, 0.4, 0.5, 0};
  BudgetLimits limits_;
  double datagrams_, bytes_;
  Time last_ = 0;
};

}  // namespace streampick::membership
