#pragma once

#include <cstdint>

#include "policy/endpoint.h"
#include "policy/random_source.h"
#include "streampick/router.h"

namespace streampick::policy {

/// What a failure is counted against.
enum class FailureScope : std::uint8_t {
  endpoint,        ///< the endpoint alone
  failure_domain,  ///< its zone and its cell as well, which may be unreachable as a whole
};

/// Outlier ejection after consecutive failures, as observed by this router. Each ejection lasts longer than
/// the one before. After it, one trial attempt at a time is allowed; an answer ends the ejection. Callers
/// must ignore ejections when all endpoints are ejected.
class OutlierDetector {
 public:
  explicit OutlierDetector(RandomSource& random) : random_(random) {}

  /// Counts a failure. Draws one random number for each ejection that follows from it.
  void record_failure(Endpoint& endpoint, FailureScope scope, Time now);

  /// Counts an answer. Ends all ejections of the endpoint and of its failure domains.
  static void record_success(Endpoint& endpoint, Time now);

  /// Whether this state prevents attempts: it is ejected, or a trial attempt is in flight.
  [[nodiscard]] static bool is_ejected(const OutlierState& state, Time now) {
    return state.ejected_until > now ||
           (state.consecutive_failures >= kFailuresToEject && state.in_flight > 0);
  }

  /// Whether the endpoint, its zone or its cell is ejected.
  [[nodiscard]] static bool is_ejected(const Endpoint& endpoint, Time now) {
    bool ejected = false;
    for (const OutlierState* state : endpoint.outlier_states()) {
      ejected |= is_ejected(*state, now);
    }
    return ejected;
  }

 private:
  static constexpr int kFailuresToEject = 3;
  static constexpr Time kMaxEjection = 8 * kSecond;

  void record_failure(OutlierState& state, Time now);

  RandomSource& random_;
};

}  // namespace streampick::policy
