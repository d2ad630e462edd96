/// \file
/// Detects two open requests with the same client-chosen transaction id.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory_resource>
#include <unordered_set>

#include "streampick/router.h"

namespace streampick::engine {

/// The ids of open and of recently ended requests. Servers cannot tell two open requests with one id apart. A
/// client's retry has a new id, so an id that is seen again shortly after its request ended belongs to
/// another request that overlapped with it. An id whose request may have had an effect is remembered for
/// longer, as the effect must not happen twice.
///
/// Bounded in time and in number; single-threaded, no clock.
class TransactionIds {
 public:
  explicit TransactionIds(std::pmr::memory_resource* memory) : ids_(memory) {}

  /// Registers a new request. Returns false if its id is in use.
  bool insert(std::uint64_t id, Time now);

  enum class Effect : std::uint8_t {
    none,      ///< nothing ran, or it may run again
    possible,  ///< it may have run, and must not run again
  };
  /// The request and all its attempts have ended; the id is freed some time later.
  void ended(std::uint64_t id, Effect effect, Time now);

  /// Frees ids of requests that ended long enough ago.
  void forget_old(Time now);

 private:
  struct Ended {
    Time at;
    std::uint64_t id;
  };
  /// In the order of their ends, bounded in time and in number.
  struct EndedIds {
    Time remembered_for;
    std::size_t max;
    std::deque<Ended> ids = {};
  };
  void forget_old(EndedIds& ended, Time now);

  static constexpr Time kSecond = 1'000'000;

  std::pmr::unordered_set<std::uint64_t> ids_;
  EndedIds without_effect_{.remembered_for = 2 * kSecond, .max = 4'096};
  EndedIds with_effect_{.remembered_for = 60 * kSecond, .max = 16'384};
};

}  // namespace streampick::engine
