/// \file
/// Data shared by the server and its sessions. Used on the event loop's thread only.
#pragma once

#include <cstdint>
#include <functional>

#include "engine/downstream.h"
#include "engine/message_pool.h"
#include "http1/session_state.h"
#include "net/clock.h"
#include "net/load_shedder.h"
#include "net/loop_stall_detector.h"
#include "net/memory_budget.h"
#include "overload/keep_alive_policy.h"
#include "settings/settings.h"

namespace streampick::http1 {

/// Counters since the start of the server.
struct ServerCounts {
  std::uint64_t accepted = 0;
  std::uint64_t evicted = 0;                ///< connections closed to make room for others
  std::uint64_t timed_out = 0;              ///< connections ended at a time limit
  std::uint64_t accept_waits = 0;           ///< how often accepting paused because no descriptor was free
  std::uint64_t invalid_requests = 0;       ///< responses with a status from 400 to 499
  std::uint64_t closed_under_pressure = 0;  ///< ended after their first response, as many were open
  std::uint64_t shed = 0;                   ///< requests rejected because the event loop lagged
  std::uint64_t disconnects = 0;            ///< clients that disconnected while a request was in progress
};

struct ServerContext {
  net::Clock& clock;
  const Names& names;
  engine::RequestHandler& request_handler;
  net::LoadShedder& load_shedder;
  net::MessageMemory& body_memory;
  overload::KeepAlivePolicy keep_alive;
  net::LoopStallDetector stall_detector = {};
  engine::MessagePool messages = {};
  SessionLists sessions = {};
  ServerCounts counts = {};
  bool is_draining = false;
  std::function<void()> on_session_closed = {};  ///< called when a session's descriptor is free again
};

}  // namespace streampick::http1
