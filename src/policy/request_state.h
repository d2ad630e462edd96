/// State of one open request and of each of its attempts. RequestTable owns these plain values; the classes
/// of the decision module modify them.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "streampick/router.h"

namespace streampick::policy {

/// Maximum number of attempts of one request, regardless of the settings.
inline constexpr std::size_t kMaxAttempts = 8;

/// Position of a request in RequestTable. Slots are reused.
enum class SlotIndex : std::uint32_t {};

/// Reference to a request from queues and timers. The generation distinguishes the requests that use the same
/// slot one after the other.
struct RequestRef {
  SlotIndex slot{};
  std::uint32_t generation = 0;
};

struct AttemptState {
  ServerId endpoint = kNone;
  Time sent_at = 0;
  std::uint32_t endpoint_answers = 0;  ///< Endpoint::answers when the attempt was sent
  Outcome outcome = Outcome::served;   ///< valid when the attempt is no longer in flight
  bool in_flight = false;
  bool silence_recorded = false;  ///< the endpoint's silence has already been recorded as a failure
  bool opens_connection = false;  ///< no open connection to the endpoint was known when the attempt was sent
  bool to_origin = false;
  bool stalled = false;  ///< stuck on its own connection: many later attempts have been answered
};

/// Progress of a request's read or write at the origin.
enum class OriginStage : std::uint8_t {
  none,
  queued,     ///< waits for capacity at the origin
  following,  ///< waits for the origin read of the same key by another request
  in_flight,
  done,
};

struct RequestState {
  Request request;
  Time arrived_at = 0;
  std::array<AttemptState, kMaxAttempts> attempts{};
  std::uint32_t attempt_count = 0;
  std::uint32_t hedge_count = 0;
  std::uint32_t in_flight_count = 0;
  // The fields read by timers are adjacent, for cache locality.
  RequestRef self;            ///< reference to this state
  bool is_over = true;        ///< the client has its answer, or the request was ended or cancelled
  bool is_streaming = false;  ///< the answer is being forwarded to the client; no further attempts are sent
  bool is_open = false;       ///< the slot is in use
  bool is_queued = false;     ///< waiting in the admission queue
  OriginStage origin_stage = OriginStage::none;
  std::vector<SlotIndex> followers = {};  ///< requests that follow this one's origin read

  [[nodiscard]] std::span<AttemptState> sent_attempts() { return {attempts.data(), attempt_count}; }
  [[nodiscard]] std::span<const AttemptState> sent_attempts() const {
    return {attempts.data(), attempt_count};
  }
  [[nodiscard]] bool has_tried(ServerId endpoint) const {
    bool tried = false;
    for (const AttemptState& attempt : sent_attempts()) {
      tried |= attempt.endpoint == endpoint;
    }
    return tried;
  }
};

}  // namespace streampick::policy
