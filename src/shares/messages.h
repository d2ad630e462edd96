// Messages of the lease protocol. No I/O and no clock; shares/wire.h encodes them.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "membership/record.h"

namespace streampick::leases {

using membership::Address;
using membership::kNever;
using membership::kSecond;
using membership::Time;

/// Random number that identifies one run of a process; 0: none.
using Incarnation = membership::InstanceId;

/// Hash of a limit's name, equal at all routers.
using LimitId = std::uint32_t;

/// Ballot of one granter's term. Terms of one shard are disjoint in time, and their epochs only increase.
struct Epoch {
  std::uint64_t number = 0;     // 0: none
  Incarnation incarnation = 0;  // of the granter
  friend bool operator==(const Epoch&, const Epoch&) = default;
  friend std::strong_ordering operator<=>(const Epoch& left, const Epoch& right) {
    if (left.number != right.number) return left.number <=> right.number;
    return left.incarnation <=> right.incarnation;
  }
};

/// One limit of a claim, which uses all fields, or of a grant, which uses `limit` and `amount`.
struct LimitItem {
  LimitId limit = 0;
  double demand = 0;                     // what the claimer could use now, including what it rejects
  double in_use = 0;                     // hard limits: in use beyond the guaranteed minimum
  std::uint32_t acknowledged_grant = 0;  // last grant of the claim's epoch that the claimer applied
  double amount = 0;  // in a grant: leased; in a claim: what the claimer keeps of its lease
  friend bool operator==(const LimitItem&, const LimitItem&) = default;
};

struct Message {
  enum class Kind : std::uint8_t {
    vote_request,  // candidate or granter to the shard's voters: elect me, or extend my term
    vote,          // answer to vote_request: promised to this epoch for `duration`
    rejection,     // answer to vote_request: a higher epoch is known, or another one is promised
    release,       // candidate to voters: this epoch will not be used
    claim,         // holder to granter: demand, and what it holds
    grant,         // answer to claim: leases
    redirect,      // answer to claim: this process grants no leases of the shard
  };
  Kind kind = Kind::vote_request;
  Incarnation sender = 0;
  std::uint32_t shard = 0;
  Epoch epoch = {};            // in a claim: of the acknowledged grants; in a rejection: the highest known
  std::uint32_t sequence = 0;  // of a vote_request or a claim, and of its answer
  std::uint32_t grant_number = 0;
  Incarnation holder = 0;  // in a grant: the claimer, as its successor numbers claims from 1 again
  Time duration = 0;    // in a vote: from when the request arrived; in a grant: from when the claim was sent
  Address granter = 0;  // in a rejection or redirect: the known granter; 0: unknown
  double weight = 1;    // of a claim
  std::vector<LimitItem> items = {};
  friend bool operator==(const Message&, const Message&) = default;
};

inline constexpr std::size_t kMessageKinds = 7;
inline constexpr std::size_t kMaxItems = 64;
inline constexpr std::size_t kMaxLimits = 64;
inline constexpr std::uint32_t kMaxShards = 16;
inline constexpr double kMaxTotal = 1e7;  // the wire's 32-bit floats hold whole numbers up to this
inline constexpr double kMaxWeight = 10;
inline constexpr double kMinWeight = 0.1;

struct OutgoingMessage {
  Address to = 0;
  Message message;
};

}  // namespace streampick::leases
