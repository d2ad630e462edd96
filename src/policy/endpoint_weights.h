#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "policy/endpoint_table.h"
#include "policy/ready_endpoints.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Computes the weights of the ready endpoints from the listed weight and the speed that answers show. Speed
/// is estimated for each kind of endpoint: answers of a single endpoint are too few, and their noise would
/// give each router a different placement.
class EndpointWeights {
 public:
  EndpointWeights(EndpointTable& endpoints, ReadyEndpoints& ready) : endpoints_(endpoints), ready_(ready) {}

  /// Call at each tick. In a small fleet, refreshes all weights once a second. In a large fleet, refreshes
  /// some endpoints at each tick, so that no tick visits all of them, and refreshes their health as well.
  void refresh(Time now);

 private:
  struct LatencySums {
    double actual = 0;    // sum of answer latencies, microseconds
    double expected = 0;  // sum of expected latencies, microseconds
  };
  struct SpeedSums {
    std::map<std::uint32_t, LatencySums> by_kind;
    LatencySums all;
    double mean_listed_weight = 0;
  };

  void refresh_all(Time now);
  void refresh_next(Time now);
  void add_to(SpeedSums& sums, const Endpoint& endpoint) const;
  void update_weight(const SpeedSums& sums, Endpoint& endpoint);

  EndpointTable& endpoints_;
  ReadyEndpoints& ready_;
  Time last_refresh_ = 0;
  // For large fleets: the sums of the last complete pass, the sums of the current pass, and its next position
  // in ReadyEndpoints::ids().
  SpeedSums sums_;
  SpeedSums next_sums_;
  std::size_t next_position_ = 0;
};

}  // namespace streampick::policy
