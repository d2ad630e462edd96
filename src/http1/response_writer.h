/// \file
/// Writes one response to a client's socket: the head, then the body, which is in memory or streamed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "http1/outgoing_response.h"
#include "net/tcp.h"

namespace streampick::http1 {

/// Owned by a session, which calls advance() until the response is complete, and between the calls waits for
/// the event that the returned Progress names.
class ResponseWriter {
 public:
  enum class Progress : std::uint8_t {
    complete,          ///< the last byte was written
    part_ready,        ///< a streamed part was buffered: call advance() again
    would_block,       ///< the socket's send buffer is full: call advance() when the socket is writable
    waiting_for_body,  ///< call advance() when the body is readable
    failed,            ///< the socket is broken
    truncated,         ///< the body ended early: the caller must make that visible to the client
  };

  /// Whether the end of the connection marks the end of the body: HTTP/1.0 without a length.
  static bool ends_with_connection(const OutgoingResponse& response, unsigned version);

  /// `closes`: the connection ends after the response. `version` is 10 or 11.
  void start(OutgoingResponse&& response, unsigned version, bool closes);
  [[nodiscard]] bool is_streaming() const { return static_cast<bool>(stream_); }
  /// Calls `callback` whenever bytes of the body arrive or the body ends, from within the call of its writer.
  void on_body_readable(std::function<void()> callback) { stream_->on_readable = std::move(callback); }
  Progress advance(net::tcp::socket& socket);
  /// Returns whether advance() has returned waiting_for_body, and clears that state.
  bool stop_waiting_for_body() { return std::exchange(waits_for_body_, false); }

  /// Counts the request as finished and releases its memory.
  void finish();
  /// As finish(), and closes the streamed body.
  void abandon();
  void close_body() { stream_.reset(); }

 private:
  void write_head(const OutgoingResponse& response, unsigned version, bool closes);
  void append_framing(const OutgoingResponse& response);
  void frame_part();
  void end_body();

  std::string head_;  // head of the response; for a streamed part, its chunk-size line
  std::string body_;  // the body, or the streamed part that is being written
  std::size_t written_ = 0;
  engine::BodyReader stream_;
  bool is_chunked_ = false;
  bool waits_for_body_ = false;
  engine::MemoryReservation reservation_;
  engine::RequestMetrics::InFlight in_flight_;
};

}  // namespace streampick::http1
