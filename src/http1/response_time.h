/// \file
/// The average response time of one server, used by the rules for the reuse of connections.
#pragma once

#include "streampick/router.h"

namespace streampick::http1 {

/// An exponentially weighted moving average of the time from a request to its response, in microseconds.
class ResponseTime {
 public:
  void observe(Time elapsed) {
    average_ += (static_cast<double>(elapsed) - average_) * (average_ > 0 ? kWeight : 1);
  }
  /// 0: no response has arrived yet.
  Time average() const { return static_cast<Time>(average_); }
  /// Whether some response has arrived and the average is below `limit`.
  bool is_known_below(Time limit) const { return average_ > 0 && average_ < static_cast<double>(limit); }
  bool is_at_least(Time limit) const { return average_ >= static_cast<double>(limit); }

 private:
  static constexpr double kWeight = 0.05;  // weight of each response after the first
  double average_ = 0;
};

}  // namespace streampick::http1
