#include "grpc/answer.h"

namespace streampick::rpc {

namespace {

grpc::Status make_status(grpc::StatusCode code, std::string reason, const char* default_reason) {
  return {code, reason.empty() ? default_reason : std::move(reason)};
}

grpc::Status status_of(Result& result, bool cancelled) {
  using grpc::StatusCode;
  switch (result.status) {
    case Status::served: return grpc::Status::OK;
    case Status::rejected:
      return make_status(StatusCode::UNAVAILABLE, std::move(result.reason), "rejected; nothing ran");
    case Status::cancelled:
      return cancelled
                 ? make_status(StatusCode::CANCELLED, {}, "cancelled by the caller")
                 : make_status(StatusCode::UNAVAILABLE, std::move(result.reason), "the client is closed");
    case Status::invalid:
      return make_status(StatusCode::INVALID_ARGUMENT, std::move(result.reason),
                         "the arguments of the call are invalid");
    case Status::not_found:
      return make_status(StatusCode::NOT_FOUND, std::move(result.reason), "the key does not exist");
    case Status::failed: break;
  }
  if (result.late)
    return make_status(StatusCode::DEADLINE_EXCEEDED, std::move(result.reason),
                       "no answer within the deadline");
  // Not UNAVAILABLE: most callers' settings retry that code, and the request may have run.
  return make_status(StatusCode::UNKNOWN, std::move(result.reason), "no server gave a usable answer");
}

}  // namespace

Answer answer_of(Result result, bool cancelled, bool deadline_passed) {
  if (result.status == Status::rejected && deadline_passed) {
    result.status = Status::failed;
    result.late = true;
  }
  Answer out;
  out.status = status_of(result, cancelled);
  out.value = std::move(result.value);
  if (result.status == Status::rejected) {
    // Rounded up: a caller that retries too early would be rejected again.
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(result.retry_after).count();
    if (wait > 0) out.trailing.emplace_back(kPushback, std::to_string(wait));
  }
  if (result.may_have_run) out.trailing.emplace_back(kMayHaveRun, "1");
  return out;
}

}  // namespace streampick::rpc
