/// \file
/// Resources shared by all connections to upstream servers, in all protocols.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "net/connection_budget.h"
#include "net/memory_budget.h"
#include "overload/cancellation_policy.h"
#include "streampick/router.h"

namespace streampick::net {

/// When a response is streamed to its client while it arrives, instead of being read in full first. A
/// response that was read in full can be requested again if it breaks off.
struct StreamingLimits {
  /// Bytes; a longer body is streamed, and so is a body that MemoryBudget has no memory for.
  std::size_t max_buffered_body = std::size_t{1024} * 1024;
  /// Bytes; a longer body is an error.
  std::uint64_t max_body = std::uint64_t{32} * 1024 * 1024;
  /// A body that takes longer than this, in microseconds, is streamed from then on.
  Time max_buffering_time = 40'000;
};

/// Streamed responses, since the start.
struct StreamCounts {
  std::uint64_t started = 0;
  std::uint64_t truncated = 0;  ///< the server, or the connection to it, failed half-way
  std::uint64_t abandoned = 0;  ///< the client disconnected half-way
  std::size_t open = 0;         ///< now
};

/// Connections whose request was cancelled and whose response is read only to reuse the connection.
struct DrainCounts {
  std::uint64_t started = 0;
  std::uint64_t reused = 0;
  std::size_t active = 0;  ///< now
};

/// Owned by the composition root, which sets the limits; used by every upstream on one event loop.
struct UpstreamResources {
  /// Received bytes go here first: one buffer serves all connections, as each is emptied before the next is
  /// read.
  std::vector<char> read_buffer = std::vector<char>(std::size_t{64} * 1024);

  ConnectionBudget connections;
  /// Called when `connections` has no capacity: closes an idle connection, to a server or of a client.
  std::function<void()> evict_idle_connection = [] {};

  MessageMemory body_memory;
  StreamingLimits streaming;
  StreamCounts streams;

  overload::CancellationPolicy cancellation;
  DrainCounts drains;

  Time connect_timeout = 0;            ///< microseconds
  std::uint64_t connect_attempts = 0;  ///< since the start
  std::uint64_t requests_sent = 0;     ///< attempts whose last byte was written, since the start
};

}  // namespace streampick::net
