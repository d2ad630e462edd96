/// \file
/// Administrative overrides of endpoints.
#pragma once

#include <string>
#include <unordered_map>

#include "streampick/router.h"

namespace streampick::engine {

/// The overrides by server name. They stay in force until they are reset, whatever endpoint lists contain.
/// The decision module applies them; it knows servers by number only.
class EndpointOverrides {
 public:
  /// Replaces the override of `name`; a default value removes it.
  void set(const std::string& name, EndpointOverride value);

  [[nodiscard]] bool is_disabled(const std::string& name) const;

  /// A default value: there is none.
  [[nodiscard]] EndpointOverride of(const std::string& name) const;

 private:
  std::unordered_map<std::string, EndpointOverride> overrides_;
};

}  // namespace streampick::engine
