/// \file
/// Decodes the responses that arrive on one connection, one after another, without I/O.
///
/// The end of a response is found as in RFC 9112, section 6.3: after its head (1xx, 204, 304), after
/// Content-Length bytes, after the last chunk, or where the connection ends in order. Anything ambiguous is
/// malformed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "http1/reader.h"
#include "net/tcp.h"
#include "streampick/router.h"

namespace streampick::http1 {

class ResponseDecoder {
 public:
  /// Prepares for the response to a new request. Its body may have up to `max_body` bytes.
  void start(std::uint64_t max_body);
  /// Prepares for the response that follows an interim one (1xx). Returns false if there were too many.
  bool skip_interim();

  /// Bytes that could not be decoded before their rest arrived: they precede what is received next.
  std::string take_pending() { return std::exchange(pending_, {}); }
  /// Removes from `bytes` what it decoded, at most to the end of the response. Returns false if they are
  /// malformed: error() says how.
  bool decode(std::string_view& bytes);
  /// Keeps the part of a line that can't be decoded before its rest arrives.
  void keep_pending(std::string_view bytes) { pending_ = bytes; }
  bool has_pending() const { return !pending_.empty(); }
  std::string error() const { return error_.message(); }

  /// Returns true once for each response, as soon as its head is complete.
  bool take_head_event();
  /// Since the head was complete and its event was taken.
  bool head_received() const { return head_received_; }
  /// Whether the head leaves no doubt where the response ends.
  bool has_plain_framing() const { return head_.framing.plain(head_.version); }
  bool complete() const { return parser_->is_done(); }
  /// Whether the response is complete if the connection ends in order here. Of one without a body its head
  /// says everything; a 200 must have no length at all.
  bool complete_at_end_of_connection() const;
  bool is_interim() const;
  /// Whether the server keeps the connection open after this response.
  bool keep_alive() const { return parser_->keep_alive(); }

  unsigned status() const { return head_.status; }
  const std::string& content_type() const { return head_.content_type.value; }
  std::optional<std::uint64_t> content_length() const;
  /// What the response says of its attempt.
  Outcome outcome() const;

  /// The bytes of the body that were decoded and not taken yet.
  std::string& body() { return body_; }
  void discard_body() { body_.clear(); }
  void release_body() { std::string().swap(body_); }

 private:
  ResponseHead head_;
  std::string body_;
  std::optional<ResponseReader> parser_;
  std::uint64_t max_body_ = 0;
  std::string pending_;
  net::error_code error_;
  int interim_responses_ = 0;
  bool head_received_ = false;
};

}  // namespace streampick::http1
