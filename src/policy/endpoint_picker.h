#pragma once

#include <cstdint>
#include <optional>

#include "policy/attempt_dispatcher.h"
#include "policy/congestion.h"
#include "policy/endpoint_table.h"
#include "policy/random_source.h"
#include "policy/ready_endpoints.h"
#include "policy/request_state.h"
#include "policy/slow_start.h"
#include "streampick/router.h"

namespace streampick::policy {

/// The purpose of a pick. Only first attempts go to endpoints that are warming up.
enum class PickPurpose : std::uint8_t {
  attempt,  ///< the first attempt of a request, or a retry
  hedge,    ///< a hedged request while other attempts are in flight
};

/// Picks endpoints by weighted rendezvous hashing with bounded loads. The pick is the first endpoint in the
/// order of the key that has not been tried, is not ejected, and has fewer attempts of this router in flight
/// than its bound, which is a multiple of its share. Has no state of its own.
///
/// The bound is most harmful when few attempts are in flight: reads of one key then go to several endpoints
/// that do not have it cached. See docs/overload.md.
class EndpointPicker {
 public:
  EndpointPicker(EndpointTable& endpoints, ReadyEndpoints& ready, const SlowStart& slow_start,
                 const AttemptDispatcher& dispatcher, const CongestionEstimate& congestion,
                 RandomSource& random)
      : endpoints_(endpoints),
        ready_(ready),
        slow_start_(slow_start),
        dispatcher_(dispatcher),
        congestion_(congestion),
        random_(random) {}

  /// The endpoint for the next attempt of `request`; nullopt if each endpoint has been tried or is known to
  /// be full. Draws one random number.
  [[nodiscard]] std::optional<ServerId> pick(const RequestState& request, PickPurpose purpose, Time now);

 private:
  struct Best {
    ServerId id = kNone;
    double score = -1;

    void offer(const Best& candidate) {
      // Copies the fields one by one: a copy of the whole struct would stall on the two stores that just
      // wrote it.
      if (candidate.score > score) {
        id = candidate.id;
        score = candidate.score;
      }
    }
  };
  /// Parameters and intermediate results of one pick.
  struct Search {
    const RequestState& request;
    PickPurpose purpose;
    Time now;
    bool is_large_fleet;     // candidates come from leaves of the tree; their health is refreshed during the
                             // search
    double slow_start_draw;  // uniform in (0, 1)
    double bounded_load;     // attempts in flight plus the next one, times kLoadBoundFactor
    double min_bound;        // minimum bound on the attempts in flight at one endpoint
    std::uint64_t leaf_key = 0;
    Best chosen = {};    // below its bound
    Best fallback = {};  // at its bound, with the most spare weight of all leaves
    Best skipped = {};   // warming up, and skipped by the slow start draw

    [[nodiscard]] bool is_first_attempt() const {
      return purpose == PickPurpose::attempt && request.attempt_count == 0;
    }
  };

  void search_leaf(Search& search);
  // Inline because it runs for each candidate of each pick. Called only by search_leaf().
  inline void consider(Search& search, const RendezvousTree::Entry& candidate);
  [[nodiscard]] bool loses_slow_start_draw(const Search& search, const Endpoint& endpoint,
                                           double capacity) const;
  [[nodiscard]] double load_bound(const Search& search, double weight) const;
  [[nodiscard]] double min_load_bound() const;

  EndpointTable& endpoints_;
  ReadyEndpoints& ready_;
  const SlowStart& slow_start_;
  const AttemptDispatcher& dispatcher_;
  const CongestionEstimate& congestion_;
  RandomSource& random_;
};

}  // namespace streampick::policy
