/// \file
/// What operators said of servers, against the endpoint list.
#pragma once

#include <string>
#include <unordered_map>

#include "streampick/router.h"

namespace streampick::engine {

/// One operator's word on a server.
struct EndpointOverride {
  bool disabled = false;
  Time started = 0;  ///< counts as started then, unless the list tells of a later start; 0: as listed
};

/// The overrides by server name. They hold whatever the lists say, until they are taken back.
class EndpointOverrides {
 public:
  /// Replaces the override of `name`; one that says nothing is removed.
  void set(const std::string& name, EndpointOverride value);

  [[nodiscard]] bool is_disabled(const std::string& name) const;

  /// The endpoint as the list tells it, with what operators said against it.
  [[nodiscard]] Member apply(const std::string& name, Member listed) const;

 private:
  std::unordered_map<std::string, EndpointOverride> overrides_;
};

}  // namespace streampick::engine
