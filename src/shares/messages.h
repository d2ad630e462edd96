// What routers say to each other about limits that they share. No I/O and no clock; shares/wire.h has the
// bytes.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "membership/record.h"

namespace streampick::leases {

using membership::Address;
using membership::Boot;
using membership::kNever;
using membership::kSecond;
using membership::Time;

using LimitId = std::uint32_t;  // a hash of its name: equal at all routers

// Of one home's term. Terms of one seat are disjoint in time, and their numbers only go up.
struct Epoch {
  std::uint64_t number = 0;  // 0: none
  Boot boot = 0;             // of the home
  auto operator<=>(const Epoch&) const = default;
};

// Of a claim: all. Of a grant: `limit` and `amount`.
struct Item {
  LimitId limit = 0;
  double want = 0;         // that the sender could use now, what it refuses among it
  double over = 0;         // of a hard limit: in use beyond what needs no lease
  std::uint32_t seen = 0;  // the last grant that it took over, of the claim's epoch
  double amount = 0;  // that is granted; of a claim: that its sender holds, or less if it gives some back
  friend bool operator==(const Item&, const Item&) = default;
};

struct Message {
  // To a seat's voters: `ask` for a term or more of it, answered by `promise` or `refusal`; `release`: the
  // epoch won't be used again. To a seat's home: `claim`, answered by `grant`, or by `elsewhere`.
  enum class Kind : std::uint8_t { ask, promise, refusal, release, claim, grant, elsewhere };
  Kind kind = Kind::ask;
  Boot self = 0;
  std::uint32_t seat = 0;
  Epoch epoch = {};          // of a claim: of the grants that it has seen; of a refusal: the highest known
  std::uint32_t number = 0;  // of an ask or a claim, and of what answers it
  std::uint32_t grant = 0;   // the number of a grant ...
  Boot holder = 0;           // ... and which process it is for: its successor's claims have the same numbers
  Time length = 0;    // of a promise: for so long; of a grant: for so long from when the claim was sent
  Address home = 0;   // of a refusal, or of elsewhere: who has the seat; 0: nobody, as far as is known
  double weight = 1;  // of a claim
  std::vector<Item> items = {};
  friend bool operator==(const Message&, const Message&) = default;
};
inline constexpr std::size_t kKinds = 7, kMostItems = 64, kMostLimits = 64;
inline constexpr std::uint32_t kMostSeats = 16;
// Whole numbers up to this are told exactly.
inline constexpr double kMostTotal = 1e7, kMostWeight = 10, kLeastWeight = 0.1;

struct Send {
  Address to = 0;
  Message message;
};

}  // namespace streampick::leases
