/// \file
/// The engine's side towards clients. A downstream (HTTP/1.1, RESP, the client library) parses requests,
/// hands them to the engine as a RequestHandler, and gets exactly one final Response for each through its
/// ResponseSink. All calls are made on the engine's thread.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "engine/message.h"
#include "engine/request_metrics.h"

namespace streampick::engine {

/// A well-formed request. Times are durations in microseconds.
struct IncomingRequest {
  std::shared_ptr<Message> message;
  std::uint32_t request_class = 0;
  std::uint32_t tenant = kNone;
  std::uint64_t transaction_id = 0;  ///< chosen by the client; two open requests may not share one
  std::uint64_t key = 0;             ///< hash of the key; meaningful only with `has_key`
  bool has_key = false;
  Time remaining = 0;     ///< how long the client waits, from its last byte
  Time cost_hint = 0;     ///< expected work; 0: unknown
  std::uint64_t tag = 0;  ///< chosen by the downstream and handed back with the response
};

/// The one final answer to a request.
struct Response {
  enum class Kind : std::uint8_t {
    served,    ///< `answer` holds what the server sent
    rejected,  ///< the client may safely retry: no attempt ran, or the request may be repeated
    failed,    ///< an attempt may or may not have run
  };
  Kind kind = Kind::failed;
  bool late = false;               ///< failed: the deadline had passed
  bool may_have_run = false;       ///< failed: some attempt may have run
  bool not_found = false;          ///< not served because the authoritative server has no such key
  Time retry_after = 0;            ///< rejected: earliest time for a retry, from now; 0: no advice
  std::string error_message = {};  ///< the server's text about an invalid request; usually empty
  Answer answer = {};              ///< served
  /// Counts the request as in flight. The downstream keeps it until the response is written.
  RequestMetrics::InFlight in_flight = {};
};

/// Receives responses for one client. The engine keeps it alive until the request is finished.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  /// Called once for each request, possibly from within RequestHandler::on_request() or another call into the
  /// engine; it must not call back into the RequestHandler. Does nothing when the client has disconnected.
  virtual void respond(std::uint64_t tag, Response response) = 0;
  /// Whether the client has disconnected, even if on_client_cancelled() was not called yet. Called right
  /// before a byte is written to a server for the client; it must not call back into the RequestHandler.
  virtual bool client_gone() { return false; }
  /// The latest time at which the client was certainly still sending the request; 0: unknown. The client's
  /// time counts from its last byte, and so from then at the earliest: a pipelined request waits, and while
  /// a streamed body is not read, the kernel may have accepted the rest of it unseen. It must not call back
  /// into the RequestHandler.
  virtual Time sending_at() { return 0; }
};

/// Receives the events of downstreams; implemented by the engine.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  /// Returns the request's id for later calls; 0 if a request with its transaction id is still open.
  virtual RequestId on_request(const std::shared_ptr<ResponseSink>& response_sink,
                               IncomingRequest incoming) = 0;
  /// The client has disconnected or cancelled the request: it gets no response.
  virtual void on_client_cancelled(RequestId request) = 0;
  /// The last byte of a streamed body was read: ResponseSink::sending_at() does not change any more.
  virtual void on_body_complete(RequestId /*request*/) {}
  /// A request of this class was rejected before it was parsed. on_request() is not called for it.
  virtual void on_rejected_unread(std::uint32_t /*request_class*/) {}
};

/// The engine's interface to a downstream.
class Downstream {
 public:
  virtual ~Downstream() = default;
  /// Draining starts: from now on each response closes its connection, and idle connections are closed.
  virtual void on_drain_started() = 0;
  /// Draining ends: connections are kept open again.
  virtual void on_drain_ended() {}
  /// The process is about to exit; on_drain_started() follows. A downstream whose listening socket is shared
  /// with other processes stops accepting now.
  virtual void on_shutdown_started() {}
  virtual void stop_accepting() = 0;
  /// The last responses are being written: bytes that have already arrived are still processed, then
  /// connections are closed.
  virtual void stop_reading() {}
  /// Number of connections with a request in progress or a response that is not written completely.
  [[nodiscard]] virtual std::size_t unanswered() const = 0;
  [[nodiscard]] virtual std::size_t open_connections() const = 0;
};

}  // namespace streampick::engine
