/// \file
/// Writes one response to a client's socket: the head, and the body at once or as it streams in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "http1/outgoing_response.h"
#include "net/tcp.h"

namespace streampick::http1 {

/// Owned by a session, which calls advance() until the response is complete and waits in between.
class ResponseWriter {
 public:
  enum class Progress : std::uint8_t {
    complete,          ///< the last byte was written
    part_ready,        ///< a streamed part was buffered: call advance() again
    would_block,       ///< the socket takes no more: call advance() when it is writable
    waiting_for_body,  ///< call advance() when the body is readable
    failed,            ///< the socket is broken
    truncated,         ///< the body ended early: the client must see that
  };

  /// Whether the end of the connection marks the end of the body: HTTP/1.0 without a length.
  static bool ends_with_connection(const OutgoingResponse& response, unsigned version);

  /// `closes`: the connection ends behind the response. `version` is 10 or 11.
  void start(OutgoingResponse&& response, unsigned version, bool closes);
  [[nodiscard]] bool is_streaming() const { return static_cast<bool>(stream_); }
  /// `callback` is called, within calls of the body's writer, whenever there are bytes or the body ended.
  void on_body_readable(std::function<void()> callback) { stream_->on_readable = std::move(callback); }
  Progress advance(net::tcp::socket& socket);
  /// Whether advance() waits for the body; it does not any more.
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

  std::string head_;  // or the frame of a streamed part
  std::string body_;  // or a streamed part
  std::size_t written_ = 0;
  engine::BodyReader stream_;
  bool is_chunked_ = false;
  bool waits_for_body_ = false;
  engine::MemoryReservation reservation_;
  engine::RequestMetrics::InFlight in_flight_;
};

}  // namespace streampick::http1
