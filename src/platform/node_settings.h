// What the platform tells this router, read once at the start.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "engine/roster.h"
#include "overload/descriptors.h"
#include "settings/settings.h"

namespace streampick::node {

struct NodeSettings {
  Settings settings;
  std::string name;
  boost::asio::ip::tcp::endpoint listen, discovery;
  std::size_t sockets = 0;  // file descriptors this process may hold
  std::size_t memory_mb = 0;
  double cores = 1;  // of the processor, at most
  MemberList known;
  overload::Settings overload;  // the operator's
};

// The descriptors that connections may have, of clients and to servers: all but those of standard streams,
// listeners, discovery and the loop.
overload::Descriptors::Limits descriptor_limits(const NodeSettings& settings);

// Both throw std::runtime_error with one line that says what is wrong.
NodeSettings load_settings(const std::string& path);
NodeSettings parse_settings(const std::string& json);

}  // namespace streampick::node
