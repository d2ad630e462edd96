/// \file
/// Service discovery as the engine sees it: endpoint lists and changes of them, from any source.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "streampick/router.h"

namespace streampick::engine {

struct ListedEndpoint {
  std::string id;
  std::string address;  ///< "host:port", validated
  Member member;        ///< its numeric id is set by the engine
};

/// A whole list, or the changes since the former one.
struct EndpointList {
  std::uint64_t revision = 0;
  bool complete = false;  ///< a whole list
  std::vector<ListedEndpoint> members;
};

class EndpointListObserver {
 public:
  virtual ~EndpointListObserver() = default;
  virtual void on_endpoint_list(const EndpointList& list) = 0;
  /// The source ended or could not be reached; the last list stays in force.
  virtual void on_discovery_failed() = 0;
};

class EndpointDiscovery {
 public:
  virtual ~EndpointDiscovery() = default;
  /// Starts a watch, or polls, unless one is in progress.
  virtual void watch() = 0;
};

}  // namespace streampick::engine
