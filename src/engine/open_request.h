/// \file
/// What the engine knows of a request that is open, and of its attempts.
#pragma once

#include <boost/container/small_vector.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "engine/downstream.h"
#include "engine/message.h"
#include "engine/request_metrics.h"
#include "streampick/router.h"

namespace streampick::engine {

/// One attempt of a request at one server.
struct AttemptRecord {
  ServerId server = kNone;
  Time sent = 0;
  Time expires = 0;        ///< it times out then
  bool live = true;        ///< it has not ended yet
  bool missed = false;     ///< its server lacks the key
  bool never_ran = false;  ///< it has ended and certainly had no effect
};

/// A request from its arrival until its answer was given and its last attempt has ended.
struct OpenRequest {
  std::shared_ptr<ResponseSink> response_sink;  ///< none once it has its final answer or its client has gone
  std::shared_ptr<const Message> message;
  std::uint64_t tag = 0;  ///< the front's own
  std::uint64_t transaction = 0;
  std::uint64_t key = 0;
  std::uint32_t request_class = 0;
  Time client_timeout = 0;  ///< how long its client waits, from its last byte on
  Time arrived = 0;
  Time deadline = 0;          ///< attempts end by then, so that the answer reaches the client in time
  Time guard_at = 0;          ///< the deadline guard answers then
  std::string error_message;  ///< a server's own words for what is wrong with the request
  RequestMetrics::InFlight in_flight;
  boost::container::small_vector<AttemptRecord, 4> attempts;
  bool finished = false;  ///< it has its final answer, or its client has gone
  bool may_have_run = false;
  bool not_found = false;       ///< what is asked for does not exist
  bool deadline_moved = false;  ///< its deadline is not the one that the module was told
  bool client_gone = false;     ///< seen before a write; it is withdrawn once the module is not in a call

  /// Whether some attempt has not ended.
  [[nodiscard]] bool has_live_attempt() const;

  /// Sets deadline and guard for a client that gives up at `gives_up`: an answer must have reached it before,
  /// so the module is told an earlier time, and the guard stands between the two.
  void set_deadline(Time gives_up);
};

/// Of a client's patience, what the last steps of an answer may take.
Time answer_margin(Time client_timeout);

/// Whether an attempt that ended so certainly had no effect. Transports tell these outcomes only where the
/// last byte of the request never left, or the server itself says that it did nothing.
bool certainly_never_ran(Outcome outcome);

/// Until when the last attempt of `request` may begin, by its class's rules: kNever for safe requests.
/// Repeats of an idempotent request are discarded for a window from the first byte of the first attempt that
/// may have run. That byte left when the attempt was sent, or later; a tenth of the window is left to what
/// lies between our first byte and the server's.
Time latest_start_of_last_attempt(const OpenRequest& request, const RequestClass& rules);

}  // namespace streampick::engine
