/// \file
/// Writes one request to a non-blocking socket: the head, then the body, which is in memory or is streamed
/// while the client still sends it (an upload).
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "engine/message.h"
#include "net/tcp.h"
#include "streampick/router.h"

namespace streampick::http1 {

class RequestWriter {
 public:
  enum class Progress : std::uint8_t {
    complete,  ///< the last byte was written
    blocked,   ///< the socket's send buffer is full
    starved,   ///< the next part of an upload has not arrived from the client
    failed,    ///< the socket failed, or the upload was truncated
  };

  /// Formats the head. `message` must outlive the writing. X-Remaining is `expires - now`, so `now` must be a
  /// fresh reading of the clock.
  void start(const engine::Message& message, const std::string& server, Time expires, Time now);
  /// Writes as much as the socket takes without blocking.
  Progress write(net::tcp::socket& socket);
  /// Releases the buffers of an upload and the message.
  void clear();

  /// Whether the request's last byte was written.
  bool complete() const;
  bool starved() const { return starved_; }
  bool is_upload() const { return body_ != Body::in_memory; }
  /// Whether at `now` the X-Remaining in the head is too far from the time left for the rest of a partially
  /// written request to be written.
  bool is_deadline_stale(Time now) const;

 private:
  enum class Body : std::uint8_t { in_memory, upload, upload_ended };
  enum class NextPart : std::uint8_t { ready, starved, truncated };

  void append_body_framing();
  const std::string& current_part() const;
  bool part_written() const { return written_ == head_.size() + current_part().size(); }
  NextPart next_part();
  void frame_part();

  const engine::Message* message_ = nullptr;
  std::string head_;         // head of the request; for later parts of an upload, the chunk-size line
  std::string upload_part_;  // the part of an upload that is being written
  std::size_t written_ = 0;  // bytes written of head_ and the current part
  Time formatted_at_ = 0;    // the reading of the clock from which X-Remaining was computed
  Body body_ = Body::in_memory;
  bool upload_begun_ = false;  // the request's head was written, and parts of the upload may have been
  bool starved_ = false;
};

}  // namespace streampick::http1
