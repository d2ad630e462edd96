/// \file
/// Detects two open requests with the same client-chosen transaction id.
#pragma once

#include <cstdint>
#include <deque>
#include <memory_resource>
#include <unordered_set>

#include "streampick/router.h"

namespace streampick::engine {

/// The ids of open and of recently ended requests. Servers cannot tell two open requests with one id apart. A
/// client's retry has a new id, so an id that is seen again shortly after its request ended belongs to
/// another request that overlapped with it.
///
/// Bounded in time and in number; single-threaded, no clock.
class TransactionIds {
 public:
  explicit TransactionIds(std::pmr::memory_resource* memory) : ids_(memory) {}

  /// Registers a new request. Returns false if its id is in use.
  bool insert(std::uint64_t id, Time now);

  /// The request and all its attempts have ended; the id is freed some time later.
  void ended(std::uint64_t id, Time now);

  /// Frees ids of requests that ended long enough ago.
  void forget_old(Time now);

 private:
  struct Ended {
    Time at;
    std::uint64_t id;
  };
  std::pmr::unordered_set<std::uint64_t> ids_;
  std::deque<Ended> ended_;
};

}  // namespace streampick::engine
