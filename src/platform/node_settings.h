// What the platform tells this router, read once at the start.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "engine/endpoint_discovery.h"
#include "overload/descriptor_budget.h"
#include "settings/settings.h"

namespace streampick::platform {

struct NodeSettings {
  Settings settings;
  std::string name;
  boost::asio::ip::tcp::endpoint listen, discovery;
  std::optional<boost::asio::ip::tcp::endpoint> management;  // the operators'; none: nothing listens
  int passed_socket = -1;   // the clients' listening socket, that the platform holds; -1: we make our own
  std::string scratch;      // a folder that the process after us finds as we left it; empty: there is none
  std::size_t sockets = 0;  // file descriptors this process may hold
  std::size_t memory_mb = 0;
  double cores = 1;  // of the processor, at most
  engine::EndpointList known;
  overload::Settings overload;  // the operator's
  std::string text;             // all of it, as it was read
};

// The descriptors that connections may have, of clients and to servers: all but those of standard streams,
// listeners, discovery and the loop.
overload::DescriptorBudget::Limits descriptor_limits(const NodeSettings& settings);

// What the environment says, which is this process's own: it goes before the file, which may be shared with
// the process that is to be replaced.
struct Environment {
  std::string management, passed_socket, scratch;  // empty: not told
  static Environment of_process();
};
void apply(const Environment& environment, NodeSettings& settings);

// All throw std::runtime_error with one line that says what is wrong.
NodeSettings load_settings(const std::string& path);
// What is to replace `accepted`: it must also have all that this one has.
NodeSettings load_settings(const std::string& path, const NodeSettings& accepted);
NodeSettings parse_settings(const std::string& json);

}  // namespace streampick::platform
