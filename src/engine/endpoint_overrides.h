/// \file
/// Administrative overrides of endpoints.
#pragma once

#include <string>
#include <unordered_map>

#include "streampick/router.h"

namespace streampick::engine {

/// An operator's override of one server.
struct EndpointOverride {
  bool disabled = false;
  Time started = 0;  ///< start time, unless the list has a later one; 0: as listed
};

/// The overrides by server name. They stay in force until they are reset, whatever endpoint lists contain.
class EndpointOverrides {
 public:
  /// Replaces the override of `name`; a default value removes it.
  void set(const std::string& name, EndpointOverride value);

  [[nodiscard]] bool is_disabled(const std::string& name) const;

  /// The listed endpoint with its override applied.
  [[nodiscard]] Member apply(const std::string& name, Member listed) const;

 private:
  std::unordered_map<std::string, EndpointOverride> overrides_;
};

}  // namespace streampick::engine
