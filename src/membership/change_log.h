/// \file
/// Changes of the view, for log lines and metrics.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "membership/record.h"

namespace streampick::membership {

struct Change {
  enum class Kind : std::uint8_t {
    joined,       ///< first heard of
    suspected,    ///< here or by another process
    refuted,      ///< a suspicion ended: the member is alive
    unreachable,  ///< declared unreachable here
    recovered,    ///< an unreachable member is alive again
    left,         ///< it said so, or another process has its address
    expired,      ///< an unreachable member's record was removed
    name_conflict,
    new_instance,  ///< this process took a new instance id: others hold the old one for left, or it was
                   ///< suspended for too long
    suspended,     ///< this process did not run for a while
  };
  Kind kind = Kind::joined;
  std::string name;
  InstanceId instance = 0;
  Address address = 0;
};

/// Keeps the newest changes until they are taken.
class ChangeLog {
 public:
  void add(Change::Kind kind, const Record& subject);
  std::vector<Change> take();
  /// Changes ever added.
  [[nodiscard]] std::uint64_t total() const { return total_; }
  /// Changes that were dropped because too many were not taken.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  std::deque<Change> changes_;
  std::uint64_t total_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace streampick::membership
