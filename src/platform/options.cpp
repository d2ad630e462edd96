#include "platform/options.h"

#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include "overload/options.h"

namespace streampick::platform {

Options parse_options(const std::string& text, const std::string& path) {
  Options out;
  out.file = path;
  options::Table root = options::Table::parse(text, path);
  if (auto table = root.table("overload")) out.overload = overload::read_options(std::move(*table));
  // Used by programs with gRPC stubs, not by the router: all programs of a machine may share one file.
  if (auto grpc = root.table("grpc")) out.grpc = rpc::read_options(std::move(*grpc));
  if (auto roster = root.table("roster")) {
    if (auto etcd = roster->table("etcd")) out.etcd = etcd::read_options(std::move(*etcd));
    roster->reject_unknown_keys();
  }
#ifdef STREAMPICK_WITH_FLEET
  if (auto fleet = root.table("fleet")) out.fleet = fleet::read_options(std::move(*fleet));
  if (auto shares = root.table("shares")) out.shares = fleet::read_share_options(std::move(*shares));
#endif
#ifdef STREAMPICK_WITH_RESP
  if (auto resp = root.table("resp")) out.resp = resp::read_options(std::move(*resp));
#endif
  root.reject_unknown_keys();
  return out;
}

Options load_options(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw options::Error(path + ": it can't be read");
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  return parse_options(text, path);
}

void resolve(Options& options, NodeSettings& node) {
  node.overload = options.overload;
  for (const rpc::Route& route : options.grpc.routes) {
    const std::uint32_t found = index_of(node.settings.names.classes, route.request_class);
    if (found == kNone)
      throw options::Error(options.file + ": grpc.route: the platform's configuration has no class " +
                           route.request_class);
    if ((node.settings.config.classes[found].effect == Effect::safe) == route.save)
      throw options::Error(options.file + ": grpc.route: " + route.method + ": the class " +
                           route.request_class + (route.save ? " is for reads" : " is not for reads"));
  }
  for (const std::string& name : options.overload.protected_classes)
    if (index_of(node.settings.names.classes, name) == kNone)
      throw options::Error(options.file + ": overload.spared: the platform's configuration has no class " +
                           name);
#ifdef STREAMPICK_WITH_RESP
  const auto limits = descriptor_limits(node);
  resp::resolve(options.resp, node.settings, options.file, limits.total - limits.upstream_minimum);
#endif
}

std::string describe(const Options& options) {
  std::ostringstream out;
  const overload::Settings& limits = options.overload;
  out << "overload: minimum share of descriptors: clients " << limits.client_minimum_share << ", servers "
      << limits.upstream_minimum_share << ", connection pressure from a share of "
      << limits.connection_pressure_share << " of the descriptors, idle timeout "
      << limits.idle_timeout / 1000 << " ms, " << limits.idle_timeout_under_pressure / 1000
      << " ms under pressure\n"
      << "overload: load shedding from an event loop lag of " << limits.target_loop_lag / 1000
      << " ms, wait for a cancelled attempt's response at most " << limits.max_drain_time / 1000
      << " ms, responses streamed above " << limits.max_buffered_response << " bytes, at most "
      << limits.max_response << " bytes\n";
  if (!options.grpc.routes.empty())
    out << "grpc: " << options.grpc.routes.size()
        << " routes (used only by programs that link the client library)\n";
  out << etcd::describe(options.etcd);
#ifdef STREAMPICK_WITH_FLEET
  out << fleet::describe(options.fleet) << fleet::describe(options.shares);
#else
  out << "fleet: not in this build (STREAMPICK_FLEET)\n";
#endif
#ifdef STREAMPICK_WITH_RESP
  out << resp::describe(options.resp);
#else
  out << "resp: not in this build (STREAMPICK_RESP)\n";
#endif
  return out.str();
}

}  // namespace streampick::platform
