// The client library under stubs that gRPC's compiler made: a channel whose unary calls go through a Client.
// An application keeps its stubs and its calls; what its channel was, a name and credentials, is the Client's
// configuration now. Nothing of a routed call reaches gRPC's own transport, load balancing or retries.
//
// What a call's parts become:
//
//   deadline of the ClientContext     the call's deadline; never longer than the class's
//   TryCancel()                       Call::cancel()
//   metadata named in the settings    tenant, idempotency key
//   Status::served                    OK
//   Status::rejected                  UNAVAILABLE, with grpc-retry-pushback-ms in the trailing metadata
//   Status::failed, late              DEADLINE_EXCEEDED
//   Status::not_found                 NOT_FOUND
//   Status::failed                    UNKNOWN
//   Status::cancelled                 CANCELLED, or UNAVAILABLE where the client was drained or ended
//   Status::invalid                   INVALID_ARGUMENT
//
// Trailing metadata streampick-may-have-run: 1 stands with a failed save that some server may have carried
// out.
#pragma once

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>
#include <vector>

#include "streampick/client.h"
#include "streampick/route.h"

namespace streampick::rpc {

struct ChannelSettings {
  // Services of this program whose methods' options (streampick.route) are read: "package.Service".
  std::vector<std::string> services = {};
  // Beside them, for methods whose service can't be annotated; what is said here comes before an option.
  std::vector<Route> routes = {};
  // Names in a call's metadata, in lower case; empty: none is read.
  std::string tenant_metadata = "x-org", idempotency_metadata = "idempotency-key";
  // The table [grpc] of an options file: its routes and names come before what is said here.
  std::string options_path = {};
  // Where calls go that no route names, streaming ones too; empty: they end as UNIMPLEMENTED.
  std::string others_target = {};
  std::shared_ptr<grpc::ChannelCredentials> others_credentials = {};
};

// Calls on the channel are routed by `client`, which is kept for as long as the channel is. Its callbacks run
// the application's: those of the callback API run where the client's callbacks do. Only for stubs that the
// compiler made from .proto files: a GenericStub's messages are of another type, and can't be told apart.
// Throws ClientError, with one line, for a service or method that this program lacks, a streaming method, a
// class that the settings lack or whose effect does not fit, a field that is not there or can't be used.
STREAMPICK_API std::shared_ptr<grpc::Channel> open_channel(std::shared_ptr<Client> client,
                                                           const ChannelSettings& settings);

}  // namespace streampick::rpc
