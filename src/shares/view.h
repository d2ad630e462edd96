// What shared limits need of the fleet's view.
#pragma once

#include <vector>

#include "membership/gossip_protocol.h"

namespace streampick::shares {

// The others that are there, as far as is known.
inline std::vector<membership::Address> living(const membership::GossipProtocol& gossip) {
  std::vector<membership::Address> out;
  for (const auto& [instance, member] : gossip.table().members())
    if (member.record.state <= membership::State::suspect) out.push_back(member.record.address);
  return out;
}

}  // namespace streampick::shares
