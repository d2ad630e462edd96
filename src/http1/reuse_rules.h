/// \file
/// Rules for when a connection to a server may carry its next request. A server may send a second
/// response some milliseconds after the first one. An HTTP/1.1 response does not name its request: if the
/// next request had already been sent, the second response would be taken for the response to it. Times are
/// in microseconds.
#pragma once

#include "streampick/router.h"

namespace streampick::http1 {

/// A connection has settled when no bytes arrived on it for this long after the end of its last response.
inline constexpr Time kSettleTime = 5'000;

/// A response on an unsettled connection is treated as malformed if it arrives within this time after the
/// previous response.
inline constexpr Time kStrayResponseTime = 10'000;

/// Where responses take at least this long on average, a repeatable read may use an unsettled connection: its
/// own response is unlikely to arrive within kStrayResponseTime.
inline constexpr Time kSlowResponseTime = 5 * kStrayResponseTime;

}  // namespace streampick::http1
