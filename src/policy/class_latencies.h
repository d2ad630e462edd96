#pragma once

#include <vector>

#include "streampick/router.h"

namespace streampick::policy {

/// The usual latency of cache answers for each request class: a running mean.
class ClassLatencies {
 public:
  /// Takes the classes of `next`. A class that is the same as in `previous` keeps its estimate. A new or
  /// changed class starts with the estimate of its `similar_class`.
  void configure(const Config& previous, const Config& next);

  /// Usual latency in microseconds; 0 before the first answer.
  [[nodiscard]] double usual(const Request& request) const { return usual_[request.request_class]; }

  /// Half the usual latency, in microseconds: the time for which a full endpoint is expected to stay full.
  [[nodiscard]] Time half_usual(const Request& request) const {
    return static_cast<Time>(usual(request) / 2);
  }

  /// Adds an answer to `request` that took `latency` microseconds. Returns the updated usual latency.
  double record(const Request& request, double latency);

 private:
  std::vector<double> usual_;
};

}  // namespace streampick::policy
