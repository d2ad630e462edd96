/// \file
/// Decodes the responses that arrive on one connection, one after another, without I/O.
///
/// The end of a response is found as in RFC 9112, section 6.3: after its head (1xx, 204, 304), after
/// Content-Length bytes, after the last chunk, or at an orderly close of the connection. A response whose end
/// is ambiguous is malformed.
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

  /// Returns the bytes that could not be decoded because the rest of their line had not arrived. The bytes
  /// that are received next must be appended to them.
  std::string take_pending() { return std::exchange(pending_, {}); }
  /// Decodes `bytes` up to the end of the response at most, and removes the decoded part from them. Returns
  /// false if they are malformed; error() then describes the error.
  bool decode(std::string_view& bytes);
  /// Keeps a partial line until its rest arrives.
  void keep_pending(std::string_view bytes) { pending_ = bytes; }
  bool has_pending() const { return !pending_.empty(); }
  std::string error() const { return error_.message(); }

  /// Returns true once for each response, as soon as its head is complete.
  bool take_head_event();
  /// Whether the head is complete and take_head_event() has returned true for it.
  bool head_received() const { return head_received_; }
  /// Whether every HTTP implementation finds the same end of the response from its head.
  bool has_unambiguous_framing() const { return head_.framing.is_unambiguous(head_.version); }
  bool complete() const { return parser_->is_done(); }
  /// Whether an orderly close of the connection at this point completes the response. For an outcome without
  /// a body the head is enough; a 200 must have neither a length nor chunked coding.
  bool complete_at_end_of_connection() const;
  bool is_interim() const;
  /// Whether the server keeps the connection open after this response.
  bool keep_alive() const { return parser_->keep_alive(); }

  unsigned status() const { return head_.status; }
  const std::string& content_type() const { return head_.content_type.value; }
  std::optional<std::uint64_t> content_length() const;
  /// The attempt's outcome according to the response.
  Outcome outcome() const;

  /// The bytes of the body that were decoded and neither moved out nor discarded yet.
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
