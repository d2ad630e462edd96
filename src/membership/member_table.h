/// \file
/// The member table: merges records, expires them and computes digests for anti-entropy.
///
/// Processes are identified by their instance ids. Records of one instance are ordered by (incarnation,
/// state), with `left` above all, and the table only moves up in that order. Merging is therefore commutative
/// and idempotent, and a refuted claim does not come back. No I/O, no clock.
#pragma once

#include <boost/container/flat_map.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "membership/message.h"
#include "membership/settings.h"

namespace streampick::membership {

struct Member {
  Record record;
  Time since = 0;  ///< in this state, as far as is known here
};

class MemberTable {
 public:
  static constexpr std::size_t kMaxRecords = 4'096;

  /// What merge() did.
  enum class Effect : std::uint8_t {
    unchanged,
    applied,     ///< the table holds the record now
    confirmed,   ///< a suspicion that the table holds already
    disputed,    ///< claims that a member is unreachable which is alive here: to be probed, not believed
    table_full,  ///< a new instance, and no place for it
  };

  explicit MemberTable(Lifetimes lifetimes) : lifetimes_(lifetimes) {}

  /// Merges a record of another instance than this process's own. A claim that a member is unreachable is not
  /// believed while the member is alive here: only set_state() declares that, so that no single router can.
  Effect merge(const Record& record, Time now);
  /// Sets what this process found out itself. Nothing follows on `left`.
  void set_state(InstanceId instance, State state, InstanceId suspected_by, Time now);

  /// nullptr if the instance is unknown. Valid until the next change of the table.
  [[nodiscard]] const Member* find(InstanceId instance) const;
  /// By instance; contiguous in memory because it is mostly iterated over.
  using Members = boost::container::flat_map<InstanceId, Member>;
  [[nodiscard]] const Members& members() const { return members_; }
  /// The member at an address that has not left, an alive one before others; nullptr if there is none.
  [[nodiscard]] const Member* find_by_address(Address address) const;
  /// The record as it is sent now, with its current age.
  [[nodiscard]] Record record_to_send(const Member& member, Time now, bool brief = false) const;

  /// Removes and returns records whose lifetime is over.
  std::vector<Record> remove_expired(Time now);
  void clear();

  struct Digest {
    std::uint64_t value = 0;
    std::uint32_t count = 0;
  };
  /// Equal for tables that hold the same instances in the same incarnations and states. Covers `self`, and
  /// no record in the second half of its lifetime: tables expire records at slightly different times and must
  /// not teach each other what is about to expire.
  [[nodiscard]] Digest digest(const Record& self, Time now) const;
  /// Digests of the parts of a range: the instances whose first `depth` hexadecimal digits are `prefix`.
  [[nodiscard]] PartDigests part_digests(std::uint32_t depth, std::uint64_t prefix, const Record& self,
                                         Time now) const;
  /// The records of a range that count in digests.
  [[nodiscard]] std::vector<Record> range(std::uint32_t depth, std::uint64_t prefix, const Record& self,
                                          Time now) const;

 private:
  Effect add(const Record& record, Time now);
  Effect merge_known(Member& known, const Record& record, Time now);
  Effect merge_older(Member& known, const Record& record, Time now) const;
  void replace(Member& known, const Record& record, Time since);
  [[nodiscard]] bool is_digested(const Member& member, Time now) const;
  template <typename Visit>
  void visit_range(std::uint32_t depth, std::uint64_t prefix, const Record& self, Time now,
                   Visit visit) const;

  Lifetimes lifetimes_;
  Members members_;
  mutable std::optional<Digest> cached_digest_;  // without this process's own record
};

}  // namespace streampick::membership
