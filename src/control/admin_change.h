/// An operator's command that changes the overrides, kept until it is stored. No I/O; not thread-safe.
#pragma once

#include <cstdint>
#include <string>

#include "control/admin_overrides.h"
#include "streampick/router.h"

namespace streampick::control {

struct AdminChange {
  enum class Kind : std::uint8_t { disable_endpoint, enable_endpoint, start_drain, end_drain };
  Kind kind = Kind::disable_endpoint;
  std::string endpoint_id = {};  ///< empty where the kind names no endpoint
  /// Unix time, because monotonic clocks of two processes may not be comparable.
  Time made_at = 0;
  /// disable_endpoint: endpoints whose override has been unchanged for longer than AdminOverrides::kRetention
  /// by the caller's monotonic clock. Overrides among them that are enabled are removed.
  AdminOverrides::Endpoints past_retention = {};
};

enum class ApplyResult : std::uint8_t {
  applied,    ///< the change holds, and may have held before
  no_effect,  ///< enable_endpoint: the endpoint was not disabled
  too_many,   ///< disable_endpoint: the maximum number of endpoints is reached
};

/// Applies a change that was made at this moment.
ApplyResult apply(const AdminChange& change, AdminOverrides& overrides);

/// Applies a change that could not be stored when it was made. It has no effect where the router's other
/// process changed the same endpoint later, by Unix time.
ApplyResult apply_delayed(const AdminChange& change, AdminOverrides& overrides);

}  // namespace streampick::control
