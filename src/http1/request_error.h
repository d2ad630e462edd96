/// \file
/// The errors of a client's request, and the response to each of them.
#pragma once

#include <cstdint>
#include <string_view>

namespace streampick::http1 {

enum class RequestError : std::uint8_t {
  malformed,                 ///< the parser rejects it; the text is the parser's
  ambiguous_framing,         ///< two HTTP implementations could find two different ends of the message
  invalid_host,              ///< not exactly one Host, or invalid characters in it
  unknown_path,              ///< no class has this path
  missing_class,             ///< no X-Lane
  unknown_class,             ///< X-Lane names no class
  class_mismatch,            ///< X-Lane and the path name different classes
  method_not_allowed,        ///< neither GET nor PUT
  health_check_method,       ///< a health check that is not a GET
  missing_idempotency_key,   ///< on a write of a class that requires one
  repeated_header,           ///< a header or trailer occurs twice that may occur only once
  invalid_transaction_id,    ///< X-Txn is not 16 hex digits
  invalid_remaining,         ///< X-Remaining is not a number of seconds within the limit
  duplicate_transaction_id,  ///< another request with this X-Txn is in progress
  body_too_long,             ///< the body of a read is over 64 KiB
  upload_too_long,           ///< the body is over 32 MiB
  read_ahead_overflow,       ///< more bytes were pipelined than the router keeps
  timed_out,                 ///< not received completely in time
};

struct RequestErrorResponse {
  unsigned status;
  std::string_view text;
};

/// The status and the text that the client gets.
RequestErrorResponse response_to(RequestError error);

}  // namespace streampick::http1
