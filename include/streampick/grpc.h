// A gRPC channel whose unary calls go through a Client, for stubs that protoc generates. An application keeps
// its stubs and its calls; the Client's configuration replaces the channel's target and credentials. A routed
// call never reaches gRPC's own transport, load balancing or retries.
//
// How a call and its result are mapped:
//
//   deadline of the ClientContext     the call's deadline, at most the class's
//   TryCancel()                       Call::cancel()
//   metadata named in the settings    tenant, idempotency key
//   Status::served                    OK
//   Status::rejected                  UNAVAILABLE, with grpc-retry-pushback-ms in the trailing metadata
//   Status::failed, late              DEADLINE_EXCEEDED
//   Status::not_found                 NOT_FOUND
//   Status::failed                    UNKNOWN
//   Status::cancelled                 CANCELLED, or UNAVAILABLE if the client was drained or destroyed
//   Status::invalid                   INVALID_ARGUMENT
//
// The trailing metadata streampick-may-have-run: 1 marks a failed save that some server may have executed.
#pragma once

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>
#include <vector>

#include "streampick/client.h"
#include "streampick/route.h"

namespace streampick::rpc {

struct ChannelSettings {
  // Services of this program, as "package.Service", whose methods are routed by their option
  // streampick.route.
  std::vector<std::string> services = {};
  // Further routes, for methods whose service cannot be annotated. They take precedence over method options.
  std::vector<Route> routes = {};
  // Keys of a call's metadata, in lower case; empty: not read.
  std::string tenant_metadata = "x-org", idempotency_metadata = "idempotency-key";
  // An options file. The routes and metadata keys of its table [grpc] take precedence over those above.
  std::string options_path = {};
  // gRPC target for calls without a route, streaming ones too; empty: they end as UNIMPLEMENTED.
  std::string others_target = {};
  std::shared_ptr<grpc::ChannelCredentials> others_credentials = {};
};

// Calls on the channel are routed by `client`, which the channel keeps alive. Callbacks of gRPC's callback
// API run where the client's callbacks run. The channel is only for stubs that protoc generates from .proto
// files: a GenericStub's messages are of another type, which the channel cannot detect. Throws ClientError,
// with one line, for a service or method that this program lacks, a streaming method, a class that the
// settings lack or whose effect does not match, and for a field that does not exist or has an unsuitable
// type.
STREAMPICK_API std::shared_ptr<grpc::Channel> open_channel(std::shared_ptr<Client> client,
                                                           const ChannelSettings& settings);

}  // namespace streampick::rpc
