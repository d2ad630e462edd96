#pragma once

#include <algorithm>

#include "policy/durations.h"
#include "policy/hashing.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Minimum factor on the mean Retry-After; the maximum is one greater.
inline constexpr double kMinRetryAfterJitterFactor = 0.5;

/// The Retry-After for a rejected request, in microseconds: `mean` with a jitter of up to half of it in both
/// directions, limited to the maximum in the settings. The jitter is derived from the request id, so that
/// clients that are rejected at the same time do not retry at the same time.
inline Time jittered_retry_after(const Config& config, Time mean, RequestId request) {
  return std::min(config.max_retry_after,
                  scaled(mean, kMinRetryAfterJitterFactor + to_unit_interval(mix64(request))));
}

}  // namespace streampick::policy
