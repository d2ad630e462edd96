#include "grpc/answer.h"

namespace streampick::rpc {

namespace {

grpc::Status said(grpc::StatusCode code, std::string reason, const char* otherwise) {
  return {code, reason.empty() ? otherwise : std::move(reason)};
}

grpc::Status status_of(Result& result, bool cancelled) {
  using grpc::StatusCode;
  switch (result.status) {
    case Status::served: return grpc::Status::OK;
    case Status::rejected:
      return said(StatusCode::UNAVAILABLE, std::move(result.reason), "refused; nothing ran");
    case Status::cancelled:
      return cancelled ? said(StatusCode::CANCELLED, {}, "cancelled by the caller")
                       : said(StatusCode::UNAVAILABLE, std::move(result.reason), "the client has ended");
    case Status::invalid:
      return said(StatusCode::INVALID_ARGUMENT, std::move(result.reason), "it could never be sent");
    case Status::not_found:
      return said(StatusCode::NOT_FOUND, std::move(result.reason), "there is no such key");
    case Status::failed: break;
  }
  if (result.late)
    return said(StatusCode::DEADLINE_EXCEEDED, std::move(result.reason), "no answer within the deadline");
  // Not UNAVAILABLE: what stands for that in most callers' settings is asked again.
  return said(StatusCode::UNKNOWN, std::move(result.reason), "no server gave an answer that could be used");
}

}  // namespace

Answer answer_of(Result result, bool cancelled, bool over) {
  if (result.status == Status::rejected && over) {
    result.status = Status::failed;
    result.late = true;
  }
  Answer out;
  out.status = status_of(result, cancelled);
  out.value = std::move(result.value);
  if (result.status == Status::rejected) {
    // Rounded up: who comes back a moment early is refused again.
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(result.retry_after).count();
    if (wait > 0) out.trailing.emplace_back(kPushback, std::to_string(wait));
  }
  if (result.may_have_run) out.trailing.emplace_back(kMayHaveRun, "1");
  return out;
}

}  // namespace streampick::rpc
