#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "policy/attempt_dispatcher.h"
#include "policy/endpoint_picker.h"
#include "policy/endpoint_table.h"
#include "policy/origin_limit.h"
#include "policy/ready_endpoints.h"
#include "policy/request_handler.h"
#include "policy/request_rules.h"
#include "policy/request_table.h"
#include "policy/slow_start.h"
#include "policy/timer_queue.h"
#include "streampick/router.h"

namespace streampick::policy {

/// Reads and writes at the origin of a look-aside (cache-aside) fleet. Reads and writes wait in separate
/// queues for capacity at the origin. At most one read per key is in flight (single flight); other requests
/// for the same key, its followers, wait for it.
class OriginReads {
 public:
  struct Dependencies {
    const RequestRules& rules;
    RequestTable& requests;
    EndpointTable& endpoints;
    const ReadyEndpoints& ready;
    const SlowStart& slow_start;
    EndpointPicker& picker;
    AttemptDispatcher& dispatcher;
    TimerQueue& timers;
    OriginLimit& limit;
    ActionSink& sink;
    RequestHandler& handler;
  };
  explicit OriginReads(const Dependencies& deps) : deps_(deps) {}

  /// Sends the request to the origin as soon as there is capacity. If a read of its key is already queued or
  /// in flight, the request follows that read instead.
  void fetch(RequestState& request, Time now);

  /// Sends queued requests while there is capacity, and ends those that can no longer be answered in time.
  /// Inline because it runs after each event, mostly with empty queues.
  void drain(Time now) {
    if (!writes_.empty()) {
      drain(Kind::write, now);
    }
    if (!reads_.empty()) {
      drain(Kind::read, now);
    }
  }

  /// Call periodically while the request is open. Marks its origin attempt as stalled when it is, and cancels
  /// it when it is certainly lost, so that it is sent again.
  void check_stalled(RequestState& request, Time now);

  /// Handles the end of an origin attempt of `request`.
  void on_answer(RequestState& request, const AttemptState& attempt, const AttemptResult& result, Time now);

  /// Ends the single flight of the request's key. If a cache was `filled`, the followers read from it;
  /// otherwise the first of them reads the origin next.
  void release_followers(RequestState& request, bool filled, Time now);

  /// Whether a read would be sent to the origin at once.
  [[nodiscard]] bool has_capacity(Time now) const;

  /// Number of entries in both queues, including requests that are over but not removed yet.
  [[nodiscard]] std::size_t queued() const { return reads_.size() + writes_.size(); }

 private:
  enum class Kind : std::uint8_t { read, write };
  using Queue = std::deque<RequestRef>;

  void drain(Kind kind, Time now);
  [[nodiscard]] bool is_queued(RequestRef ref) const;
  [[nodiscard]] bool misses_objective(const RequestState& request, Kind kind, Time now) const;
  [[nodiscard]] bool has_room(Kind kind, Time now) const;
  [[nodiscard]] bool origin_is_ready() const;
  [[nodiscard]] bool lease_allows(Time now) const;
  void release_follower(RequestState& follower, std::optional<ServerId> filled_cache, Time now);

  Dependencies deps_;
  Queue reads_;
  Queue writes_;
  std::unordered_map<std::uint64_t, SlotIndex> flights_;  // by key: the request that reads it
};

}  // namespace streampick::policy
