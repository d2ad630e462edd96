/// \file
/// The member table: merges records, expires them and computes digests for anti-entropy.
///
/// A record belongs to one process instance. Records of the same instance are ordered by (incarnation,
/// state), with `left` above all others, and merge() replaces a record only by a higher one. Merging is
/// therefore commutative and idempotent, and a refuted claim does not return. No I/O, no clock.
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
  Time since = 0;  ///< when it entered its state, by this process's clock
};

class MemberTable {
 public:
  static constexpr std::size_t kMaxRecords = 4'096;

  /// The result of merge().
  enum class Effect : std::uint8_t {
    unchanged,
    applied,     ///< the table has been changed to the record
    confirmed,   ///< the record confirms a suspicion that the table already has
    disputed,    ///< unreachable by the record, alive here: not applied, but to be probed
    table_full,  ///< the record of a new instance was dropped, as the table is full
  };

  explicit MemberTable(Lifetimes lifetimes) : lifetimes_(lifetimes) {}

  /// Merges a record of an instance other than this process's own. A record that says `unreachable` does not
  /// change a member that is alive or suspect here to `unreachable`. Only set_state() does that, after this
  /// process's own suspicion, so that no single router can declare a member unreachable for the whole fleet.
  Effect merge(const Record& record, Time now);
  /// Sets a state that this process has determined itself. Does nothing if the member has left.
  void set_state(InstanceId instance, State state, InstanceId suspected_by, Time now);

  /// nullptr if the instance is unknown. Valid until the next change of the table.
  [[nodiscard]] const Member* find(InstanceId instance) const;
  /// By instance; contiguous in memory, as most uses iterate over all members.
  using Members = boost::container::flat_map<InstanceId, Member>;
  [[nodiscard]] const Members& members() const { return members_; }
  /// The member at the address; nullptr if there is none. Members that have left are ignored; of several, the
  /// one in the lowest state is returned (alive before suspect before unreachable).
  [[nodiscard]] const Member* find_by_address(Address address) const;
  /// The record with its current age, as it is sent in messages. `brief`: without name and address.
  [[nodiscard]] Record record_to_send(const Member& member, Time now, bool brief = false) const;

  /// Removes and returns the records whose lifetime has ended.
  std::vector<Record> remove_expired(Time now);
  void clear();

  struct Digest {
    std::uint64_t value = 0;
    std::uint32_t count = 0;
  };
  /// Equal for tables with the same instances in the same incarnations and states. Includes `self`. Excludes
  /// records in the second half of their lifetime: tables expire a record at slightly different times, and
  /// anti-entropy must not copy a record back to a table that has expired it.
  [[nodiscard]] Digest digest(const Record& self, Time now) const;
  /// Digests of the sixteen parts of a range. A range consists of the instances whose ids begin with the
  /// `depth` hexadecimal digits `prefix`.
  [[nodiscard]] PartDigests part_digests(std::uint32_t depth, std::uint64_t prefix, const Record& self,
                                         Time now) const;
  /// The records of a range that its digest includes.
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
  mutable std::optional<Digest> cached_digest_;  // excludes this process's own record
};

}  // namespace streampick::membership
