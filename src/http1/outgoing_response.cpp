#include "http1/outgoing_response.h"

#include <utility>

namespace streampick::http1 {
namespace {

constexpr const char* kTextPlain = "text/plain";

OutgoingResponse text_response(unsigned status, std::string_view text) {
  OutgoingResponse response{.status = status, .content_type = kTextPlain};
  response.body.reserve(text.size() + 1);
  response.body.append(text).push_back('\n');
  return response;
}

}  // namespace

OutgoingResponse to_outgoing(engine::Response response) {
  OutgoingResponse outgoing;
  switch (response.kind) {
    case engine::Response::Kind::served:
      outgoing.content_type = std::move(response.answer.content_type);
      outgoing.body = std::move(response.answer.body);
      outgoing.reservation = std::move(response.answer.memory);
      outgoing.stream = std::move(response.answer.stream);
      break;
    case engine::Response::Kind::rejected:
      outgoing = text_response(503, "refused; it is safe to try again");
      outgoing.retry_after = response.retry_after;
      break;
    case engine::Response::Kind::failed: outgoing = text_response(response.late ? 504 : 502, "failed"); break;
  }
  outgoing.in_flight = std::move(response.in_flight);
  return outgoing;
}

OutgoingResponse error_response(RequestError error) {
  const RequestErrorResponse response = response_to(error);
  return text_response(response.status, response.text);
}

OutgoingResponse malformed_response(std::string_view text) {
  return text_response(response_to(RequestError::malformed).status, text);
}

OutgoingResponse rejection_response(Rejection rejection, Time retry_after) {
  OutgoingResponse outgoing =
      rejection == Rejection::loop_lagging
          ? text_response(503, "refused, the router is behind; it is safe to try again")
          : text_response(503, "refused, no memory for the body now; it is safe to try again");
  outgoing.retry_after = retry_after;
  return outgoing;
}

OutgoingResponse health_response(bool is_draining) {
  return {.status = is_draining ? 503U : 200U, .content_type = kTextPlain, .body = ""};
}

}  // namespace streampick::http1
