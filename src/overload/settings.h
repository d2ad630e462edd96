/// \file
/// Operator settings for the limits under load. The defaults apply where no options file is read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "streampick/router.h"

namespace streampick::overload {

/// All times in microseconds; shares are fractions of one.
struct Settings {
  // ---- Descriptors. Shares of all descriptors that connections may use; together at most 1.
  double client_minimum_share = 1.0 / 3;
  double upstream_minimum_share = 1.0 / 3;

  // ---- Connections of clients
  /// Client connections are under pressure once they use this share of the descriptors.
  double connection_pressure_share = 0.25;
  Time idle_timeout = 10'000'000;
  Time idle_timeout_under_pressure = 2'000'000;

  // ---- Connections of cancelled attempts
  /// Maximum time to wait for the response of a cancelled attempt; 0: its connection is closed at once.
  Time max_drain_time = 300'000;
  /// Share of all upstream connections that may be draining at the same time.
  double max_draining_share = 0.25;
  std::size_t max_draining_per_endpoint = 8;

  // ---- Load shedding
  /// Event loop lag above which requests are rejected; 0: never.
  Time target_loop_lag = 60'000;
  /// CPU utilization that counts as saturated, as a share of the cores that the process may use.
  double saturated_cpu = 0.97;
  /// Names of request classes that are never rejected because of the event loop's lag.
  std::vector<std::string> protected_classes = {};

  // ---- Response bodies, in bytes
  /// A longer response is streamed, and so is one that takes longer than `max_buffering_time` to arrive.
  std::size_t max_buffered_response = std::size_t{1024} * 1024;
  std::uint64_t max_response = std::uint64_t{32} * 1024 * 1024;
  Time max_buffering_time = 40'000;
};

}  // namespace streampick::overload
