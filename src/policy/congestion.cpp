#include "policy/congestion.h"

#include <algorithm>

namespace streampick::policy {

void CongestionEstimate::record_latency_share(Time now, double share) {
  level_ += (std::min(share, 1.0) - level_) * sample_weight_.next(now);
}

void CongestionEstimate::record_rejected_again(Time now) { record_latency_share(now, 1); }

}  // namespace streampick::policy
