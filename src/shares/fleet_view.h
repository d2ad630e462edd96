// The part of the membership view that the lease protocol uses.
#pragma once

#include <vector>

#include "membership/gossip_protocol.h"

namespace streampick::leases {

/// Returns the addresses of the other processes that are alive or suspected.
inline std::vector<membership::Address> living_peers(const membership::GossipProtocol& core) {
  std::vector<membership::Address> peers;
  for (const auto& [incarnation, member] : core.table().members())
    if (member.record.state <= membership::State::suspect) peers.push_back(member.record.address);
  return peers;
}

}  // namespace streampick::leases
