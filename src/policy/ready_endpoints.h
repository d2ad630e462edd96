#pragma once

#include <utility>
#include <vector>

#include "policy/endpoint_table.h"
#include "policy/outlier_detector.h"
#include "policy/rendezvous_tree.h"
#include "policy/slow_start.h"
#include "streampick/router.h"

namespace streampick::policy {

/// The endpoints that cache attempts may go to: listed, ready, and no origin. Keeps them in the order of
/// their identities, in the tree that finds a key's candidates, and keeps the sum of their healthy weight.
class ReadyEndpoints {
 public:
  ReadyEndpoints(const Config& config, EndpointTable& endpoints, const SlowStart& slow_start)
      : config_(config), endpoints_(endpoints), slow_start_(slow_start) {}

  /// Whether the list says that cache attempts may go to this endpoint.
  [[nodiscard]] bool is_eligible(const Endpoint& endpoint) const {
    return endpoint.is_listed && endpoint.member.phase == Phase::ready &&
           !(config_.cache_aside && endpoint.member.kind == config_.origin_kind);
  }

  /// Adds or removes the endpoint, as the list says by now.
  void update_membership(Endpoint& endpoint, Time now);
  /// Removes an endpoint that is here, whatever the list says.
  void remove(Endpoint& endpoint);

  /// Sets the endpoint's weight.
  void set_weight(Endpoint& endpoint, double weight);

  /// Looks at the endpoint's ejections and its slow start, and at its part of the healthy weight.
  void refresh_health(Endpoint& endpoint, Time now) {
    endpoint.is_ejected = OutlierDetector::is_ejected(endpoint, now);
    const double weight =
        endpoint.is_ejected ? 0 : endpoint.weight * slow_start_.capacity_share(endpoint, now);
    healthy_weight_ += weight - std::exchange(endpoint.effective_weight, weight);
  }
  /// Looks at all endpoints and sums their healthy weight anew, without errors of rounding.
  void refresh_all_health(Time now);

  /// In the order of their identities.
  [[nodiscard]] const std::vector<ServerId>& ids() const { return ids_; }
  [[nodiscard]] bool empty() const { return ids_.empty(); }
  [[nodiscard]] const RendezvousTree& tree() const { return tree_; }

  /// Sum of the weights of endpoints that are not ejected, each as it was when last looked at.
  [[nodiscard]] double healthy_weight() const { return healthy_weight_; }

  /// Endpoints for each router.
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
