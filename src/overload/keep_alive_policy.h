/// \file
/// Decides which client connections are kept open between requests when many are open.
#pragma once

#include <cstddef>

#include "overload/settings.h"
#include "streampick/router.h"

namespace streampick::overload {

/// A client that sends one request and stays connected occupies a connection that an active client may need:
/// here, on its own machine, or at a proxy before the router, whose connection table may be full long before
/// the router's.
///
/// Once open connections use a given share of the descriptors, there is pressure: a connection is kept open
/// only if it was reused before, and the idle timeout is shorter. No I/O.
class KeepAlivePolicy {
 public:
  explicit KeepAlivePolicy(std::size_t descriptors, const Settings& settings = {});

  /// Number of connections with a request in flight, or idle between two, from which on there is pressure.
  [[nodiscard]] std::size_t pressure_threshold() const { return pressure_threshold_; }
  [[nodiscard]] bool is_under_pressure(std::size_t active_connections) const {
    return active_connections >= pressure_threshold_;
  }

  /// Whether a connection stays open after response number `responses` on it. `active_connections` includes
  /// this connection.
  [[nodiscard]] bool keeps_open(std::size_t responses, std::size_t active_connections) const {
    return responses > 1 || !is_under_pressure(active_connections);
  }

  /// How long a connection may be idle between two requests, in microseconds.
  [[nodiscard]] Time idle_timeout(std::size_t active_connections) const {
    return is_under_pressure(active_connections) ? idle_timeout_under_pressure_ : idle_timeout_;
  }

 private:
  std::size_t pressure_threshold_;
  Time idle_timeout_;
  Time idle_timeout_under_pressure_;
};

}  // namespace streampick::overload
