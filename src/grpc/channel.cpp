#include <google/protobuf/descriptor.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>
#include <grpcpp/support/client_interceptor.h>

#include <fstream>
#include <iterator>
#include <utility>

#include "grpc/options.h"
#include "grpc/route_table.h"
#include "grpc/routed_call.h"
#include "streampick/grpc.h"

namespace streampick::rpc {

namespace {

// Never destroyed: calls may end after their channel, even while the process exits.
const CallClock& system_clocks = *new CallClock;

Options load(const std::string& path) {
  if (path.empty()) return {};
  std::ifstream file(path);
  if (!file) throw options::Error(path + ": the file cannot be read");
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  // Other tables of the file are for other components.
  options::Table root = options::Table::parse(text, path);
  auto table = root.table("grpc");
  return table ? read_options(std::move(*table)) : Options{};
}

class Factory final : public grpc::experimental::ClientInterceptorFactoryInterface {
 public:
  Factory(std::shared_ptr<Client> client, RouteTable table, MetadataNames names, bool pass_unrouted)
      : client_(std::move(client)),
        table_(std::move(table)),
        names_(std::move(names)),
        passes_unrouted_(pass_unrouted) {}

  grpc::experimental::Interceptor* CreateClientInterceptor(grpc::experimental::ClientRpcInfo* call) override {
    const CompiledRoute* const route = table_.find(call->method());
    if (route != nullptr)
      return new RoutedCall(*client_, *route, names_, system_clocks, call->client_context());
    if (passes_unrouted_) return nullptr;  // the call uses gRPC's own transport
    return new UnroutedCall(call->method());
  }

 private:
  std::shared_ptr<Client> client_;
  RouteTable table_;
  MetadataNames names_;
  bool passes_unrouted_;
};

}  // namespace

std::shared_ptr<grpc::Channel> open_channel(std::shared_ptr<Client> client, const ChannelSettings& settings) {
  if (client == nullptr) throw ClientError("streampick channel: the client is null");
  std::unique_ptr<Factory> factory;
  const bool pass_unrouted = !settings.others_target.empty();
  try {
    Options file_options = load(settings.options_path);
    for (const Route& route : settings.routes) file_options.routes.push_back(route);
    RouteTable table(file_options.routes, settings.services,
                     *google::protobuf::DescriptorPool::generated_pool(),
                     [&](const std::string& name) { return client->is_safe(name); });
    MetadataNames names{file_options.tenant_metadata.value_or(settings.tenant_metadata),
                        file_options.idempotency_metadata.value_or(settings.idempotency_metadata)};
    factory = std::make_unique<Factory>(std::move(client), std::move(table), std::move(names), pass_unrouted);
  } catch (const std::runtime_error& error) {
    throw ClientError(std::string("streampick channel: ") + error.what());
  }
  std::vector<std::unique_ptr<grpc::experimental::ClientInterceptorFactoryInterface>> creators;
  creators.push_back(std::move(factory));
  // Without others_target gRPC never connects to the target: it connects when a call's first batch reaches
  // its core, and every call is intercepted before that.
  return grpc::experimental::CreateCustomChannelWithInterceptors(
      pass_unrouted ? settings.others_target : "ipv4:127.0.0.1:9",
      settings.others_credentials ? settings.others_credentials : grpc::InsecureChannelCredentials(),
      grpc::ChannelArguments(), std::move(creators));
}

}  // namespace streampick::rpc
