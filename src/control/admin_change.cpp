#include "control/admin_change.h"

namespace streampick::control {

ApplyResult apply(const AdminChange& change, AdminOverrides& overrides) {
  switch (change.kind) {
    case AdminChange::Kind::disable_endpoint:
      overrides.remove_expired(change.made_at, change.past_retention);
      return overrides.disable(change.endpoint_id, change.made_at) ? ApplyResult::applied
                                                                   : ApplyResult::too_many;
    case AdminChange::Kind::enable_endpoint:
      return overrides.enable(change.endpoint_id, change.made_at) ? ApplyResult::applied
                                                                  : ApplyResult::no_effect;
    case AdminChange::Kind::start_drain: overrides.set_draining(true); return ApplyResult::applied;
    case AdminChange::Kind::end_drain: overrides.set_draining(false); return ApplyResult::applied;
  }
  return ApplyResult::no_effect;
}

ApplyResult apply_delayed(const AdminChange& change, AdminOverrides& overrides) {
  const auto found = overrides.endpoints().find(change.endpoint_id);
  if (found != overrides.endpoints().end() && found->second.changed_at > change.made_at)
    return ApplyResult::no_effect;
  return apply(change, overrides);
}

}  // namespace streampick::control
