/// \file
/// When a connection to a server may carry its next request. A server may send a second response some
/// milliseconds after the first one, and nothing in a response says which request it answers: under the next
/// request it would be taken for that one's response. Times are in microseconds.
#pragma once

#include "streampick/router.h"

namespace streampick::http1 {

/// A connection has settled when nothing arrived on it for this long after its last response.
inline constexpr Time kSettleTime = 5'000;

/// A response on an unsettled connection that arrives this soon after the previous one is not accepted.
inline constexpr Time kStrayResponseTime = 10'000;

/// Where responses take at least this long on average, a repeatable read may use an unsettled connection: its
/// own response hardly arrives within kStrayResponseTime.
inline constexpr Time kSlowResponseTime = 5 * kStrayResponseTime;

}  // namespace streampick::http1
