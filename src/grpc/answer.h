// What a call's end becomes for who called a stub. No I/O.
#pragma once

#include <grpcpp/support/status.h>

#include <string>
#include <utility>
#include <vector>

#include "streampick/client.h"

namespace streampick::rpc {

inline constexpr const char* kPushback = "grpc-retry-pushback-ms";  // of gRPC's retry design (A6)
inline constexpr const char* kMayHaveRun = "streampick-may-have-run";

struct Answer {
  grpc::Status status;
  std::string value;                                          // where the status is OK
  std::vector<std::pair<std::string, std::string>> trailing;  // metadata; lives as long as the call's context
};

// `cancelled`: the caller gave the call up; it was not merely withdrawn by the client's end. `over`: the
// caller's deadline has passed, so that an advice to come back is of no use to this call.
Answer answer_of(Result result, bool cancelled, bool over = false);

}  // namespace streampick::rpc
