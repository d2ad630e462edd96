/// \file
/// State of an open request and of its attempts.
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
  Time expires = 0;        ///< point in time at which it times out
  bool live = true;        ///< not ended yet
  bool missed = false;     ///< the server lacks the key
  bool never_ran = false;  ///< ended, and certainly without effect
};

/// A request from its arrival until its response was given and its last attempt has ended.
struct OpenRequest {
  std::shared_ptr<ResponseSink> response_sink;  ///< null once finished
  std::shared_ptr<const Message> message;
  std::uint64_t tag = 0;  ///< the downstream's
  std::uint64_t transaction = 0;
  std::uint64_t key = 0;
  std::uint32_t request_class = 0;
  Time client_timeout = 0;  ///< how long the client waits, from the request's last byte
  Time sending_at = 0;      ///< when the client was last known to be still sending the request
  Time arrived = 0;
  Time deadline = 0;          ///< attempts end by then, so that the response reaches the client in time
  Time guard_at = 0;          ///< time at which the deadline guard answers
  std::string error_message;  ///< a server's text about an invalid request
  RequestMetrics::InFlight in_flight;
  boost::container::small_vector<AttemptRecord, 4> attempts;
  bool finished = false;  ///< it has its response, or the client has disconnected
  bool may_have_run = false;
  bool not_found = false;       ///< the key does not exist
  bool deadline_moved = false;  ///< the deadline is no longer the one that the Router was given
  bool client_gone = false;     ///< the client was found to have disconnected; not cancelled yet

  /// Whether some attempt has not ended.
  [[nodiscard]] bool has_live_attempt() const;

  /// Sets `deadline` and `guard_at` for a client that stops waiting at `client_timeout_at`. The response must
  /// arrive before, so the deadline is earlier, and the deadline guard acts between the two.
  void set_deadline(Time client_timeout_at);
};

/// Time reserved at the end of a client's timeout for the response to reach it.
Time answer_margin(Time client_timeout);

/// Whether an attempt with this outcome certainly had no effect. Upstreams report such outcomes only if the
/// last byte of the request was not sent, or the server itself says that it did nothing.
bool certainly_never_ran(Outcome outcome);

/// The latest time at which the last attempt of `request` may begin, by its class's rules; kNever for safe
/// requests. Servers discard repeats of an idempotent request for a window from the first byte of the first
/// attempt that may have run. That byte left when the attempt was sent, or later; a tenth of the window is
/// reserved for delays up to the server. A server begins a request when its last byte has arrived.
Time latest_start_of_last_attempt(const OpenRequest& request, const RequestClass& rules);

}  // namespace streampick::engine
