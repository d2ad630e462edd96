/// \file
/// Changes of the membership view, reported to the caller for log lines and metrics.
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
    joined,         ///< the first record of a new instance arrived
    suspected,      ///< by this process or by another one
    refuted,        ///< a suspicion ended: the member is alive
    unreachable,    ///< its suspicion timed out here, or its first record says so
    recovered,      ///< an unreachable member is alive again
    left,           ///< it announced that, or a new instance runs at its address
    expired,        ///< an unreachable member's record was removed
    name_conflict,  ///< several running processes have the same name
    new_instance,   ///< this process took a new instance id: its old one was reported as left, or it did not
                    ///< run for too long
    suspended,      ///< this process did not run for a while, for instance under SIGSTOP
  };
  Kind kind = Kind::joined;
  std::string name;
  InstanceId instance = 0;
  Address address = 0;
};

/// Keeps the newest changes until the caller takes them.
class ChangeLog {
 public:
  void add(Change::Kind kind, const Record& subject);
  std::vector<Change> take();
  /// Number of changes added since the start.
  [[nodiscard]] std::uint64_t total() const { return total_; }
  /// Number of changes that were dropped because the log was full.
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

 private:
  std::deque<Change> changes_;
  std::uint64_t total_ = 0;
  std::uint64_t dropped_ = 0;
};

}  // namespace streampick::membership
