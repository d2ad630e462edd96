#include "engine/endpoint_overrides.h"

namespace streampick::engine {

void EndpointOverrides::set(const std::string& name, EndpointOverride value) {
  if (value == EndpointOverride{}) {
    overrides_.erase(name);
  } else {
    overrides_[name] = value;
  }
}

bool EndpointOverrides::is_disabled(const std::string& name) const {
  const auto found = overrides_.find(name);
  return found != overrides_.end() && found->second.disabled;
}

EndpointOverride EndpointOverrides::of(const std::string& name) const {
  const auto found = overrides_.find(name);
  return found == overrides_.end() ? EndpointOverride{} : found->second;
}

}  // namespace streampick::engine
