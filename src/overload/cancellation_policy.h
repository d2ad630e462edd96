/// \file
/// Decides whether to close the connection of a cancelled attempt or to drain its response and reuse it.
#pragma once

#include <cstddef>

#include "overload/settings.h"
#include "streampick/router.h"

namespace streampick::overload {

/// A new connection costs the server a handshake, and the next request the time for it; a response that
/// nobody reads costs the server the rest of its work. So the response is drained where it is likely to come
/// soon: the attempt has run for less than a few times the usual latency, and gets at most as long again.
///
/// The number of connections that drain at the same time is bounded, in all and for each endpoint, so that
/// many clients that disconnect at once neither hold all descriptors nor keep a server busy with unused
/// responses. No I/O.
class CancellationPolicy {
 public:
  /// Times in microseconds.
  struct CancelledAttempt {
    Time elapsed = 0;                  ///< since it was sent
    Time usual_latency = 0;            ///< of this endpoint; 0: it has not responded yet
    std::size_t draining = 0;          ///< connections to all endpoints that are draining
    std::size_t open_connections = 0;  ///< to all endpoints
    std::size_t draining_at_endpoint = 0;
  };

  CancellationPolicy() = default;
  explicit CancellationPolicy(const Settings& settings);

  /// Maximum time to wait for the attempt's response, in microseconds; 0: close the connection now.
  [[nodiscard]] Time drain_timeout(const CancelledAttempt& attempt) const;

 private:
  Time max_drain_time_ = Settings{}.max_drain_time;
  double max_draining_share_ = Settings{}.max_draining_share;
  std::size_t max_draining_per_endpoint_ = Settings{}.max_draining_per_endpoint;
};

}  // namespace streampick::overload
