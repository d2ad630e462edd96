/// \file
/// What can be wrong with a client's request, and the response to each error.
#pragma once

#include <cstdint>
#include <string_view>

namespace streampick::http1 {

enum class RequestError : std::uint8_t {
  malformed,                 ///< the parser rejects it; the text is the parser's
  ambiguous_framing,         ///< two readers could see two different messages
  invalid_host,              ///< not exactly one plain Host
  unknown_path,              ///< no class has this path
  missing_class,             ///< no X-Lane
  unknown_class,             ///< X-Lane names no class
  class_mismatch,            ///< X-Lane and the path name different classes
  method_not_allowed,        ///< neither GET nor PUT
  health_check_method,       ///< a health check that is not a GET
  missing_idempotency_key,   ///< on a write of a class that requires one
  repeated_header,           ///< a header or trailer that may occur once
  invalid_transaction_id,    ///< X-Txn
  invalid_remaining,         ///< X-Remaining
  duplicate_transaction_id,  ///< another request with this X-Txn is open
  body_too_long,             ///< over 64 KiB, and not a write
  upload_too_long,           ///< over 32 MiB
  read_ahead_overflow,       ///< more was pipelined than is kept
  timed_out,                 ///< not received completely in time
};

struct RequestErrorResponse {
  unsigned status;
  std::string_view text;
};

/// The status and the text that the client gets.
RequestErrorResponse response_to(RequestError error);

}  // namespace streampick::http1
