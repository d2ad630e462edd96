// Translates a call's result into the gRPC status and trailing metadata that the stub's caller gets. No I/O.
#pragma once

#include <grpcpp/support/status.h>

#include <string>
#include <utility>
#include <vector>

#include "streampick/client.h"

namespace streampick::rpc {

inline constexpr const char* kPushback =
    "grpc-retry-pushback-ms";  // defined by gRPC proposal A6 (client retries)
inline constexpr const char* kMayHaveRun = "streampick-may-have-run";

struct Answer {
  grpc::Status status;
  std::string value;                                          // set if the status is OK
  std::vector<std::pair<std::string, std::string>> trailing;  // metadata; lives as long as the call's context
};

// `cancelled`: the caller cancelled the call, not the client's destruction. `deadline_passed`: the caller's
// deadline has passed, so a rejection is reported as DEADLINE_EXCEEDED: this call cannot use the advice to
// retry.
Answer answer_of(Result result, bool cancelled, bool deadline_passed = false);

}  // namespace streampick::rpc
