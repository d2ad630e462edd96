/// \file
/// A response to a client, and functions that make one of each kind.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "engine/downstream.h"
#include "http1/request_error.h"

namespace streampick::http1 {

struct OutgoingResponse {
  unsigned status = 200;
  std::string content_type = {};
  std::string body = {};
  Time retry_after = 0;  ///< from now, in microseconds; 0: no Retry-After
  engine::MemoryReservation reservation = {};
  engine::BodyReader stream = {};  ///< the body, if it is streamed
  engine::RequestMetrics::InFlight in_flight = {};
};

/// Why a request was rejected without reaching the engine. The client may repeat it.
enum class Rejection : std::uint8_t {
  loop_lagging,  ///< the event loop lags, and load is shed
  no_memory,     ///< no memory is left to buffer or stream a long body
};

OutgoingResponse to_outgoing(engine::Response response);
OutgoingResponse error_response(RequestError error);
/// The response to a request that the parser rejects. `text` is the parser's error message.
OutgoingResponse malformed_response(std::string_view text);
OutgoingResponse rejection_response(Rejection rejection, Time retry_after);
/// 200 while the router serves, 503 while it drains.
OutgoingResponse health_response(bool is_draining);

}  // namespace streampick::http1
