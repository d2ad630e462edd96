// What shared limits need of the fleet's view.
#pragma once

#include <vector>

#include "membership/core.h"

namespace streampick::leases {

// The others that are there, as far as is known.
inline std::vector<membership::Address> living(const membership::Core& core) {
  std::vector<membership::Address> out;
  for (const auto& [boot, member] : core.table().all())
    if (member.record.state <= membership::State::suspect) out.push_back(member.record.address);
  return out;
}

}  // namespace streampick::leases
