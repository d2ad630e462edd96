#pragma once

#include <utility>
#include <vector>

#include "policy/endpoint_table.h"
#include "policy/outlier_detector.h"
#include "policy/rendezvous_tree.h"
#include "policy/slow_start.h"
#include "streampick/router.h"

namespace streampick::policy {

/// The endpoints that may receive cache attempts: those that are listed, ready and not the origin. Keeps them
/// sorted by identity and in the tree that finds the candidates for a key, and maintains the sum of their
/// healthy weight.
class ReadyEndpoints {
 public:
  ReadyEndpoints(const Config& config, EndpointTable& endpoints, const SlowStart& slow_start)
      : config_(config), endpoints_(endpoints), slow_start_(slow_start) {}

  /// Whether the endpoint may receive cache attempts according to its list entry.
  [[nodiscard]] bool is_eligible(const Endpoint& endpoint) const {
    return endpoint.is_listed && endpoint.member.phase == Phase::ready &&
           !(config_.cache_aside && endpoint.member.kind == config_.origin_kind);
  }

  /// Adds or removes the endpoint according to its list entry.
  void update_membership(Endpoint& endpoint, Time now);
  /// Removes an endpoint that is present, regardless of its list entry.
  void remove(Endpoint& endpoint);

  void set_weight(Endpoint& endpoint, double weight);

  /// Updates whether the endpoint is ejected, and its contribution to the healthy weight.
  void refresh_health(Endpoint& endpoint, Time now) {
    endpoint.is_ejected = OutlierDetector::is_ejected(endpoint, now);
    const double weight =
        endpoint.is_ejected ? 0 : endpoint.weight * slow_start_.capacity_share(endpoint, now);
    healthy_weight_ += weight - std::exchange(endpoint.effective_weight, weight);
  }
  /// Refreshes all endpoints and recomputes the sum of their healthy weight, which removes accumulated
  /// rounding errors.
  void refresh_all_health(Time now);

  /// Sorted by identity.
  [[nodiscard]] const std::vector<ServerId>& ids() const { return ids_; }
  [[nodiscard]] bool empty() const { return ids_.empty(); }
  [[nodiscard]] const RendezvousTree& tree() const { return tree_; }

  /// Sum of the weights of endpoints that are not ejected, including slow start, each as of its last refresh.
  [[nodiscard]] double healthy_weight() const { return healthy_weight_; }

  /// Number of ready endpoints divided by the number of routers.
  [[nodiscard]] double per_router_share() const { return static_cast<double>(ids_.size()) / config_.routers; }

 private:
  void add(Endpoint& endpoint, Time now);
  std::vector<ServerId>::iterator lower_bound(const Endpoint& endpoint);

  const Config& config_;
  EndpointTable& endpoints_;
  const SlowStart& slow_start_;
  std::vector<ServerId> ids_;
  RendezvousTree tree_;
  double healthy_weight_ = 0;
};

}  // namespace streampick::policy
