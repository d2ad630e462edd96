/// \file
/// The engine's interface to service discovery: complete endpoint lists and changes, from any source.
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

/// Numbers the requests for endpoint lists at one source, in the order in which they were sent.
enum class ListRequestId : std::uint64_t {};

/// A complete endpoint list, or the changes since the previous one.
struct EndpointList {
  ListRequestId request = {};  ///< the request that it answers; 0 where the source does not number them
  std::uint64_t revision = 0;
  bool complete = false;  ///< whether this is a complete list, not only changes
  std::vector<ListedEndpoint> members;
};

/// A complete list that an earlier process has stored. No source vouches for it now, so it is no answer of
/// one.
struct StoredEndpointList {
  EndpointList list;
};

/// Receives what one source of endpoint lists sends.
class EndpointListObserver {
 public:
  virtual ~EndpointListObserver() = default;
  virtual void on_endpoint_list(const EndpointList& list) = 0;
  /// The source ended or could not be reached; the last list stays in force.
  virtual void on_discovery_failed() = 0;
};

/// Receives lists that are merged from several sources and, apart from them, what the one source does that
/// EndpointDiscovery::watch() asks. A merged list is no answer of that source: another one may have caused
/// it.
class MergedListObserver {
 public:
  virtual ~MergedListObserver() = default;
  virtual void on_merged_list(const EndpointList& list) = 0;
  /// To be used until a source has sent a complete list.
  virtual void on_stored_list(const StoredEndpointList& stored) = 0;
  virtual void on_discovery_answered() = 0;
  virtual void on_discovery_failed() = 0;
};

class EndpointDiscovery {
 public:
  virtual ~EndpointDiscovery() = default;
  /// Starts a watch, or polls, unless one is in progress.
  virtual void watch() = 0;
};

}  // namespace streampick::engine
