// A unary call of a stub that a Client executes instead of gRPC's transport.
//
// gRPC runs an interceptor at several points of a call. At the first one, before anything is sent, this
// interceptor hijacks the call: after that only empty batches reach gRPC's core, which neither resolves a
// name nor connects, balances or retries. It hijacks at once rather than when the result is known: a stub may
// start the batch that receives the response at any time, and gRPC checks at the start of that batch whether
// the call was hijacked. The interceptor holds that batch until the result is known.
#pragma once

#include <grpcpp/client_context.h>
#include <grpcpp/support/client_interceptor.h>

#include <memory>
#include <string>

#include "grpc/call_deadline.h"
#include "grpc/route_table.h"
#include "streampick/client.h"

namespace streampick::rpc {

struct MetadataNames {
  std::string tenant, idempotency;  // lower case; empty: not read
};

class RoutedCall final : public grpc::experimental::Interceptor {
 public:
  // All arguments but `context` must outlive the call; `clock` must also outlive the client's calls.
  RoutedCall(Client& client, const CompiledRoute& route, const MetadataNames& names, const CallClock& clock,
             grpc::ClientContext* context);
  ~RoutedCall() override;
  void Intercept(grpc::experimental::InterceptorBatchMethods* batch) override;

 private:
  struct State;
  void begin(const grpc::ByteBuffer* message);

  Client& client_;
  const CompiledRoute& route_;
  const MetadataNames& names_;
  const CallClock& clock_;
  grpc::ClientContext* context_;
  CallOptions options_;
  std::shared_ptr<State> state_;
};

// A call without a route, on a channel without others_target: it ends as UNIMPLEMENTED.
class UnroutedCall final : public grpc::experimental::Interceptor {
 public:
  explicit UnroutedCall(const char* method) : method_(method) {}
  void Intercept(grpc::experimental::InterceptorBatchMethods* batch) override;

 private:
  std::string method_;
};

}  // namespace streampick::rpc
