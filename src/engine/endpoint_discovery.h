// Which servers there are: lists and changes of them, from whatever source.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "streampick/router.h"

namespace streampick::engine {

struct ListedEndpoint {
  std::string id;
  std::string address;  // "host:port", known to be readable
  Member member;        // its id is the engine's to fill in
};
struct EndpointList {
  std::uint64_t revision = 0;
  bool complete = false;
  std::vector<ListedEndpoint> members;
};

class EndpointListObserver {
 public:
  virtual ~EndpointListObserver() = default;
  virtual void on_endpoint_list(const EndpointList& list) = 0;
  virtual void on_discovery_failed() = 0;  // the source ended, or could not be had; the old list holds
};

class EndpointDiscovery {
 public:
  virtual ~EndpointDiscovery() = default;
  virtual void watch() = 0;
};

}  // namespace streampick::engine
