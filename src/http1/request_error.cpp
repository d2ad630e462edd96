#include "http1/request_error.h"

namespace streampick::http1 {

RequestErrorResponse response_to(RequestError error) {
  switch (error) {
    case RequestError::malformed: return {400, "malformed"};
    case RequestError::ambiguous_framing: return {400, "where the message ends is in doubt"};
    case RequestError::invalid_host: return {400, "one Host, and no other"};
    case RequestError::unknown_path: return {404, "no such path"};
    case RequestError::missing_class: return {400, "no X-Lane"};
    case RequestError::unknown_class: return {400, "unknown class in X-Lane"};
    case RequestError::class_mismatch: return {400, "X-Lane and path differ"};
    case RequestError::method_not_allowed: return {405, "GET and PUT only"};
    case RequestError::health_check_method: return {405, "GET only"};
    case RequestError::missing_idempotency_key: return {400, "no Idempotency-Key"};
    case RequestError::repeated_header: return {400, "a header stands there twice"};
    case RequestError::invalid_transaction_id: return {400, "X-Txn must be 16 hex digits"};
    case RequestError::invalid_remaining: return {400, "X-Remaining must be a number of seconds"};
    case RequestError::duplicate_transaction_id: return {409, "a request with this X-Txn is open"};
    case RequestError::body_too_long: return {413, "the body is over 64 KiB"};
    case RequestError::upload_too_long: return {413, "the body is over 32 MiB"};
    case RequestError::read_ahead_overflow: return {400, "more was sent ahead than is kept"};
    case RequestError::timed_out: return {408, "the request did not come in time"};
  }
  return {400, "malformed"};
}

}  // namespace streampick::http1
