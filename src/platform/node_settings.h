// The configuration that the platform gives this router: a JSON file and environment variables.
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
  std::optional<boost::asio::ip::tcp::endpoint>
      management;  // of the management server; none: there is no such server
  int passed_socket =
      -1;  // descriptor of the listening socket that the platform passed; -1: the router opens one
  std::string
      shared_folder;        // folder that this router's processes share, also one after another; empty: none
  std::size_t sockets = 0;  // file descriptors that this process may open
  std::size_t memory_mb = 0;
  double cores = 1;  // processor cores that this process may use
  engine::EndpointList known;
  overload::Settings overload;  // from the operator's options file
  std::string text;             // the file as it was read
};

// The number of descriptors for upstream and downstream connections: all but those of standard streams,
// listeners, discovery and the event loop.
overload::DescriptorBudget::Limits descriptor_limits(const NodeSettings& settings);

// The configuration in environment variables. It is of this process alone, and takes precedence over the
// file, which the process that is replaced may read as well.
struct Environment {
  std::string management, passed_socket, shared_folder;  // empty: not set
  static Environment from_process();
};
void apply(const Environment& environment, NodeSettings& settings);

// All throw std::runtime_error with a message of one line.
NodeSettings load_settings(const std::string& path);
// Loads a configuration that is to replace `accepted`: it must hold all keys that `accepted` holds.
NodeSettings load_settings(const std::string& path, const NodeSettings& accepted);
NodeSettings parse_settings(const std::string& json);

}  // namespace streampick::platform
