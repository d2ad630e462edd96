#pragma once

#include <span>

#include "policy/endpoint_table.h"
#include "policy/ready_endpoints.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Applies updates of the endpoint list, and operators' overrides on top of it, to the table and to the ready
/// endpoints. Has no state of its own.
class EndpointUpdates {
 public:
  EndpointUpdates(const Config& config, EndpointTable& endpoints, ReadyEndpoints& ready)
      : config_(config), endpoints_(endpoints), ready_(ready) {}

  /// Applies one update. Endpoints that are missing from a full list become unlisted.
  void apply(Time now, Update update, std::span<const Member> members);
  /// Replaces the override of one endpoint. Returns whether the endpoint is listed: otherwise the override
  /// takes effect with the next list that contains it.
  bool set_override(Time now, ServerId id, const EndpointOverride& value);

 private:
  void apply_listed(Time now, const Member& listed);
  void set_member(Time now, Endpoint& endpoint, const Member& member);
  void update_origin(const Member& member);

  const Config& config_;
  EndpointTable& endpoints_;
  ReadyEndpoints& ready_;
};

}  // namespace streampick::policy
