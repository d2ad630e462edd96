#include "policy/attempt_dispatcher.h"

namespace streampick::policy {

void AttemptDispatcher::send(RequestState& request, ServerId id, Time now) {
  Endpoint& endpoint = endpoints_.at(id);
  const bool to_origin = endpoints_.origin() == id;
  request.attempts[request.attempt_count] = {
      .endpoint = id,
      .sent_at = now,
      .endpoint_answers = endpoint.answers,
      .in_flight = true,
      .opens_connection = !connections_.has_connection(endpoint, now),
      .to_origin = to_origin,
  };
  ++request.attempt_count;
  ++request.in_flight_count;
  ++endpoint.in_flight;
  for (OutlierState* state : endpoint.outlier_states()) {
    ++state->in_flight;
  }
  if (to_origin) {
    ++origin_in_flight_;
    origin_writes_ += request.request.write ? 1 : 0;
  } else {
    ++cache_in_flight_;
  }
  sink_.send(request.request.id, id, 0);
}

void AttemptDispatcher::complete(RequestState& request, AttemptState& attempt, Outcome outcome) {
  attempt.in_flight = false;
  attempt.outcome = outcome;
  --request.in_flight_count;
  Endpoint& endpoint = endpoints_.at(attempt.endpoint);
  --endpoint.in_flight;
  for (OutlierState* state : endpoint.outlier_states()) {
    --state->in_flight;
  }
  if (attempt.to_origin) {
    origin_in_flight_ -= attempt.stalled ? 0 : 1;
    origin_writes_ -= request.request.write ? 1 : 0;
    return;
  }
  --cache_in_flight_;
  if (attempt.stalled) {
    --endpoint.stalled;
    --cache_stalled_;
  }
}

void AttemptDispatcher::mark_stalled(AttemptState& attempt) {
  if (attempt.stalled) {
    return;
  }
  attempt.stalled = true;
  if (attempt.to_origin) {
    --origin_in_flight_;
    return;
  }
  ++endpoints_.at(attempt.endpoint).stalled;
  ++cache_stalled_;
}

}  // namespace streampick::policy
