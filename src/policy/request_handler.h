#pragma once

#include "policy/request_state.h"
#include "streampick/router.h"

namespace streampick::policy {

/// The interface through which queues start and end the requests that wait in them. Each call may send
/// attempts, add requests to queues and end requests, so a queue must be in a consistent state when it makes
/// a call.
class RequestHandler {
 public:
  RequestHandler(const RequestHandler&) = delete;
  RequestHandler& operator=(const RequestHandler&) = delete;

  /// Sends the first attempt.
  virtual void start(RequestState& request, Time now) = 0;
  /// Handles a request for which the caches have no capacity: reads from the origin if that has capacity,
  /// otherwise gives up.
  virtual void fall_back_to_origin(RequestState& request, Time now) = 0;
  /// Ends the request without an answer.
  virtual void give_up(RequestState& request, Time now) = 0;

 protected:
  RequestHandler() = default;
  ~RequestHandler() = default;
};

}  // namespace streampick::policy
