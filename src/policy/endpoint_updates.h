#pragma once

#include <span>

#include "policy/endpoint_table.h"
#include "policy/ready_endpoints.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Applies updates of the endpoint list to the table and to the ready endpoints. Has no state of its own.
class EndpointUpdates {
 public:
  EndpointUpdates(const Config& config, EndpointTable& endpoints, ReadyEndpoints& ready)
      : config_(config), endpoints_(endpoints), ready_(ready) {}

  /// Applies one update, which must not be Update::failed. Unless it is Update::changes, `members` is the
  /// whole list, and endpoints that are missing from it become unlisted.
  void apply(Time now, Update update, std::span<const Member> members);

 private:
  void apply(Time now, const Member& member);
  void update_origin(const Member& member);

  const Config& config_;
  EndpointTable& endpoints_;
  ReadyEndpoints& ready_;
};

}  // namespace streampick::policy
