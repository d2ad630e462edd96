#pragma once

#include <vector>

#include "streampick/router.h"

namespace streampick::policy {

/// The mean latency of cache answers for each request class, as an exponentially weighted moving average.
class ClassLatencies {
 public:
  /// Takes the classes of `next`. A class that is the same as in `previous` keeps its estimate. A new or
  /// changed class starts with the estimate of its `similar_class`.
  void configure(const Config& previous, const Config& next);

  /// Usual latency in microseconds; 0 before the first answer.
  [[nodiscard]] double mean(const Request& request) const { return means_[request.request_class]; }

  /// Half the mean latency, in microseconds: the time for which a full endpoint is expected to stay full.
  [[nodiscard]] Time half_mean(const Request& request) const { return static_cast<Time>(mean(request) / 2); }

  /// Adds an answer to `request` that took `latency` microseconds. Returns the updated mean.
  double record(const Request& request, double latency);

 private:
  std::vector<double> means_;
};

}  // namespace streampick::policy
