// The table of a fleet's members: what one record does to it, what it counts, and digests of its parts.
//
// A process is known by its boot. For one boot records are ordered by (incarnation, state); the table only
// ever goes up in that order, and `left` is above all. So nothing that was refuted comes back, and the order
// in which records come does not matter. No I/O, no clock: the caller brings the time.
#pragma once

#include <boost/container/flat_map.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "membership/record.h"
#include "membership/settings.h"

namespace streampick::membership {

struct Member {
  Record record;
  Time since = 0;  // in this state, as far as is known here
};

class Table {
 public:
  static constexpr std::size_t kMost = 4'096;  // records, whoever sends them
  enum class Effect : std::uint8_t {
    none,       // nothing new
    raised,     // the record stands now as it came
    confirmed,  // a suspicion that stands here too
    doubtful,   // it says unreachable of one that is well here: to be looked at, not to be believed
    no_room,    // the table is full
  };

  explicit Table(Lifetimes lifetimes) : lifetimes_(lifetimes) {}

  // Takes a record of another process than this one. An `unreachable` one is never believed of a process that
  // is well here: each table's owner declares that by itself (set_state), so that no one router can.
  Effect hear(const Record& record, Time now);
  // What the owner has found itself. `left` is the last state of a boot.
  void set_state(Boot boot, State state, Boot by, Time now);

  const Member* find(Boot boot) const {
    const auto found = members_.find(boot);
    return found == members_.end() ? nullptr : &found->second;
  }
  // By boot, and side by side in memory: most of what a router does with its view is to go through it.
  using Members = boost::container::flat_map<Boot, Member>;
  const Members& all() const { return members_; }
  // The one that was last heard of at an address and has not ended.
  const Member* at(Address address) const;
  // A record as it is to be told to others now.
  Record told(const Member& member, Time now, bool brief = false) const;

  // Takes out what is over for its whole time, and returns it.
  std::vector<Record> forget(Time now);
  void clear() {
    members_.clear();
    digest_.reset();
  }

  // A record counts in digests until half of its time as over is gone: tables forget at about the same time,
  // and must not teach each other what is about to go.
  bool digested(const Member& member, Time now) const;
  struct Digest {
    std::uint64_t value = 0;
    std::uint32_t count = 0;
  };
  Digest digest(const Record& self, Time now) const;
  // Digests of the sixteen parts of the boots whose first `depth` hexadecimal digits are `prefix`.
  std::vector<std::uint32_t> parts(std::uint32_t depth, std::uint64_t prefix, const Record& self,
                                   Time now) const;
  std::vector<Record> range(std::uint32_t depth, std::uint64_t prefix, const Record& self, Time now) const;

 private:
  void take(Member& known, const Record& record, Time since);
  template <typename Visit>
  void each_in(std::uint32_t depth, std::uint64_t prefix, const Record& self, Time now, Visit visit) const;
  Lifetimes lifetimes_;
  Members members_;
  mutable std::optional<Digest> digest_;  // without the owner; none: to be made again
};

// Whether `one` takes the place of `other`, of the same boot.
inline bool above(const Record& one, const Record& other) {
  if ((one.state == State::left) != (other.state == State::left)) return one.state == State::left;
  if (one.state == State::left) return false;
  if (one.incarnation != other.incarnation) return one.incarnation > other.incarnation;
  return one.state > other.state;
}

}  // namespace streampick::membership
