/// \file
/// Ids that clients gave their requests, so that no two requests of one id are open together.
#pragma once

#include <cstdint>
#include <deque>
#include <memory_resource>
#include <unordered_set>

#include "streampick/router.h"

namespace streampick::engine {

/// The ids of open requests and of those that ended lately. Two open requests of one id cannot be told apart
/// further on. A client's retry has a new id, so an id that comes again shortly after its request ended
/// belongs to somebody else, seen a moment too late.
///
/// Bounded in time and in number; single-threaded, no clock.
class TransactionIds {
 public:
  explicit TransactionIds(std::pmr::memory_resource* memory) : ids_(memory) {}

  /// Takes the id for a new request. False: it is taken.
  bool insert(std::uint64_t id, Time now);

  /// The request of this id, and all its attempts, have ended; the id is freed some time later.
  void ended(std::uint64_t id, Time now);

  /// Frees what ended long enough ago.
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
