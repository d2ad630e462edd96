#include "policy/endpoint_picker.h"

#include <algorithm>
#include <cmath>

namespace streampick::policy {
namespace {

// Bound on the attempts in flight at one endpoint, as a multiple of its share of all attempts in flight.
constexpr double kLoadBoundFactor = 1.25;
// Minimum bound: differences between smaller counts are noise.
constexpr double kMinLoadBound = 2;
// Greatest value of the minimum bound. It applies where answers are so fast that this many of them, one after
// the other, take less than kQueueingShare of the latency objective.
constexpr double kMaxMinLoadBound = 8;
constexpr double kQueueingShare = 0.1;
// Minimum bound for an endpoint that is warming up.
constexpr double kWarmingUpLoadBound = 1;
// Maximum number of leaves searched for an endpoint below its bound, in a large fleet.
constexpr std::uint64_t kMaxLeaves = 8;
// Factor on the spare weight of an ejected endpoint, in the choice among endpoints at their bound.
constexpr double kEjectedFactor = 1e-3;

// Score for weighted rendezvous hashing: each endpoint has the greatest score with a probability that equals
// its share of the total weight.
double rendezvous_score(std::uint64_t hash, double weight) {
  return -weight / std::log(to_unit_interval(mix64(hash)));
}

}  // namespace

std::optional<ServerId> EndpointPicker::pick(const RequestState& request, PickPurpose purpose, Time now) {
  const std::uint64_t key = request.request.has_key ? request.request.key : request.request.id;
  const bool is_large_fleet = ready_.tree().is_split();
  // The sum of healthy weight is exact at each pick in a small fleet, and updated incrementally in a large
  // one.
  if (!is_large_fleet) {
    ready_.refresh_all_health(now);
  }
  const int load = dispatcher_.cache_in_flight() - dispatcher_.cache_stalled() + 1;
  Search search{.request = request,
                .purpose = purpose,
                .now = now,
                .is_large_fleet = is_large_fleet,
                .slow_start_draw = random_.next(),
                .bounded_load = kLoadBoundFactor * load,
                .min_bound = min_load_bound()};
  const std::uint64_t leaves = is_large_fleet ? kMaxLeaves : 1;
  for (std::uint64_t leaf = 0; leaf < leaves && search.chosen.id == kNone; ++leaf) {
    search.leaf_key = leaf == 0 ? key : mix64(key + leaf);
    search_leaf(search);
  }
  const ServerId picked = search.chosen.id != kNone ? search.chosen.id : search.fallback.id;
  return picked != kNone ? std::optional(picked) : std::nullopt;
}

void EndpointPicker::consider(Search& search, const RendezvousTree::Entry& candidate) {
  const ServerId id = candidate.id;
  Endpoint& endpoint = endpoints_.at(id);
  if (search.is_large_fleet) {
    ready_.refresh_health(endpoint, search.now);
  }
  if (search.request.has_tried(id) || endpoint.full_until > search.now) {
    return;
  }
  const double capacity = slow_start_.capacity_share(endpoint, search.now);
  const bool warming_up = capacity < 1;
  const double weight = endpoint.placement_weight();
  const double score = rendezvous_score(search.leaf_key ^ candidate.identity, weight);
  if (warming_up && loses_slow_start_draw(search, endpoint, capacity)) {
    search.skipped.offer({id, score});
    return;
  }
  const double min_bound = warming_up ? kWarmingUpLoadBound : search.min_bound;
  const double bound = std::max(load_bound(search, weight), min_bound);
  // If all endpoints are ejected, ejections are ignored.
  const bool ejected = endpoint.is_ejected && ready_.healthy_weight() > 0;
  if (!ejected && endpoint.in_flight - endpoint.stalled < bound) {
    search.chosen.offer({id, score});
  } else if (!warming_up) {
    const double spare_weight = weight / (endpoint.in_flight + 1) * (ejected ? kEjectedFactor : 1);
    search.fallback.offer({id, spare_weight});
  }
}

void EndpointPicker::search_leaf(Search& search) {
  search.skipped = {};
  for (const RendezvousTree::Entry& entry : ready_.tree().leaf(search.leaf_key, rendezvous_score)) {
    consider(search, entry);
  }
  // The draw is spent at the endpoint that ranked first, whether it was won or lost.
  const Best& first = search.skipped.score > search.chosen.score ? search.skipped : search.chosen;
  if (search.is_first_attempt() && first.id != kNone) {
    endpoints_.at(first.id).last_slow_start_draw = search.now;
  }
}

bool EndpointPicker::loses_slow_start_draw(const Search& search, const Endpoint& endpoint,
                                           double capacity) const {
  if (!search.is_first_attempt()) {
    return true;
  }
  const double share =
      slow_start_.first_attempt_share(endpoint, {capacity, ready_.healthy_weight(), search.now});
  return search.slow_start_draw >= share;
}

double EndpointPicker::load_bound(const Search& search, double weight) const {
  return std::ceil(search.bounded_load * weight / std::max(ready_.healthy_weight(), kMinWeight));
}

// Where answers are fast, a few attempts often coincide at one endpoint by chance. Skipping the endpoint
// would send its keys to endpoints that do not have them cached, without saving any wait.
double EndpointPicker::min_load_bound() const {
  const double congestion = congestion_.level();
  if (congestion <= 0) {
    return kMinLoadBound;
  }
  return std::clamp(kQueueingShare / congestion, kMinLoadBound, kMaxMinLoadBound);
}

}  // namespace streampick::policy
